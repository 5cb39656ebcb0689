/**
 * Placement slots: the number of tasks that the leader has memory to track. Every task that is or may be
 * on a machine takes one, however small it is, and so do exits that the store does not get in time. A task
 * without a slot waits like one without capacity.
 */
import type { JobView, SlotUsage } from './scheduling-model.js';

/**
 * A job may hold at most this many times the slots that are still free. One job alone gets four fifths of
 * all slots, and any number of them leave some to the jobs that come after them.
 */
const MAX_HELD_PER_FREE_SLOT = 4;

/** The share of all slots that whole gangs leave free. */
const GANG_RESERVE_RATIO = 1 / 32;

/** The slots that one scheduling cycle gives out. */
export class PlacementSlots {
  /** Slots that tasks could take now. */
  private free: number;
  /** Slots that stopping tasks will free. */
  private stopping: number;
  /** Number of tasks beyond the limit; those that stop free no slots until it is zero. */
  private deficit: number;
  /** Slots that no task has taken and no planned machine is for. */
  private unplanned: number;
  /** Slots taken in this cycle, by job. */
  private readonly takenByJob = new Map<string, number>();

  /** @param countPreemptible returns how many tasks a job could preempt for their slots */
  constructor(
    private readonly usage: SlotUsage,
    private readonly countPreemptible: (job: JobView) => number,
  ) {
    const { limit, used, stopping } = usage;
    const excess = Math.max(0, used - limit);
    this.free = Math.max(0, limit - used);
    this.stopping = Math.max(0, stopping - excess);
    this.deficit = Math.max(0, excess - stopping);
    this.unplanned = this.free;
  }

  /** Returns how many of `count` tasks of a job could start now. */
  startable(job: JobView, count: number): number {
    return Math.min(this.free, this.entitledTo(job, count, this.free));
  }

  /** Returns for how many of `count` tasks of a job machines may be reserved or provisioned. */
  plannable(job: JobView, count: number): number {
    const slots = this.plannableTasks + this.stopping;
    return Math.min(slots, this.entitledTo(job, count, slots));
  }

  /** Returns how many of `count` tasks of a job get a slot, if need be by preemption. */
  obtainable(job: JobView, count: number): number {
    const slots = this.plannableTasks + this.stopping;
    const entitled = this.entitledTo(job, count, slots);
    if (entitled <= slots) return entitled;
    return Math.min(entitled, slots + Math.max(0, this.countPreemptible(job) - this.deficit));
  }

  /** Returns how many tasks have to be preempted so that `count` tasks get their slots. */
  shortage(count: number): number {
    const missing = count - this.free - this.stopping;
    return missing > 0 ? missing + this.deficit : 0;
  }

  /** Returns how many more tasks of any job machines may be provisioned for. */
  get plannableTasks(): number {
    return Math.max(0, this.unplanned);
  }

  /** Whether a gang of this size gets its slots once all tasks but replicas have ended. */
  canEverHold(tasks: number): boolean {
    return tasks <= this.largestGang(this.usage.limit - this.usage.replicas);
  }

  /** Takes the slots of tasks that start now. */
  start(job: JobView, tasks: number): void {
    this.free -= tasks;
    this.unplanned -= tasks;
    this.recordTaken(job, tasks);
  }

  /** Takes slots for tasks that start once stopping tasks have exited. */
  claim(job: JobView, tasks: number): void {
    const fromStopping = Math.min(tasks, this.stopping);
    this.stopping -= fromStopping;
    this.free = Math.max(0, this.free - (tasks - fromStopping));
    this.unplanned -= tasks - fromStopping;
    this.recordTaken(job, tasks);
  }

  /** Counts slots for tasks that start once a machine is up; others may use them until then. */
  plan(tasks: number): void {
    this.unplanned -= tasks;
  }

  /** Keeps the free slots for a gang that waits for more, except for the reserve. */
  accumulate(): void {
    const kept = Math.max(0, this.free - this.gangReserve);
    this.free -= kept;
    this.unplanned -= kept;
  }

  /** Records that a task is stopping, which frees its slot. */
  addStopping(): void {
    if (this.deficit > 0) this.deficit--;
    else this.stopping++;
  }

  /**
   * Returns how many of `count` tasks a job is entitled to if `slots` are left to it. What it could preempt
   * counts as left, or a job of higher priority could not take what was preempted for it.
   */
  private entitledTo(job: JobView, count: number, slots: number): number {
    const share = this.shareOf(job, slots);
    if (share >= count) return count;
    return Math.min(count, this.shareOf(job, slots + this.countPreemptible(job)));
  }

  private shareOf(job: JobView, slots: number): number {
    if (slots <= 0) return 0;
    if (job.gang) return this.largestGang(slots);
    const held = this.heldBy(job);
    // The largest number of tasks after which the job holds no more than its share of what is left.
    const share = (slots * MAX_HELD_PER_FREE_SLOT - held) / (1 + MAX_HELD_PER_FREE_SLOT);
    return Math.max(held === 0 ? 1 : 0, Math.floor(share));
  }

  private largestGang(slots: number): number {
    const share = (slots * MAX_HELD_PER_FREE_SLOT) / (1 + MAX_HELD_PER_FREE_SLOT);
    return Math.floor(Math.max(1, share, slots - this.gangReserve));
  }

  private get gangReserve(): number {
    const { limit } = this.usage;
    return limit === Infinity ? 0 : limit * GANG_RESERVE_RATIO;
  }

  private heldBy(job: JobView): number {
    let held = this.takenByJob.get(job.id) ?? 0;
    for (const tasks of job.tasksByZone.values()) held += tasks;
    return held;
  }

  private recordTaken(job: JobView, tasks: number): void {
    this.takenByJob.set(job.id, (this.takenByJob.get(job.id) ?? 0) + tasks);
  }
}
