import type { Clock } from '@leverhatch/core/clock';

/**
 * Which jobs this process has told any user to be cancelled. An entry is made before the answer
 * leaves, so whoever asks for the entries since some moment gets every cancellation that a user can
 * have learned here since then. Nothing survives the process: what an earlier one told is unknown.
 */
export class CancellationLog {
  /** When each job was first told to be cancelled, oldest first. */
  private readonly announcedAt = new Map<string, number>();
  /** From when on no entry is missing. */
  private completeFrom: number;

  /** `keepMs`: how long an entry is kept; `most`: how many are kept at most. */
  constructor(
    private readonly clock: Clock,
    startedAt: number,
    private readonly retentionMs: number,
    private readonly maxEntries: number,
  ) {
    this.completeFrom = startedAt;
  }

  /** To be called before a user is told; true if no user has been told here lately. */
  add(id: string): boolean {
    if (this.announcedAt.has(id)) return false;
    this.announcedAt.set(id, this.clock.now());
    this.dropExpired();
    return true;
  }

  /** Every job told to be cancelled at or after `from`; null if that is not known for certain. */
  since(from: number): string[] | null {
    this.dropExpired();
    if (from < this.completeFrom) return null;
    const ids: string[] = [];
    for (const [id, at] of this.announcedAt) if (at >= from) ids.push(id);
    return ids;
  }

  private dropExpired(): void {
    const old = this.clock.now() - this.retentionMs;
    for (const [id, at] of this.announcedAt) {
      if (at >= old && this.announcedAt.size <= this.maxEntries) return;
      this.announcedAt.delete(id);
      this.completeFrom = Math.max(this.completeFrom, at);
    }
  }
}
