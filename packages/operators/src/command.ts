/** The frame of the operators' command: asks controllers over HTTP and prints what they say. */
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { splitAddress } from './address.js';

/** Exit codes. */
export const EXIT = { done: 0, refused: 1, badInput: 2, unreachable: 3 } as const;

const BAD_INPUT_STATUSES: ReadonlySet<number> = new Set([400, 422]);

/** One controller is asked for so long before the next. */
const TIMEOUT_MS = 5000;

/** Where the command writes. */
export interface Output {
  out(text: string): void;
  error(text: string): void;
}

/** What a controller answered. */
export interface Answered {
  status: number;
  body: Record<string, unknown>;
}

/** Options of every verb. */
export interface CommonOptions {
  at: string[];
  json?: boolean;
}

/** Prints an answer, as text made by `text` or as JSON, and sets the exit code. */
export type Report = (
  options: CommonOptions,
  answered: Answered,
  text: (body: Record<string, unknown>) => string,
) => void;

/** Adds one verb below a part, with the options of every verb. */
export type AddVerb = (name: string, description: string) => Command;

/** The verbs of one part. */
export interface CommandPart {
  name: string;
  description: string;
  addVerbs(add: AddVerb, report: Report): void;
}

/** Input that no controller has to be asked about: one line that names the option. */
export class InvalidInputError extends Error {}

/** No controller answered, or each was refused by the state service. */
class UnreachableError extends Error {}

/** Asks the controllers in turn; one that does not serve, or does not lead where it has to, is passed. */
export async function ask(
  at: string[],
  method: string,
  path: string,
  body?: object,
): Promise<Answered> {
  const failures: string[] = [];
  for (const address of at) {
    try {
      const response = await fetch(`http://${address}${path}`, {
        method,
        signal: AbortSignal.timeout(TIMEOUT_MS),
        ...(body ? { body: JSON.stringify(body) } : {}),
      });
      const answer = (await response.json()) as Record<string, unknown>;
      if (response.status !== 503 && response.status !== 421) {
        return { status: response.status, body: answer };
      }
      failures.push(`${address}: ${String(answer.error)}`);
    } catch (error) {
      failures.push(`${address}: ${reasonOf(error)}`);
    }
  }
  throw new UnreachableError(failures.join('; '));
}

/**
 * Asks for what the leader alone knows in full: its answer, which says `leading`, or else the first one.
 * The controllers are asked in turn.
 */
export async function askLeader(at: string[], path: string): Promise<Answered> {
  let first: Answered | null = null;
  const failures: string[] = [];
  for (const address of at) {
    try {
      const answered = await ask([address], 'GET', path);
      if (answered.body.leading === true) return answered;
      first ??= answered;
    } catch (error) {
      if (!(error instanceof UnreachableError)) throw error;
      failures.push(error.message);
    }
  }
  if (first) return first;
  throw new UnreachableError(failures.join('; '));
}

/** The client says only that it failed; what it met is in the cause. */
function reasonOf(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const cause = error.cause instanceof Error ? error.cause : null;
  const code = (cause as { code?: unknown } | null)?.code;
  return cause?.message || (typeof code === 'string' ? code : '') || error.message;
}

/** An option that takes a number above 0. */
export const positive = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('must be positive.');
  return value;
};

/** An option that takes the address of a listener, and may be repeated. */
const listener = (text: string, previous: string[] = []): string[] => {
  if (splitAddress(text) === null) throw new InvalidArgumentError('must be HOST:PORT.');
  return [...previous, text];
};

/** A time of day as text; none is empty. */
export const timeText = (time: number | null): string =>
  time === null ? '' : new Date(time).toISOString();

/** The answer to a request that was accepted: what it is named, and how far it is. */
export const phaseText = ({ id, phase }: Record<string, unknown>): string =>
  `${String(id)}: ${String(phase)}`;

/** A line for each record that controllers cannot read. */
export const unreadableLines = ({ unreadable }: Record<string, unknown>): string[] =>
  (unreadable as string[]).map((key) => `cannot be read: ${key}`);

/** Columns as wide as their widest cell. */
export function tableText(rows: readonly (readonly string[])[]): string {
  const widths = rows[0]!.map((_, i) => Math.max(...rows.map((row) => row[i]!.length)));
  return rows
    .map((row) =>
      row
        .map((cell, i) => cell.padEnd(widths[i]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Runs the command; answers its exit code. */
export async function runCommand(
  parts: readonly CommandPart[],
  argv: string[],
  output: Output,
): Promise<number> {
  let exitCode: number = EXIT.done;
  const report: Report = ({ json }, { status, body }, text) => {
    if (status >= 400) {
      exitCode = BAD_INPUT_STATUSES.has(status) ? EXIT.badInput : EXIT.refused;
      output.error(String(body.error ?? `status ${status}`));
      return;
    }
    output.out(json ? JSON.stringify(body) : text(body));
  };
  try {
    await programOf(parts, report, output).parseAsync(argv, { from: 'user' });
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? EXIT.done : EXIT.badInput;
    }
    if (!(error instanceof InvalidInputError || error instanceof UnreachableError)) throw error;
    output.error(error.message);
    return error instanceof InvalidInputError ? EXIT.badInput : EXIT.unreachable;
  }
  return exitCode;
}

function programOf(parts: readonly CommandPart[], report: Report, output: Output): Command {
  const program = new Command('leverhatch')
    .description("Operators' commands of leverhatch")
    .exitOverride()
    .configureOutput({ writeOut: output.out, writeErr: (text) => output.error(text.trimEnd()) });
  for (const part of parts) {
    const group = program.command(part.name).description(part.description).exitOverride();
    const add: AddVerb = (name, description) =>
      group
        .command(name)
        .description(description)
        .exitOverride()
        .requiredOption('--at <address>', "a controller's listener; may be repeated", listener)
        .option('--json', 'print what the controller says as JSON');
    part.addVerbs(add, report);
  }
  return program;
}
