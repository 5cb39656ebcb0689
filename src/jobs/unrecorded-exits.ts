/** Exited placements of a job whose exit is not in the store yet. */

/** The part of a placement by which exits are found. */
interface TaskExit {
  readonly task: number;
}

/** Consecutive tasks whose exits share a list: about as many as one run record covers. */
const BLOCK_TASKS = 64;

const blockOf = ({ task }: TaskExit): number => Math.floor(task / BLOCK_TASKS);

/**
 * The exits by blocks of tasks. Each transaction of a large job stores the exits of a few records, so it
 * must find them without going over all others.
 */
export class UnrecordedExits<E extends TaskExit> {
  private readonly blocks = new Map<number, E[]>();
  private count = 0;

  /** Number of exits. */
  get size(): number {
    return this.count;
  }

  add(exit: E): void {
    this.count++;
    const block = this.blocks.get(blockOf(exit));
    if (block) block.push(exit);
    else this.blocks.set(blockOf(exit), [exit]);
  }

  /** All exits, in the order of blocks in which they were first added. */
  all(): E[] {
    return [...this.blocks.values()].flat();
  }

  /** The exits of the tasks from `from` (inclusive) to `to` (exclusive). */
  ofTasks(from: number, to: number): E[] {
    const exits: E[] = [];
    for (let block = blockOf({ task: from }); block <= blockOf({ task: to - 1 }); block++) {
      for (const exit of this.blocks.get(block) ?? [])
        if (exit.task >= from && exit.task < to) exits.push(exit);
    }
    return exits;
  }

  /** Removes exits that have been stored. */
  remove(stored: readonly E[]): void {
    const removed = new Set(stored);
    for (const index of new Set(stored.map(blockOf))) {
      const block = this.blocks.get(index) ?? [];
      const left = block.filter((exit) => !removed.has(exit));
      this.count -= block.length - left.length;
      if (left.length > 0) this.blocks.set(index, left);
      else this.blocks.delete(index);
    }
  }
}
