/** The placements of one job, counted by state so that no event has to go over all of them. */
import type { TaskState } from '../wire/worker-heartbeat.js';

/** A stop of one or more tasks. */
export interface StopRequest {
  /** How long a running task may take to save a checkpoint, in milliseconds. */
  readonly graceMs: number;
}

/** The part of a placement that is counted. */
interface CountedPlacement {
  readonly task: number;
  state: TaskState | null;
  stop: StopRequest | null;
}

/**
 * The placements of a job by task. The counts take constant time, since each end of a task needs them and
 * a job may have 100,000 tasks. While a placement is in this map, its `state` and `stop` are changed only
 * by `setState` and `setStop`.
 */
export class JobPlacements<P extends CountedPlacement> extends Map<number, P> {
  private incomplete = 0;
  private running = 0;
  private runningIncomplete = 0;
  private notStopping = 0;
  private stoppingWithGrace = 0;

  /** @param isDone whether a task of the job has completed */
  constructor(private readonly isDone: (task: number) => boolean) {
    super();
  }

  /** Number of placements whose task has not completed. */
  get incompleteCount(): number {
    return this.incomplete;
  }

  /** Number of placements that are running. */
  get runningCount(): number {
    return this.running;
  }

  /** Number of running placements whose task has not completed. */
  get runningIncompleteCount(): number {
    return this.runningIncomplete;
  }

  /** Number of placements whose task was told to stop. */
  get stoppingCount(): number {
    return this.size - this.notStopping;
  }

  /** Whether a task was told to stop with a grace period and is not gone yet. */
  get hasStopWithGrace(): boolean {
    return this.stoppingWithGrace > 0;
  }

  /** Whether a stop of all tasks would change anything; false once all were told to stop at once. */
  get mayStop(): boolean {
    return this.notStopping > 0 || this.stoppingWithGrace > 0;
  }

  override set(task: number, placement: P): this {
    const previous = this.get(task);
    if (previous) this.count(previous, -1);
    this.count(placement, 1);
    return super.set(task, placement);
  }

  override delete(task: number): boolean {
    const placement = this.get(task);
    if (placement) this.count(placement, -1);
    return super.delete(task);
  }

  override clear(): void {
    super.clear();
    this.recount();
  }

  /** Sets the reported state of a task. */
  setState(placement: P, state: TaskState): void {
    if (placement.state !== state) this.update(placement, () => (placement.state = state));
  }

  /** Records that a task is to be stopped. */
  setStop(placement: P, stop: StopRequest): void {
    this.update(placement, () => (placement.stop = stop));
  }

  /** Updates the counts after a task of the job has completed. */
  recordDone(task: number): void {
    const placement = this.get(task);
    if (!placement) return;
    this.incomplete--;
    if (placement.state === 'running') this.runningIncomplete--;
  }

  /** Counts all placements anew, after the completed tasks were replaced. */
  recount(): void {
    this.incomplete = 0;
    this.running = 0;
    this.runningIncomplete = 0;
    this.notStopping = 0;
    this.stoppingWithGrace = 0;
    for (const placement of this.values()) this.count(placement, 1);
  }

  /** Changes a placement, which is counted only while it is in this map. */
  private update(placement: P, change: () => void): void {
    const isCounted = this.get(placement.task) === placement;
    if (isCounted) this.count(placement, -1);
    change();
    if (isCounted) this.count(placement, 1);
  }

  private count({ task, state, stop }: P, sign: 1 | -1): void {
    const isIncomplete = !this.isDone(task);
    if (isIncomplete) this.incomplete += sign;
    if (state === 'running') this.running += sign;
    if (state === 'running' && isIncomplete) this.runningIncomplete += sign;
    if (stop === null) this.notStopping += sign;
    else if (stop.graceMs > 0) this.stoppingWithGrace += sign;
  }
}
