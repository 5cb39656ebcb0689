/**
 * Placements of tasks on machines. A leader holds one for each task that may be on a machine, up to more
 * than 100,000, so what the starts of one attempt on one machine have in common is kept once.
 */
import type { TaskState } from '../wire/worker-heartbeat.js';
import type { StopRequest } from './job-placements.js';
import type { RecordedStart } from './placed-entries.js';
import type { PlacementStage } from './placement-stage.js';

/** What the starts of one attempt of a job on one machine have in common. */
export interface StartGroup<J> {
  readonly job: J;
  readonly attempt: number;
  readonly machine: string;
  readonly agentEpoch: number;
  readonly zone: string;
}

/**
 * A placement: one start of one task on a machine. It occupies its resources until it is proven
 * gone. Times are monotonic (ms).
 */
export class TaskPlacement<J> implements RecordedStart {
  state: TaskState | null = null;
  runningSince: number | null = null;
  stop: StopRequest | null = null;

  constructor(
    private readonly group: StartGroup<J>,
    readonly task: number,
    public stage: PlacementStage,
  ) {}

  get job(): J {
    return this.group.job;
  }

  get attempt(): number {
    return this.group.attempt;
  }

  get machine(): string {
    return this.group.machine;
  }

  /** The agent epoch of the machine in which the task was started. */
  get agentEpoch(): number {
    return this.group.agentEpoch;
  }

  get zone(): string {
    return this.group.zone;
  }
}

/** Groups recorded starts of one job, so that those of one attempt on one machine share a group. */
export class StartGroups<J> {
  private readonly groups = new Map<string, StartGroup<J>>();

  constructor(private readonly job: J) {}

  /** Returns the group that a start belongs to. */
  groupOf({ attempt, machine, agentEpoch, zone }: RecordedStart): StartGroup<J> {
    const key = `${machine}|${agentEpoch}|${attempt}|${zone}`;
    let group = this.groups.get(key);
    if (!group) {
      group = { job: this.job, attempt, machine, agentEpoch, zone };
      this.groups.set(key, group);
    }
    return group;
  }
}
