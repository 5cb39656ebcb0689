/** The `shares` subcommands of the operators' command line. */
import { randomUUID } from 'node:crypto';
import {
  requestFromAny,
  requestFromLeader,
  InvalidInputError,
  phaseText,
  parsePositive,
  tableText,
  timeText,
  unreadableLines,
  type AddSubcommand,
  type CommandGroup,
  type CommonOptions,
  type Report,
} from '@leverhatch/operators/command';
import { InvalidArgumentError, type Command } from 'commander';

interface TransferOptions extends CommonOptions {
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

function parseTimeOfDay(text: string): number {
  const time = Date.parse(text);
  if (Number.isNaN(time)) throw new InvalidInputError('until: no time of day');
  return time;
}

/** Builds the body of a transfer request. Throws `InvalidInputError` for errors that need no controller to detect. */
function transferBody(options: TransferOptions): object {
  if (options.from === options.to)
    throw new InvalidInputError('to: must be another team than from');
  if (options.gpus === undefined && options.cpus === undefined) {
    throw new InvalidInputError('gpus: nothing is moved, name GPUs or CPUs');
  }
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
    ...(options.until === undefined ? {} : { until: parseTimeOfDay(options.until) }),
    ...(options.for === undefined ? {} : { forSeconds: options.for }),
    ...(options.drain === undefined ? {} : { drainSeconds: options.drain }),
  };
}

// ---- output

interface Amounts {
  cpus: number | null;
  gpus: number | null;
}

const amountsText = (amounts: Amounts | null): string =>
  amounts === null ? '?' : `${amounts.gpus ?? '-'} / ${amounts.cpus ?? '-'}`;

interface ShownTeam {
  name: string;
  guarantee: Amounts;
  limit: Amounts;
  ceiling: Amounts;
  used: Amounts | null;
}

interface ShownTransfer {
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

function transfersText(transfers: ShownTransfer[]): string {
  const header = [
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
  const rows = transfers.map((transfer) => [
    transfer.id,
    transfer.from,
    transfer.to,
    transfer.phase,
    amountsText(transfer.guarantee),
    amountsText(transfer.limit),
    amountsText(transfer.passed),
    timeText(transfer.until),
    timeText(transfer.changedAt),
    transfer.waitsFor ?? transfer.reason ?? '',
  ]);
  return tableText([header, ...rows]);
}

function showText(body: Record<string, unknown>): string {
  const teams = body.teams as ShownTeam[];
  const header = ['TEAM', 'GUARANTEE', 'LIMIT', 'MAY STILL HOLD', 'USES'];
  const rows = teams.map((team) => [
    team.name,
    amountsText(team.guarantee),
    amountsText(team.limit),
    amountsText(team.ceiling),
    amountsText(team.used),
  ]);
  const sections = ['Amounts are GPUs / CPUs; - is no limit, ? is known to the leader alone.'];
  sections.push(tableText([header, ...rows]));
  const transfers = body.moves as ShownTransfer[];
  if (transfers.length > 0) sections.push(transfersText(transfers));
  for (const { what, reason } of body.suspended as { what: string; reason: string }[]) {
    sections.push(`suspended: ${what}: ${reason}`);
  }
  if (typeof body.policyFailure === 'string') sections.push(`policy failed: ${body.policyFailure}`);
  return [...sections, ...unreadableLines(body)].join('\n\n');
}

interface Preview {
  donor: { team: string; used: Amounts; guarantee: Amounts; limit: Amounts };
  toDrain: Amounts;
  wouldStopAtMost: { task: string; lossSeconds: number }[];
}

function planText(body: Record<string, unknown>): string {
  const { donor, toDrain, wouldStopAtMost } = body as unknown as Preview;
  const remaining = `${amountsText(donor.guarantee)} guaranteed, ${amountsText(donor.limit)} at most`;
  const lines = [
    `team ${donor.team} keeps ${remaining}, and uses ${amountsText(donor.used)} (GPUs / CPUs)`,
    `to be drained: ${amountsText(toDrain)}`,
    'stopped at most, if the receiver waits for all of it:',
    ...wouldStopAtMost.map(({ task, lossSeconds }) => `  ${task}, ${lossSeconds} s lost`),
  ];
  if (wouldStopAtMost.length === 0) lines.push('  nothing');
  return lines.join('\n');
}

// ---- subcommands

/** `leverhatch shares ...` shows, requests and cancels quota transfers. */
export const sharesCommand: CommandGroup = {
  name: 'shares',
  description: 'shares of teams',
  addSubcommands,
};

function addSubcommands(command: AddSubcommand, report: Report): void {
  const transferCommand = (name: string, description: string): Command =>
    command(name, description)
      .requiredOption('--from <team>', 'who gives')
      .requiredOption('--to <team>', 'who gets')
      .option('--gpus <amount>', 'GPUs', parsePositive)
      .option('--cpus <amount>', 'CPUs', parsePositive)
      .option('--only <kind>', 'guarantee or limit; both without it', parseKind)
      .option('--until <time>', 'a loan that goes back at this time of day (ISO 8601)')
      .option('--for <seconds>', 'a loan that goes back after so long', parsePositive)
      .option('--drain <seconds>', 'goes back unless it is drained within so long', parsePositive)
      .option('--id <id>', 'names the move: the same one again changes nothing');
  command('show', 'what every team has, and the moves under way').action(
    async (options: CommonOptions) => {
      report(options, await requestFromLeader(options.at, '/shares'), showText);
    },
  );
  command('history', 'moves that are over').action(async (options: CommonOptions) => {
    const answered = await requestFromAny(options.at, 'GET', '/shares/history');
    report(options, answered, (body) => transfersText(body.moves as ShownTransfer[]));
  });
  transferCommand('plan', 'what a move would leave and stop, without doing it').action(
    async (options: TransferOptions) => {
      const answered = await requestFromAny(
        options.at,
        'POST',
        '/shares/plan',
        transferBody(options),
      );
      report(options, answered, planText);
    },
  );
  transferCommand('move', 'moves a share').action(async (options: TransferOptions) => {
    const answered = await requestFromAny(
      options.at,
      'POST',
      '/shares/moves',
      transferBody(options),
    );
    report(options, answered, phaseText);
  });
  command('cancel', 'takes a move back')
    .argument('<id>')
    .action(async (id: string, options: CommonOptions) => {
      const path = `/shares/moves/${encodeURIComponent(id)}/cancel`;
      const answered = await requestFromAny(options.at, 'POST', path, {});
      report(options, answered, () => `${id}: will be cancelled`);
    });
}

function parseKind(text: string): string {
  if (text === 'guarantee' || text === 'limit') return text;
  throw new InvalidArgumentError('must be guarantee or limit.');
}
