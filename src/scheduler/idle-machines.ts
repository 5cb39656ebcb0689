/** Tracks idle machines per type to decide on scale-in. Times are monotonic milliseconds. */

/** Idle counts of one machine type during the last idle timeout. */
interface IdleHistory {
  samples: { at: number; count: number }[];
  /** Start of the history. */
  since: number;
}

/**
 * Computes the surplus of idle machines: the lowest number that was idle at any time during the
 * last idle timeout. The idle time of each single machine would find less: with short tasks spread
 * over many machines, each machine is used now and then although they are never all in use at once.
 */
export class IdleMachines {
  private readonly byType = new Map<string, IdleHistory>();

  /**
   * @param countedSince time since which idle machines are counted
   * @param hasPredecessor whether another controller led before. Its idle counts are unknown, so
   *   half of the idle timeout is credited; otherwise each change of leader would delay all
   *   scale-in.
   */
  constructor(
    private readonly countedSince: number,
    private readonly hasPredecessor: boolean,
  ) {}

  /** Records how many machines of a type are idle now; returns how many can be scaled in. */
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
    // Monotonic queue: a sample followed by a smaller or equal one can never be the minimum.
    while ((samples.at(-1)?.count ?? -Infinity) >= count) samples.pop();
    const current = { at: now, count };
    samples.push(current);
    const expired = samples.filter((sample) => sample.at < now - idleTimeoutMs).length;
    samples.splice(0, expired);
    const [fewest = current] = samples;
    return now - history.since < idleTimeoutMs ? 0 : fewest.count;
  }

  /** Subtracts machines that were scaled in from the past samples too. */
  recordReleased(type: string, count: number): void {
    for (const sample of this.byType.get(type)?.samples ?? [])
      sample.count = Math.max(0, sample.count - count);
  }
}
