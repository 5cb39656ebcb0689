/** Compact set of the completed tasks of one job. */

/** Task numbers as ranges, both ends included. */
export type TaskRanges = [number, number][];

/** The completed tasks of a job: one byte for each, since a job array may have 100,000. */
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

  /** False if it was done already. */
  add(task: number): boolean {
    if (this.has(task)) return false;
    this.flags[task] = 1;
    this.total++;
    return true;
  }

  /** Those in `ranges` are done as well; numbers beyond the job's tasks mean nothing. */
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

  /** The completed tasks from `from` (included) to `to` (excluded). */
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
