/**
 * Scheduling cycles over the largest jobs that the service accepts. Runs as a worker thread, whose
 * heap can be limited to that of a deployed controller.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { Priority, type JobKind, type JobSpec } from '../../src/jobs/job.js';
import { schedule } from '../../src/scheduler/scheduling-cycle.js';
import type {
  InstanceOffer,
  JobView,
  SchedulingPlan,
  Snapshot,
} from '../../src/scheduler/scheduling-model.js';
import { jobView, machine, MAX_TASKS, snapshotWith, SPEC, TYPE } from './samples.js';

/** What the cycles of one worker thread vary. */
export interface LargestJobsCase {
  kind: JobKind;
  /** Number of tasks that fit on one machine. */
  tasksPerMachine: number;
  /** Number of jobs of `MAX_TASKS` tasks each. */
  jobs: number;
}

/** The result of one cycle. */
export interface LargestJobsResult {
  /** The variant of the cycle, as text. */
  variant: string;
  /** Number of machines to provision. */
  provisioned: number;
}

const RULES: Partial<JobSpec>[] = [{}, { oneZone: true }, { spread: true }];

const PRIORITIES = [Priority.Production, Priority.High, Priority.Normal, Priority.Low];

/** Zones of the fleet; the cost of machines in two of them is the same. */
const ZONES = ['a', 'b'];

const OFFERS: InstanceOffer[] = ZONES.flatMap((zone) => [
  { type: TYPE, zone, spot: false, price: TYPE.price },
  { type: TYPE, zone, spot: true, price: TYPE.spotPrice },
]);

/** In which part of the snapshot the tasks are. */
const SOURCES = ['waiting', 'backfill', 'opportunistic', 'upcoming', 'expected'] as const;

type Source = (typeof SOURCES)[number];

function snapshotOf(source: Source, spec: JobSpec, jobs: number): Snapshot {
  const overrides: Partial<JobView> = {
    isBackfill: source === 'backfill',
    opportunisticConcurrency: source === 'opportunistic' ? spec.tasks : null,
  };
  const views = Array.from({ length: jobs }, (_, i) => jobView(`req-${i}`, spec, overrides));
  const expectedTasks = views.map(() => ({ spec, count: spec.tasks }));
  const unlimited = { cpus: Infinity, gpus: Infinity };
  const none = { cpus: 0, gpus: 0 };
  const teams = new Map([[spec.team, { guarantee: none, limit: unlimited, used: { ...none } }]]);
  const isListed = source !== 'upcoming' && source !== 'expected';
  return snapshotWith(teams, {
    machines: [machine('up'), machine('booting', { isUp: false })],
    offers: OFFERS,
    jobs: isListed ? views : [],
    upcomingJobs: source === 'upcoming' ? views : [],
    expectedTasks: source === 'expected' ? expectedTasks : [],
  });
}

const provisionedBy = ({ scaleOut }: SchedulingPlan): number =>
  scaleOut.reduce((sum, { count }) => sum + count, 0);

/** Runs a cycle for each priority, placement rule and part of the snapshot. */
function* runCycles({
  kind,
  tasksPerMachine,
  jobs,
}: LargestJobsCase): Generator<LargestJobsResult> {
  const { cpus, memoryGb } = TYPE.capacity;
  const need = { cpus: cpus / tasksPerMachine, gpus: 0, memoryGb: memoryGb / tasksPerMachine };
  for (const priority of PRIORITIES) {
    for (const rules of RULES) {
      for (const source of SOURCES) {
        const spec = { ...SPEC, kind, priority, need, tasks: MAX_TASKS, ...rules };
        const variant = `${Priority[priority]} ${source} ${Object.keys(rules).join()}`;
        yield { variant, provisioned: provisionedBy(schedule(snapshotOf(source, spec, jobs))) };
      }
    }
  }
}

if (parentPort) {
  for (const result of runCycles(workerData as LargestJobsCase)) parentPort.postMessage(result);
}
