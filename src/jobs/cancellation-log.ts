/** Log of the cancellations that this controller has announced to users. */

import type { Clock } from '@leverhatch/core/clock';

/**
 * Records the cancellations that this process has announced to users. An entry is added before the
 * response is sent, so `since` returns every cancellation that a user can have learned from this
 * controller in that time. The log is kept in memory only: what a previous process announced is
 * unknown.
 */
export class CancellationLog {
  /** When the cancellation of each job was first announced (monotonic, ms), oldest first. */
  private readonly announcedAt = new Map<string, number>();
  /** Monotonic time (ms) from which on the log is complete. */
  private completeFrom: number;

  /**
   * @param startedAt monotonic time (ms) from which on every announcement is logged
   * @param retentionMs how long an entry is kept
   * @param maxEntries the maximum number of entries
   */
  constructor(
    private readonly clock: Clock,
    startedAt: number,
    private readonly retentionMs: number,
    private readonly maxEntries: number,
  ) {
    this.completeFrom = startedAt;
  }

  /** Must be called before the response is sent. Returns false if the job already has an entry. */
  add(id: string): boolean {
    if (this.announcedAt.has(id)) return false;
    this.announcedAt.set(id, this.clock.now());
    this.dropExpired();
    return true;
  }

  /**
   * Returns the jobs whose cancellation was announced at or after `from`, or null if the log may be
   * incomplete for that period.
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
