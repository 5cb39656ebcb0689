/** Compact set of the completed tasks of one job. */

/** Inclusive ranges of task numbers. */
export type TaskRanges = [number, number][];

/** The completed tasks of a job, one byte per task, since a job array may have 100,000 tasks. */
export class CompletedTasks {
  private readonly flags: Uint8Array;
  private total = 0;

  constructor(tasks: number) {
    this.flags = new Uint8Array(tasks);
  }

  /** Number of completed tasks. */
  get count(): number {
    return this.total;
  }

  has(task: number): boolean {
    return this.flags[task] === 1;
  }

  /** Marks a task as completed. Returns false if it already was. */
  add(task: number): boolean {
    if (this.has(task)) return false;
    this.flags[task] = 1;
    this.total++;
    return true;
  }

  /** Marks all tasks in `ranges` as completed; numbers outside the job are ignored. */
  addRanges(ranges: TaskRanges): void {
    for (const [from, to] of ranges) {
      for (let task = from; task <= to && task < this.flags.length; task++) this.add(task);
    }
  }

  remove(task: number): void {
    if (!this.has(task)) return;
    this.flags[task] = 0;
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
