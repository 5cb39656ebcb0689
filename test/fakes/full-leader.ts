/**
 * A leader whose jobs have more tasks than it has memory to track, without store and network. Runs as a
 * worker thread, whose heap can be limited to that of a deployed controller.
 */
import { parentPort, workerData } from 'node:worker_threads';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { GangGate } from '../../src/control/admission/gang-gate.js';
import { TaskLifecycle } from '../../src/control/reconciliation/task-lifecycle.js';
import { LongPoll } from '../../src/control/reconciliation/long-poll.js';
import { TaskStopper } from '../../src/control/reconciliation/task-stopper.js';
import { ExpectedDemand } from '../../src/control/scheduling/expected-demand.js';
import { PlanApplier, type PlanApplierContext } from '../../src/control/scheduling/plan-applier.js';
import { takeSnapshot, type SnapshotSources } from '../../src/control/scheduling/snapshot.js';
import { trackedTasksLimit } from '../../src/control/scheduling/tracked-tasks-limit.js';
import { Term } from '../../src/election/term.js';
import { Fleet } from '../../src/fleet/fleet.js';
import type { StopCommandSender } from '../../src/fleet/stop-command-sender.js';
import { Priority, type JobKind } from '../../src/jobs/job.js';
import { JobRecordWriter } from '../../src/jobs/job-record-writer.js';
import { tasksPerRange, tasksPerRecord, WRITE_ID, type RunRecord } from '../../src/jobs/records.js';
import { RunRecordReader } from '../../src/jobs/run-reader.js';
import { Job } from '../../src/jobs/tracked-job.js';
import { schedule } from '../../src/scheduler/scheduling-cycle.js';
import { OPERATOR_DEFAULTS } from '../../src/settings/operator.js';
import { KEYS } from '../../src/state/keys.js';
import { StoreLimits } from '../../src/state/store-limits.js';
import type { Change, Store } from '../../src/state/store.js';
import type { ExitReason, TaskStatus } from '../../src/wire/worker-heartbeat.js';
import { FakeClock } from './clock.js';
import { settings } from './sample-settings.js';
import { SPEC, TYPE } from './samples.js';

/** The jobs and machines of one worker thread. */
export interface FullLeaderCase {
  kind: JobKind;
  jobs: number;
  tasksPerJob: number;
  machines: number;
  memoryMb: number;
  /** Limit of a value in the store, in bytes. */
  valueBytes: number;
  /** The tasks are on machines already, according to the records of an earlier leader. */
  isStored?: boolean;
}

/** What the leader tracks after one step. */
export interface FullLeaderStep {
  step: string;
  /** Number of placements, and of exits that are not stored. */
  tracked: number;
  /** Live heap, in MB; only if the garbage collector is exposed. */
  heapMb: number | null;
}

const FENCING_TOKEN = 7;

/** Each machine has capacity for this many tasks. */
const TASKS_PER_MACHINE = 8000;

const NEED = {
  cpus: TYPE.capacity.cpus / TASKS_PER_MACHINE,
  gpus: 0,
  memoryGb: TYPE.capacity.memoryGb / TASKS_PER_MACHINE,
};

class FullLeader {
  readonly jobs = new Map<string, Job>();
  readonly clock = new FakeClock();
  private readonly fleet: Fleet;
  private readonly sources: SnapshotSources;
  private readonly applier: PlanApplier;
  private readonly stored = new Map<string, unknown>();
  private storeAnswers = false;
  private sequence = 0;

  constructor(private readonly scenario: FullLeaderCase) {
    const sample = settings();
    const runtime = { clock: this.clock, log: { debug() {} } } as unknown as Runtime;
    const { jobs } = this;
    this.fleet = new Fleet(
      {
        running: (placement) => lifecycle.onRunning(placement),
        exited: (placement, reason, saved) => lifecycle.onExited(placement, reason, saved),
        lost: (placement) => lifecycle.onLost(placement),
      },
      FENCING_TOKEN,
      0,
      sample.workers.leaseMs,
      { expiryOf: () => -Infinity, confirmedAsOf: Infinity },
    );
    const { fleet } = this;
    const gangGate = new GangGate(OPERATOR_DEFAULTS);
    const commands = { add() {} } as unknown as StopCommandSender;
    const longPoll = new LongPoll(runtime, sample.workers.heartbeatIntervalMs);
    const taskStopper = new TaskStopper(fleet, longPoll, commands, sample.workers, this.clock);
    const recordWriter = this.createWriter(runtime);
    const requestSchedule = (): void => undefined;
    const shared = { runtime, fleet, gangGate, taskStopper, recordWriter, requestSchedule };
    const lifecycle = new TaskLifecycle(shared);
    this.sources = {
      ...{ runtime, jobs, fleet, settings: sample },
      provisioner: { pendingRequests: () => [], isBackedOff: () => true },
      reconciler: { idleTimeoutMs: () => 0 },
      extensions: {
        startableTasks: (job) => job.startableTaskCount,
        placementLimit: () => Infinity,
        mayMove: () => true,
      },
      expectedDemand: new ExpectedDemand(jobs, sample),
      maxTrackedTasks: trackedTasksLimit(scenario.memoryMb),
      machineTypes: () => new Map([[TYPE.name, TYPE]]),
      quotas: () => sample.teams,
    } as SnapshotSources;
    this.applier = new PlanApplier({
      ...{ ...shared, jobs, gangTimeouts: { bootMs: () => 0 } },
    } as unknown as PlanApplierContext);
    this.addJobs('req-a', scenario.jobs, scenario.tasksPerJob, Priority.Low);
    this.heartbeats(() => null);
  }

  /** A writer on a store that answers nothing until `storeAll`. */
  private createWriter(runtime: Runtime): JobRecordWriter {
    const { memoryMb, valueBytes } = this.scenario;
    let revision = 1;
    const store = {
      queuedWrites: 1,
      commit: async (_conditions: unknown, changes: Change[]) => {
        while (!this.storeAnswers) await this.clock.sleep(1000);
        for (const change of changes)
          if ('put' in change) this.stored.set(change.put, JSON.stringify(change.value));
        return { ok: true, revision: ++revision };
      },
    } as unknown as Store;
    const never = (): boolean => false;
    return new JobRecordWriter({
      ...{ store, runtime, memoryMb, term: new Term('t', FENCING_TOKEN, 0, Infinity) },
      limits: new StoreLimits({ ...settings().state, valueBytes }),
      layoutPolicy: { rangesReadable: never, leftoversKnown: never, rangesWanted: never },
      exitBatchMs: 1000,
      events: {
        jobChanged: () => undefined,
        startsRecorded: (placements) => {
          for (const placement of placements) placement.stage = 'recorded';
        },
        exitsRecorded: (placements) => {
          for (const placement of placements) this.fleet.acknowledgeExit(placement);
        },
        inconsistencyDetected: (message) => {
          throw new Error(message);
        },
        endRecorded: () => undefined,
        archived: (job) => this.jobs.delete(job.id),
      },
    });
  }

  addJobs(prefix: string, count: number, tasks: number, priority: Priority): void {
    const { kind, valueBytes } = this.scenario;
    for (let i = 0; i < count; i++) {
      const spec = { ...SPEC, team: 'guests', kind, priority, tasks, need: NEED, checkpointMs: 0 };
      const id = `${prefix}${i}`;
      this.jobs.set(id, new Job(id, spec, 0, 1, tasksPerRecord(valueBytes)));
    }
  }

  get tracked(): number {
    let tracked = 0;
    for (const { placements, unrecordedExits } of this.jobs.values())
      tracked += placements.size + unrecordedExits.size;
    return tracked;
  }

  cycle(): void {
    const now = this.clock.now();
    this.applier.apply(schedule(takeSnapshot(this.sources, now)), now, false);
  }

  /** A heartbeat of every machine, with the exit reason of each recorded task, or null if it runs. */
  heartbeats(exitReasonOf: () => ExitReason | null): void {
    const sequence = ++this.sequence;
    for (let i = 0; i < this.scenario.machines; i++) {
      const machine = `host-${i}`;
      const tasks: TaskStatus[] = [];
      for (const { job, task, attempt, stage } of this.fleet.machines.get(machine)?.placements ??
        []) {
        if (stage === 'recording') continue;
        const exitReason = exitReasonOf();
        const state = exitReason === null ? 'running' : 'exited';
        tasks.push({ job: job.id, task, attempt, state, exitReason, checkpointed: false });
      }
      const place = { machine, address: `${machine}:1`, type: TYPE.name, zone: 'a', spot: false };
      const heartbeat = { ...place, agentEpoch: 1, sequence, fencingToken: FENCING_TOKEN, tasks };
      this.fleet.applyHeartbeat(
        { ...heartbeat, preemptionNoticeMs: null },
        TYPE,
        this.clock.now(),
        true,
      );
    }
  }

  /** Lets the store answer until all starts are recorded. */
  async storeAll(): Promise<void> {
    this.storeAnswers = true;
    for (let i = 0; i < 2000; i++) await this.clock.advance(1000);
    this.storeAnswers = false;
  }

  /** Restores the jobs from records of an earlier leader that placed all of their tasks. */
  adoptStored(): void {
    const { machines, valueBytes } = this.scenario;
    const reader = new RunRecordReader((id) => this.jobs.get(id) ?? null);
    const perRecord = tasksPerRecord(valueBytes);
    for (const { id, spec } of this.jobs.values()) {
      for (let index = 0; index * perRecord < spec.tasks; index++) {
        const placed: RunRecord['placed'] = [];
        for (let task = index * perRecord; task < (index + 1) * perRecord; task++)
          if (task < spec.tasks) placed.push([task, 1, `host-${task % machines}`, 1, 'a']);
        const value = { [WRITE_ID]: 'w', attempt: 1, done: [], placed };
        const page = JSON.parse(JSON.stringify(value)) as unknown;
        reader.read([{ key: KEYS.run(id, index), value: page, version: 2 }]);
      }
    }
    for (const restoration of reader.restorations.values()) {
      for (const placement of restoration.finish(tasksPerRange(valueBytes), 0, 0))
        this.fleet.addPlacement(placement, 0);
    }
  }

  /** Number of tasks that are told to stop. */
  get stopping(): number {
    let stopping = 0;
    for (const { placements } of this.jobs.values())
      for (const { stop } of placements.values()) if (stop) stopping++;
    return stopping;
  }

  /** The jobs as the next leader reads them, page by page. */
  restore(): Map<string, Job> {
    const jobs = new Map<string, Job>();
    for (const { id, spec } of this.jobs.values())
      jobs.set(id, new Job(id, spec, 0, 1, tasksPerRecord(this.scenario.valueBytes)));
    const reader = new RunRecordReader((id) => jobs.get(id) ?? null);
    for (const [key, value] of this.stored)
      reader.read([{ key, value: JSON.parse(String(value)) as unknown, version: 2 }]);
    for (const restoration of reader.restorations.values())
      restoration.finish(tasksPerRange(this.scenario.valueBytes), 0, 0);
    return jobs;
  }
}

const collectGarbage = (globalThis as { gc?: () => void }).gc;

function reportOf(leader: FullLeader, step: string, tracked = leader.tracked): FullLeaderStep {
  collectGarbage?.();
  const heapMb = collectGarbage ? process.memoryUsage().heapUsed / 2 ** 20 : null;
  return { step, tracked, heapMb };
}

async function* runSteps(scenario: FullLeaderCase): AsyncGenerator<FullLeaderStep> {
  const leader = new FullLeader(scenario);
  const report = (step: string, tracked?: number): FullLeaderStep =>
    reportOf(leader, step, tracked);
  yield report('accepted');
  leader.cycle();
  yield report('placed, with transactions that the store does not answer');
  await leader.storeAll();
  leader.heartbeats(() => null);
  yield report('running');
  leader.cycle();
  leader.addJobs('req-u', 1, scenario.tasksPerJob, Priority.High);
  leader.cycle();
  yield report('urgent work waits');
  let restored = 0;
  for (const { placements } of leader.restore().values()) restored += placements.size;
  yield report('read back beside the former state', leader.tracked + restored);
  leader.heartbeats(() => 'done');
  leader.cycle();
  yield report('ended, with transactions that the store does not answer');
}

function* runStoredSteps(scenario: FullLeaderCase): Generator<FullLeaderStep> {
  const leader = new FullLeader(scenario);
  leader.adoptStored();
  yield reportOf(leader, 'read back');
  leader.heartbeats(() => null);
  leader.cycle();
  yield reportOf(leader, 'running');
  leader.addJobs('req-u', 1, 100, Priority.High);
  leader.cycle();
  yield reportOf(leader, 'urgent work waits', leader.stopping);
  leader.heartbeats(() => 'done');
  leader.cycle();
  yield reportOf(leader, 'ended, with transactions that the store does not answer');
}

if (parentPort) {
  const scenario = workerData as FullLeaderCase;
  const steps = scenario.isStored ? runStoredSteps(scenario) : runSteps(scenario);
  for await (const step of steps) parentPort.postMessage(step);
}
