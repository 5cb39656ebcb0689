/** Compact set of tasks of one job. */

/** Inclusive ranges of task numbers. */
export type TaskRanges = [number, number][];

/** Number of consecutive tasks whose flags share a block. */
const BLOCK_TASKS = 1024;

/** The flags of consecutive tasks, one byte each; `flags` is null once all of them are in the set. */
interface TaskBlock {
  flags: Uint8Array | null;
  count: number;
}

/**
 * A set of tasks of a job. Memory grows with the tasks in the set, not with the tasks of the job:
 * thousands of waiting jobs may have 100,000 tasks each. Where a whole block is in the set, as most of
 * those that have completed are, it takes no flags.
 */
export class TaskSet {
  private readonly blocks = new Map<number, TaskBlock>();
  private total = 0;

  /** @param tasks number of tasks of the job */
  constructor(private readonly tasks: number) {}

  /** Number of tasks in the set. */
  get count(): number {
    return this.total;
  }

  has(task: number): boolean {
    const block = this.blocks.get(blockOf(task));
    return block !== undefined && (block.flags === null || block.flags[task % BLOCK_TASKS] === 1);
  }

  /** Adds a task. Returns false if it already was in the set, or is not a task of the job. */
  add(task: number): boolean {
    if (task >= this.tasks || this.has(task)) return false;
    const block = this.blockAt(blockOf(task));
    if (block.flags) block.flags[task % BLOCK_TASKS] = 1;
    block.count++;
    if (block.count === BLOCK_TASKS) block.flags = null;
    this.total++;
    return true;
  }

  /** Adds all tasks in `ranges`; numbers outside the job are ignored. */
  addRanges(ranges: TaskRanges): void {
    for (const [from, to] of ranges) {
      for (let task = from; task <= to && task < this.tasks; task++) this.add(task);
    }
  }

  remove(task: number): void {
    const block = this.blocks.get(blockOf(task));
    if (!block || !this.has(task)) return;
    block.flags ??= new Uint8Array(BLOCK_TASKS).fill(1);
    block.flags[task % BLOCK_TASKS] = 0;
    block.count--;
    if (block.count === 0) this.blocks.delete(blockOf(task));
    this.total--;
  }

  /** Returns the tasks in the set from `from` (inclusive) to `to` (exclusive). */
  ranges(from: number, to: number): TaskRanges {
    const ranges: TaskRanges = [];
    for (let task = from; task < to; task++) {
      if (!this.has(task)) continue;
      const last = ranges[ranges.length - 1];
      if (last?.[1] === task - 1) last[1] = task;
      else ranges.push([task, task]);
    }
    return ranges;
  }

  private blockAt(index: number): TaskBlock {
    let block = this.blocks.get(index);
    if (!block) this.blocks.set(index, (block = { flags: new Uint8Array(BLOCK_TASKS), count: 0 }));
    return block;
  }
}

const blockOf = (task: number): number => Math.floor(task / BLOCK_TASKS);
