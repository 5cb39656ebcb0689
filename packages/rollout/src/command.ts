/** The `leverhatch rollout` command line: verbs, options and output. */
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
import { InvalidArgumentError } from 'commander';

interface StartOptions extends CommonOptions {
  from: string;
  to: string;
  id?: string;
  steps?: number[];
  surge?: number;
  ready?: number;
  judge?: number;
  samples?: number;
  percentile?: number;
  ratio?: number;
  errors?: number;
  dryRun?: boolean;
}

/** The verbs of `leverhatch rollout`. */
export const rolloutCommand: CommandGroup = {
  name: 'rollout',
  description: 'stepped rollouts of new versions of services',
  addSubcommands,
};

const PERCENT = 100;

/** Parses percentages such as `10,50,100` into fractions of 1. */
function parseSteps(text: string): number[] {
  const fractions = text.split(',').map((word) => Number(word.trim()) / PERCENT);
  if (text.trim() === '' || fractions.some((fraction) => !Number.isFinite(fraction))) {
    throw new InvalidArgumentError('must be percentages such as 10,50,100.');
  }
  return fractions;
}

function parseNonNegative(text: string): number {
  const value = Number(text);
  if (text.trim() !== '' && Number.isFinite(value) && value >= 0) return value;
  throw new InvalidArgumentError('must not be negative.');
}

/**
 * Builds the body of a start request.
 *
 * @throws InvalidInputError for input that is invalid regardless of the state of the cluster
 */
function startRequestBody(options: StartOptions): object {
  const { from, to } = options;
  if (from === to) throw new InvalidInputError('to: must be another job than from');
  return {
    ...{ id: options.id ?? randomUUID(), from, to },
    ...{ steps: options.steps, maxSurge: options.surge },
    ...{ readySeconds: options.ready, judgeSeconds: options.judge },
    ...{ minSamples: options.samples, percentile: options.percentile },
    ...{ maxLatencyRatio: options.ratio, maxErrorIncrease: options.errors },
  };
}

// ---- output

interface VersionView {
  placed: number;
  proven: number;
}

interface RolloutView {
  id: string;
  from: string;
  to: string;
  phase: string;
  step?: number;
  steps: number[];
  ceilings?: { from: number | null; to: number | null };
  seen: { from: VersionView; to: VersionView } | null;
  reason?: string | null;
  changedAt?: number;
  waitsFor: string | null;
}

const versionText = (
  version: VersionView | undefined,
  ceiling: number | null | undefined,
): string => {
  const counts = version ? `${version.proven}/${version.placed}` : '?/?';
  return `${counts} of ${ceiling ?? '-'}`;
};

function rolloutsText(rollouts: RolloutView[]): string {
  const header = ['ROLLOUT', 'FROM', 'TO', 'PHASE', 'STEP', 'OLD', 'NEW', 'CHANGED', 'WAITS FOR'];
  const rows = rollouts.map((rollout) => [
    ...[rollout.id, rollout.from, rollout.to, rollout.phase],
    rollout.step === undefined ? '' : `${rollout.step + 1}/${rollout.steps.length}`,
    versionText(rollout.seen?.from, rollout.ceilings?.from),
    versionText(rollout.seen?.to, rollout.ceilings?.to),
    timeText(rollout.changedAt ?? null),
    [rollout.reason, rollout.waitsFor].filter(Boolean).join('; '),
  ]);
  return tableText([header, ...rows]);
}

function statusText(body: Record<string, unknown>): string {
  const paragraphs = [
    'OLD and NEW are replicas proven / placed of those allowed; ? is known to the leader alone.',
  ];
  paragraphs.push(rolloutsText(body.rollouts as RolloutView[]));
  return [...paragraphs, ...unreadableLines(body)].join('\n\n');
}

interface PlannedBatch {
  step: number;
  surge: number;
  from: number;
  to: number;
}

function planText(body: Record<string, unknown>): string {
  const room = body.room as { cpus: number; gpus: number };
  const rows = (body.steps as PlannedBatch[]).map((batch) => [
    String(batch.step + 1),
    String(batch.surge),
    String(batch.from),
    String(batch.to),
  ]);
  return [
    `${String(body.replicas)} replicas; room needed beside them: ${room.gpus} GPUs, ${room.cpus} CPUs`,
    tableText([['STEP', 'SURGE', 'OLD AFTER', 'NEW AFTER'], ...rows]),
  ].join('\n');
}

// ---- verbs

function addSubcommands(add: AddSubcommand, report: Report): void {
  addStart(add, report);
  add('status', 'rollouts under way, and jobs that one left without replicas')
    .argument('[id]')
    .action(async (id: string | undefined, options: CommonOptions) => {
      const response = await requestFromLeader(options.at, '/rollouts');
      report(options, filterById(response, id), statusText);
    });
  add('history', 'rollouts that are over').action(async (options: CommonOptions) => {
    const response = await requestFromAny(options.at, 'GET', '/rollouts/history');
    report(options, response, (body) => rolloutsText(body.rollouts as RolloutView[]));
  });
  addCommand(add, report, 'pause', 'holds a rollout where it is');
  addCommand(add, report, 'resume', 'lets a paused rollout go on');
  addCommand(add, report, 'rollback', 'brings the old version back; cannot be undone');
}

/** Reduces the response to one rollout if an id is given. */
function filterById(
  response: Awaited<ReturnType<typeof requestFromAny>>,
  id: string | undefined,
): Awaited<ReturnType<typeof requestFromAny>> {
  const { status, body } = response;
  if (id === undefined || status >= 400) return response;
  const rollouts = (body.rollouts as RolloutView[]).filter((rollout) => rollout.id === id);
  if (rollouts.length > 0) return { status, body: { ...body, rollouts } };
  return { status: 404, body: { error: `id: no rollout ${id} is under way` } };
}

function addStart(add: AddSubcommand, report: Report): void {
  add('start', 'starts a rollout; the new job may be submitted before or afterwards')
    .requiredOption('--from <job>', 'the service that runs')
    .requiredOption('--to <job>', 'the service that takes its place')
    .option('--steps <percentages>', 'replicas of the new version after each step', parseSteps)
    .option(
      '--surge <replicas>',
      'how many replicas may be placed beyond those of a job',
      parsePositive,
    )
    .option(
      '--ready <seconds>',
      'how long a new replica may run without being proven',
      parsePositive,
    )
    .option('--judge <seconds>', 'how long both versions are compared in each step', parsePositive)
    .option('--samples <requests>', 'requests of each version that a verdict needs', parsePositive)
    .option('--percentile <percentile>', 'which percentile of latency is compared', parsePositive)
    .option('--ratio <ratio>', 'worse if that is above so many times the old one', parsePositive)
    .option('--errors <share>', 'worse if the error rate is higher by more', parseNonNegative)
    .option('--id <id>', 'names the rollout: the same one again changes nothing')
    .option('--dry-run', 'says what it would do, without doing it')
    .action(async (options: StartOptions) => {
      const path = options.dryRun ? '/rollouts/plan' : '/rollouts';
      const response = await requestFromAny(options.at, 'POST', path, startRequestBody(options));
      report(options, response, options.dryRun ? planText : phaseText);
    });
}

function addCommand(
  add: AddSubcommand,
  report: Report,
  command: string,
  description: string,
): void {
  add(command, description)
    .argument('<id>')
    .action(async (id: string, options: CommonOptions) => {
      const path = `/rollouts/${encodeURIComponent(id)}/${command}`;
      const response = await requestFromAny(options.at, 'POST', path, {});
      report(options, response, () => `${id}: ${command} ordered`);
    });
}
