/** Log of the cancellations that this controller has announced to users. */

import type { Clock } from '@leverhatch/core/clock';

/**
 * Which cancellations this process has announced to any user. An entry is made before the answer
 * leaves, so whoever asks for the entries since some moment gets every cancellation that a user can
 * have learned here since then. Nothing survives the process: what an earlier one announced is
 * unknown.
 */
export class CancellationLog {
  /** When the cancellation of each job was first announced (monotonic, ms), oldest first. */
  private readonly announcedAt = new Map<string, number>();
  /** Monotonic time in ms since when no entry is missing. */
  private completeFrom: number;

  /** `retentionMs`: how long an entry is kept; `maxEntries`: how many are kept at most. */
  constructor(
    private readonly clock: Clock,
    startedAt: number,
    private readonly retentionMs: number,
    private readonly maxEntries: number,
  ) {
    this.completeFrom = startedAt;
  }

  /** Call it before the answer is sent. True if it was not announced here lately. */
  add(id: string): boolean {
    if (this.announcedAt.has(id)) return false;
    this.announcedAt.set(id, this.clock.now());
    this.dropExpired();
    return true;
  }

  /**
   * Every job whose cancellation was announced at or after `from`; null if the entries since then
   * may be incomplete.
   */
  since(from: number): string[] | null {
    this.dropExpired();
    if (from < this.completeFrom) return null;
    const ids: string[] = [];
    for (const [id, at] of this.announcedAt) if (at >= from) ids.push(id);
    return ids;
  }

  private dropExpired(): void {
    const expiredBefore = this.clock.now() - this.retentionMs;
    for (const [id, at] of this.announcedAt) {
      if (at >= expiredBefore && this.announcedAt.size <= this.maxEntries) return;
      this.announcedAt.delete(id);
      this.completeFrom = Math.max(this.completeFrom, at);
    }
  }
}
