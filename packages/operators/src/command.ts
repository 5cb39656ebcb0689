/** Framework of the operators' command line `leverhatch`: subcommands, common options and exit codes. */
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { splitAddress } from './address.js';
import { UnreachableError, type ControllerResponse } from './client.js';

export { requestFromAny, requestFromLeader, type ControllerResponse } from './client.js';
export { phaseText, tableText, timeText, unreadableLines } from './text.js';

/** Exit codes of the command. */
const EXIT_CODES = { done: 0, refused: 1, badInput: 2, unreachable: 3 } as const;

const BAD_INPUT_STATUSES: ReadonlySet<number> = new Set([400, 422]);

/** Output streams of the command. */
export interface Output {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
}

/** Options of every subcommand. */
export interface CommonOptions {
  /** Addresses of operators' listeners, each `HOST:PORT`. */
  at: string[];
  json?: boolean;
}

/** Prints a response, as JSON or as rendered by `text`, and sets the exit code. */
export type Report = (
  options: CommonOptions,
  answered: ControllerResponse,
  text: (body: Record<string, unknown>) => string,
) => void;

/** Adds one subcommand to the group of an extension, with the common options. */
export type AddSubcommand = (name: string, description: string) => Command;

/** The subcommands of one extension. */
export interface CommandGroup {
  name: string;
  description: string;
  addSubcommands(add: AddSubcommand, report: Report): void;
}

/** Input that is invalid regardless of the state of the cluster; the message is one line that names the option. */
export class InvalidInputError extends Error {}

/** Parses an option that takes a positive number. */
export const parsePositive = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('must be positive.');
  return value;
};

/** Parses a repeatable option that takes the address of a listener. */
const parseListenerAddress = (text: string, previous: string[] = []): string[] => {
  if (splitAddress(text) === null) throw new InvalidArgumentError('must be HOST:PORT.');
  return [...previous, text];
};

/** Runs the command and returns its exit code, one of `EXIT_CODES`. */
export async function runCommand(
  parts: readonly CommandGroup[],
  argv: string[],
  output: Output,
): Promise<number> {
  let exitCode: number = EXIT_CODES.done;
  const report: Report = ({ json }, { status, body }, text) => {
    if (status >= 400) {
      exitCode = BAD_INPUT_STATUSES.has(status) ? EXIT_CODES.badInput : EXIT_CODES.refused;
      const reason: unknown = body.error ?? `status ${status}`;
      output.error(String(reason));
      return;
    }
    output.out(json ? JSON.stringify(body) : text(body));
  };
  try {
    await createProgram(parts, report, output).parseAsync(argv, { from: 'user' });
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.badInput;
    }
    if (!(error instanceof InvalidInputError || error instanceof UnreachableError)) throw error;
    output.error(error.message);
    return error instanceof InvalidInputError ? EXIT_CODES.badInput : EXIT_CODES.unreachable;
  }
  return exitCode;
}

function createProgram(parts: readonly CommandGroup[], report: Report, output: Output): Command {
  const program = new Command('leverhatch')
    .description("Operators' commands of leverhatch")
    .exitOverride()
    .configureOutput({ writeOut: output.out, writeErr: (text) => output.error(text.trimEnd()) });
  for (const part of parts) {
    const group = program.command(part.name).description(part.description).exitOverride();
    const add: AddSubcommand = (name, description) =>
      group
        .command(name)
        .description(description)
        .exitOverride()
        .requiredOption(
          '--at <address>',
          "a controller's listener; may be repeated",
          parseListenerAddress,
        )
        .option('--json', 'print what the controller says as JSON');
    part.addSubcommands(add, report);
  }
  return program;
}
