/** The operators' command: asks controllers over HTTP and prints what they say. */
import { randomUUID } from 'node:crypto';
import { Command, CommanderError, InvalidArgumentError } from 'commander';

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

interface Answered {
  status: number;
  body: Record<string, unknown>;
}

interface CommonOptions {
  at: string[];
  json?: boolean;
}

interface MoveOptions extends CommonOptions {
  from: string;
  to: string;
  gpus?: number;
  cpus?: number;
  only?: 'guarantee' | 'limit';
  until?: string;
  for?: number;
  drain?: number;
  id?: string;
}

/** No controller answered, or each was refused by the state service. */
class Unreachable extends Error {}

/** Asks the controllers in turn; one that does not serve, or does not lead where it has to, is passed. */
async function ask(at: string[], method: string, path: string, body?: object): Promise<Answered> {
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
      failures.push(`${address}: ${error instanceof Error ? error.message : String(error)}`);
    }
  }
  throw new Unreachable(failures.join('; '));
}

const positive = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('must be positive.');
  return value;
};

const collect = (value: string, previous: string[] = []): string[] => [...previous, value];

function timeOfDay(text: string): number {
  const time = Date.parse(text);
  if (Number.isNaN(time)) throw new CommanderError(EXIT.badInput, 'until', 'until: no time of day');
  return time;
}

function moveBody(options: MoveOptions): object {
  const amounts = {
    ...(options.gpus === undefined ? {} : { gpus: options.gpus }),
    ...(options.cpus === undefined ? {} : { cpus: options.cpus }),
  };
  return {
    id: options.id ?? randomUUID(),
    from: options.from,
    to: options.to,
    ...(options.only === 'limit' ? {} : { guarantee: amounts }),
    ...(options.only === 'guarantee' ? {} : { limit: amounts }),
    ...(options.until === undefined ? {} : { until: timeOfDay(options.until) }),
    ...(options.for === undefined ? {} : { forSeconds: options.for }),
    ...(options.drain === undefined ? {} : { drainSeconds: options.drain }),
  };
}

// ---- what is printed

type Amounts = { cpus: number | null; gpus: number | null };

const amountsText = (amounts: Amounts | null): string =>
  amounts === null ? '?' : `${amounts.gpus ?? '-'} / ${amounts.cpus ?? '-'}`;

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

interface ShownTeam {
  name: string;
  guarantee: Amounts;
  limit: Amounts;
  ceiling: Amounts;
  used: Amounts | null;
}

interface ShownMove {
  id: string;
  from: string;
  to: string;
  phase: string;
  guarantee: Amounts;
  limit: Amounts;
  passed: Amounts;
  until: number | null;
  changedAt: number;
  reason: string | null;
  waitsFor?: string | null;
}

const timeText = (time: number | null): string =>
  time === null ? '' : new Date(time).toISOString();

function movesText(moves: ShownMove[]): string {
  const head = [
    'MOVE',
    'FROM',
    'TO',
    'PHASE',
    'GUARANTEE',
    'LIMIT',
    'PASSED',
    'UNTIL',
    'CHANGED',
    'WAITS FOR',
  ];
  const rows = moves.map((m) => [
    m.id,
    m.from,
    m.to,
    m.phase,
    amountsText(m.guarantee),
    amountsText(m.limit),
    amountsText(m.passed),
    timeText(m.until),
    timeText(m.changedAt),
    m.waitsFor ?? m.reason ?? '',
  ]);
  return tableText([head, ...rows]);
}

function showText(body: Record<string, unknown>): string {
  const teams = body.teams as ShownTeam[];
  const head = ['TEAM', 'GUARANTEE', 'LIMIT', 'MAY STILL HOLD', 'USES'];
  const rows = teams.map((t) => [
    t.name,
    amountsText(t.guarantee),
    amountsText(t.limit),
    amountsText(t.ceiling),
    amountsText(t.used),
  ]);
  const parts = ['Amounts are GPUs / CPUs; - is no limit, ? is known to the leader alone.'];
  parts.push(tableText([head, ...rows]));
  const moves = body.moves as ShownMove[];
  if (moves.length > 0) parts.push(movesText(moves));
  for (const { what, reason } of body.suspended as { what: string; reason: string }[]) {
    parts.push(`suspended: ${what}: ${reason}`);
  }
  if (typeof body.policyFailure === 'string') parts.push(`policy failed: ${body.policyFailure}`);
  for (const key of body.unreadable as string[]) parts.push(`cannot be read: ${key}`);
  return parts.join('\n\n');
}

interface Preview {
  donor: { team: string; used: Amounts; guarantee: Amounts; limit: Amounts };
  toDrain: Amounts;
  wouldStopAtMost: { task: string; lossSeconds: number }[];
}

function planText(body: Record<string, unknown>): string {
  const { donor, toDrain, wouldStopAtMost } = body as unknown as Preview;
  const left = `${amountsText(donor.guarantee)} guaranteed, ${amountsText(donor.limit)} at most`;
  const lines = [
    `team ${donor.team} keeps ${left}, and uses ${amountsText(donor.used)} (GPUs / CPUs)`,
    `to be drained: ${amountsText(toDrain)}`,
    'stopped at most, if the receiver waits for all of it:',
    ...wouldStopAtMost.map(({ task, lossSeconds }) => `  ${task}, ${lossSeconds} s lost`),
  ];
  if (wouldStopAtMost.length === 0) lines.push('  nothing');
  return lines.join('\n');
}

// ---- the commands

/** Runs the command; answers its exit code. */
export async function runCommand(argv: string[], output: Output): Promise<number> {
  let exitCode: number = EXIT.done;
  const report = (
    { json }: CommonOptions,
    { status, body }: Answered,
    text: (body: Record<string, unknown>) => string,
  ): void => {
    if (status >= 400) {
      exitCode = BAD_INPUT_STATUSES.has(status) ? EXIT.badInput : EXIT.refused;
      output.error(String(body.error ?? `status ${status}`));
      return;
    }
    output.out(json ? JSON.stringify(body) : text(body));
  };
  const program = sharesProgram(report, output);
  try {
    await program.parseAsync(argv, { from: 'user' });
  } catch (error) {
    if (error instanceof CommanderError) {
      if (error.code === 'until') output.error(error.message);
      return error.exitCode === 0 ? EXIT.done : EXIT.badInput;
    }
    if (!(error instanceof Unreachable)) throw error;
    output.error(error.message);
    return EXIT.unreachable;
  }
  return exitCode;
}

type Report = (
  options: CommonOptions,
  answered: Answered,
  text: (body: Record<string, unknown>) => string,
) => void;

function sharesProgram(report: Report, output: Output): Command {
  const program = new Command('leverhatch')
    .description("Operators' commands of leverhatch")
    .exitOverride()
    .configureOutput({ writeOut: output.out, writeErr: (text) => output.error(text.trimEnd()) });
  const shares = program.command('shares').description('shares of teams').exitOverride();
  const command = (name: string, description: string): Command =>
    shares
      .command(name)
      .description(description)
      .exitOverride()
      .requiredOption('--at <address>', "a controller's listener; may be repeated", collect)
      .option('--json', 'print what the controller says as JSON');
  const movement = (name: string, description: string): Command =>
    command(name, description)
      .requiredOption('--from <team>', 'who gives')
      .requiredOption('--to <team>', 'who gets')
      .option('--gpus <amount>', 'GPUs', positive)
      .option('--cpus <amount>', 'CPUs', positive)
      .option('--only <kind>', 'guarantee or limit; both without it', oneKind)
      .option('--until <time>', 'a loan that goes back at this time of day (ISO 8601)')
      .option('--for <seconds>', 'a loan that goes back after so long', positive)
      .option('--drain <seconds>', 'goes back unless it is drained within so long', positive)
      .option('--id <id>', 'names the move: the same one again changes nothing');
  command('show', 'what every team has, and the moves under way').action(
    async (options: CommonOptions) => {
      report(options, await ask(options.at, 'GET', '/shares'), showText);
    },
  );
  command('history', 'moves that are over').action(async (options: CommonOptions) => {
    const answered = await ask(options.at, 'GET', '/shares/history');
    report(options, answered, (body) => movesText(body.moves as ShownMove[]));
  });
  movement('plan', 'what a move would leave and stop, without doing it').action(
    async (options: MoveOptions) => {
      const answered = await ask(options.at, 'POST', '/shares/plan', moveBody(options));
      report(options, answered, planText);
    },
  );
  movement('move', 'moves a share').action(async (options: MoveOptions) => {
    const answered = await ask(options.at, 'POST', '/shares/moves', moveBody(options));
    report(options, answered, (body) => `${String(body.id)}: ${String(body.phase)}`);
  });
  command('cancel', 'takes a move back')
    .argument('<id>')
    .action(async (id: string, options: CommonOptions) => {
      const path = `/shares/moves/${encodeURIComponent(id)}/cancel`;
      const answered = await ask(options.at, 'POST', path, {});
      report(options, answered, () => `${id}: will be cancelled`);
    });
  return program;
}

function oneKind(text: string): string {
  if (text === 'guarantee' || text === 'limit') return text;
  throw new InvalidArgumentError('must be guarantee or limit.');
}
