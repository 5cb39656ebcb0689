/** Compact set of the completed tasks of one job. */

/** Inclusive ranges of task numbers. */
export type TaskRanges = [number, number][];

/** Number of consecutive tasks whose flags share a block. */
const BLOCK_TASKS = 1024;

/**
 * The completed tasks of a job. Memory grows with the completed tasks, not with the tasks of the job:
 * thousands of waiting jobs may have 100,000 tasks each.
 */
export class CompletedTasks {
  /** One byte per task, in blocks that exist once one of their tasks has completed. */
  private readonly blocks = new Map<number, Uint8Array>();
  private total = 0;

  /** @param tasks number of tasks of the job */
  constructor(private readonly tasks: number) {}

  /** Number of completed tasks. */
  get count(): number {
    return this.total;
  }

  has(task: number): boolean {
    return this.blocks.get(blockOf(task))?.[task % BLOCK_TASKS] === 1;
  }

  /** Marks a task as completed. Returns false if it already was, or is not a task of the job. */
  add(task: number): boolean {
    if (task >= this.tasks || this.has(task)) return false;
    let block = this.blocks.get(blockOf(task));
    if (!block) this.blocks.set(blockOf(task), (block = new Uint8Array(BLOCK_TASKS)));
    block[task % BLOCK_TASKS] = 1;
    this.total++;
    return true;
  }

  /** Marks all tasks in `ranges` as completed; numbers outside the job are ignored. */
  addRanges(ranges: TaskRanges): void {
    for (const [from, to] of ranges) {
      for (let task = from; task <= to && task < this.tasks; task++) this.add(task);
    }
  }

  remove(task: number): void {
    const block = this.blocks.get(blockOf(task));
    if (!block || !this.has(task)) return;
    block[task % BLOCK_TASKS] = 0;
    this.total--;
  }

  /** Returns the completed tasks from `from` (inclusive) to `to` (exclusive). */
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
}

const blockOf = (task: number): number => Math.floor(task / BLOCK_TASKS);
