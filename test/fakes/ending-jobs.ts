/**
 * Ends the tasks of one job in every way, at a given size. Runs as a worker thread, whose heap and stack
 * can be limited to those of a deployed controller.
 */
import { parentPort, workerData } from 'node:worker_threads';
import type { JobKind } from '../../src/jobs/job.js';
import type { ExitReason } from '../../src/wire/worker-heartbeat.js';
import { EndingJob, type StartStage } from './ending-job.js';
import { VisitCounter } from './visit-counter.js';

/** What the runs of one worker thread have in common. */
export interface EndingJobsCase {
  kind: JobKind;
  stage: StartStage;
  /** Sizes of the job, the smaller one first. */
  tasks: [number, number];
}

/** The result of one event at the larger size. */
export interface EndingJobsResult {
  event: string;
  /** What was thrown; null if nothing was. */
  error: string | null;
  /** Tasks that may still be on machines, by the job and by the machines; null after an error. */
  remaining: { ofJob: number; onMachines: number } | null;
  /** Number of tasks that the event leaves on machines. */
  expected: number;
}

/** Something that ends or stops tasks. */
interface EndingEvent {
  name: string;
  happen(ending: EndingJob): void;
  /** Whether the next leader has taken over the job before. */
  isTakenOver?: boolean;
  /** Whether it ends tasks of this stage in an array or a service; a gang always ends as a whole. */
  ends: { running: 'all' | 'one' | 'none'; unrecorded: 'all' | 'none' };
}

const exitsAs =
  (exitReason: ExitReason) =>
  (ending: EndingJob): void =>
    ending.report(() => exitReason);

/** The first task runs in every stage but `unrecorded`. */
const failFirstTask = (ending: EndingJob): void =>
  ending.report(({ task }) => (task === 0 ? 'error' : null));

/** Half of the members are gone, and the others still run. */
function reportHalfStopped(ending: EndingJob): void {
  ending.report(({ task }) => (task % 4 < 2 ? 'gang_member_lost' : null));
}

const ALL_DONE = 'every running task is done';

const EVENTS: EndingEvent[] = [
  {
    name: 'every running task fails',
    happen: exitsAs('error'),
    ends: { running: 'all', unrecorded: 'none' },
  },
  {
    name: ALL_DONE,
    happen: exitsAs('done'),
    ends: { running: 'all', unrecorded: 'none' },
  },
  {
    name: 'one task fails',
    happen: failFirstTask,
    ends: { running: 'one', unrecorded: 'none' },
  },
  {
    name: 'every machine is released',
    happen: (ending) => ending.releaseMachines(),
    ends: { running: 'all', unrecorded: 'all' },
  },
  {
    name: 'every machine fails',
    happen: (ending) => ending.failMachines(),
    ends: { running: 'all', unrecorded: 'all' },
  },
  {
    name: 'every worker restarts',
    happen: (ending) => ending.reportNothing(2),
    ends: { running: 'all', unrecorded: 'all' },
  },
  {
    name: 'every lease expires',
    happen: (ending) => ending.expireLeases(),
    ends: { running: 'all', unrecorded: 'all' },
  },
  {
    name: 'every start is lost',
    happen: (ending) => ending.reportNothing(),
    ends: { running: 'all', unrecorded: 'none' },
  },
  {
    name: 'its cancellation is announced',
    happen: (ending) => ending.announceCancellation(),
    ends: { running: 'all', unrecorded: 'all' },
  },
  {
    name: 'its cancellation is recorded',
    happen: (ending) => ending.recordCancellation(),
    ends: { running: 'all', unrecorded: 'all' },
  },
  {
    name: 'quota is taken back',
    happen: (ending) => ending.withdrawStarts(),
    ends: { running: 'none', unrecorded: 'all' },
  },
];

const GANG_EVENTS: EndingEvent[] = [
  {
    name: 'it times out',
    happen: (ending) => ending.timeOut(),
    ends: { running: 'all', unrecorded: 'all' },
  },
  {
    name: 'the leader changes while its tasks are being stopped',
    happen: reportHalfStopped,
    isTakenOver: true,
    ends: { running: 'all', unrecorded: 'all' },
  },
];

/** The events that can happen to tasks of this stage. */
function eventsOf({ kind, stage }: EndingJobsCase): EndingEvent[] {
  const events = kind === 'gang' ? [...EVENTS, ...GANG_EVENTS] : EVENTS;
  return events.filter(({ name, ends }) => {
    // A gang is done only once all of its tasks have run.
    if (name === ALL_DONE && kind === 'gang' && stage !== 'running') return false;
    if (stage === 'running') return ends.running !== 'none';
    return stage !== 'unrecorded' || ends.unrecorded !== 'none';
  });
}

/** Number of tasks that an event leaves on machines. */
function tasksLeft({ kind, stage }: EndingJobsCase, tasks: number, { ends }: EndingEvent): number {
  if (kind === 'gang') return 0;
  const running = { running: tasks, 'half unrecorded': tasks / 2, unrecorded: 0 }[stage];
  const ended = { all: running, one: 1, none: 0 }[ends.running];
  return tasks - ended - (ends.unrecorded === 'all' ? tasks - running : 0);
}

/** Places the job; after the event, workers report the exits of all tasks that were told to stop. */
function runEvent(
  { kind, stage }: EndingJobsCase,
  tasks: number,
  event: EndingEvent,
  maxVisits: number,
): { visits: number; remaining: EndingJobsResult['remaining'] } {
  const placed = new EndingJob(kind, tasks, stage);
  const ending = event.isTakenOver ? placed.takeOver() : placed;
  const visits = counter.count(maxVisits, () => {
    event.happen(ending);
    ending.report(({ stop }) => (stop === null ? null : 'stopped'));
  });
  return { visits, remaining: ending.remaining };
}

/** The larger job may take as many visits for each of its tasks as the smaller one, and a tenth more. */
const VISITS_MARGIN = 1.1;

const counter = new VisitCounter();

function* runEvents(endingCase: EndingJobsCase): Generator<EndingJobsResult> {
  const [small, large] = endingCase.tasks;
  for (const event of eventsOf(endingCase)) {
    const expected = tasksLeft(endingCase, large, event);
    try {
      const { visits } = runEvent(endingCase, small, event, Infinity);
      const maxVisits = visits * (large / small) * VISITS_MARGIN;
      const { remaining } = runEvent(endingCase, large, event, maxVisits);
      yield { event: event.name, error: null, remaining, expected };
    } catch (error) {
      yield { event: event.name, error: String(error), remaining: null, expected };
    }
  }
}

if (parentPort) {
  counter.install();
  for (const result of runEvents(workerData as EndingJobsCase)) parentPort.postMessage(result);
}
