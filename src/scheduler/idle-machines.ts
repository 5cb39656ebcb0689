/** How many machines of one type found nothing to do, over the last while. */
interface History {
  points: { at: number; count: number }[];
  since: number;
}

/**
 * Tells how many spare machines are beyond need: the fewest that were spare at any moment of a while
 * as long as one is worth keeping. Each machine's own idle time would tell less: where work comes
 * and goes on many machines, every one of them is used now and then though all at once never are.
 */
export class IdleMachines {
  private readonly byType = new Map<string, History>();

  /**
   * @param from since when spare machines are counted
   * @param before whether others led before: what was spare then is not known, and half of the while
   *   is counted to it. Else each change of leader would keep all idle machines for a while more.
   */
  constructor(
    private readonly from: number,
    private readonly before: boolean,
  ) {}

  /** Notes how many are spare now, and answers how many of them can be given back. */
  surplus(type: string, count: number, now: number, idleTimeoutMs: number): number {
    let history = this.byType.get(type);
    if (!history) {
      history = { points: [], since: this.from - (this.before ? idleTimeoutMs / 2 : 0) };
      this.byType.set(type, history);
    }
    const { points } = history;
    // Counts only rise along the list: one that a later, smaller one outlives is never the fewest.
    while (points.length > 0 && points[points.length - 1]!.count >= count) points.pop();
    points.push({ at: now, count });
    while (points[0]!.at < now - idleTimeoutMs) points.shift();
    return now - history.since < idleTimeoutMs ? 0 : points[0]!.count;
  }

  /** So many were given back: they are not counted as spare any more. */
  recordReleased(type: string, count: number): void {
    for (const p of this.byType.get(type)?.points ?? []) p.count = Math.max(0, p.count - count);
  }
}
