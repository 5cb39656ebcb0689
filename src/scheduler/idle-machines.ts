/** Idle machines that can be scaled in, by type. Times in milliseconds, monotonic. */

/** How many machines of one type were idle during the last idle timeout. */
interface IdleHistory {
  samples: { at: number; count: number }[];
  /** When the history begins. */
  since: number;
}

/**
 * Tells how many idle machines are surplus: the fewest that were idle at any moment of the last idle
 * timeout. Each machine's own idle time would tell less: where work comes and goes on many machines,
 * every one of them is used now and then though all of them at once never are.
 */
export class IdleMachines {
  private readonly byType = new Map<string, IdleHistory>();

  /**
   * @param countedSince since when idle machines are counted
   * @param hasPredecessor whether others led before: what was idle then is not known, and half of the
   *   idle timeout is credited for it. Else each change of leader would keep all idle machines longer.
   */
  constructor(
    private readonly countedSince: number,
    private readonly hasPredecessor: boolean,
  ) {}

  /** Records how many machines of a type are idle now; answers how many can be scaled in. */
  surplus(type: string, count: number, now: number, idleTimeoutMs: number): number {
    let history = this.byType.get(type);
    if (!history) {
      history = {
        samples: [],
        since: this.countedSince - (this.hasPredecessor ? idleTimeoutMs / 2 : 0),
      };
      this.byType.set(type, history);
    }
    const { samples } = history;
    // Counts only rise along the list: one that a later, smaller one outlives is never the fewest.
    while ((samples.at(-1)?.count ?? -Infinity) >= count) samples.pop();
    const current = { at: now, count };
    samples.push(current);
    const expired = samples.filter((sample) => sample.at < now - idleTimeoutMs).length;
    samples.splice(0, expired);
    const [fewest = current] = samples;
    return now - history.since < idleTimeoutMs ? 0 : fewest.count;
  }

  /** Machines that were scaled in no longer count as idle in the past either. */
  recordReleased(type: string, count: number): void {
    for (const sample of this.byType.get(type)?.samples ?? [])
      sample.count = Math.max(0, sample.count - count);
  }
}
