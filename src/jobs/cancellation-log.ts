import type { Clock } from '@leverhatch/core/clock';

/**
 * Which jobs this process has told any user to be cancelled. An entry is made before the answer
 * leaves, so whoever asks for the entries since some moment gets every cancellation that a user can
 * have learned here since then. Nothing survives the process: what an earlier one told is unknown.
 */
export class CancellationLog {
  /** When each job was first told to be cancelled, oldest first. */
  private readonly toldAt = new Map<string, number>();
  /** From when on no entry is missing. */
  private completeFrom: number;

  /** `keepMs`: how long an entry is kept; `most`: how many are kept at most. */
  constructor(
    private readonly clock: Clock,
    startedAt: number,
    private readonly keepMs: number,
    private readonly most: number,
  ) {
    this.completeFrom = startedAt;
  }

  /** To be called before a user is told; true if no user has been told here lately. */
  add(id: string): boolean {
    if (this.toldAt.has(id)) return false;
    this.toldAt.set(id, this.clock.now());
    this.drop();
    return true;
  }

  /** Every job told to be cancelled at or after `from`; null if that is not known for certain. */
  since(from: number): string[] | null {
    this.drop();
    if (from < this.completeFrom) return null;
    const ids: string[] = [];
    for (const [id, at] of this.toldAt) if (at >= from) ids.push(id);
    return ids;
  }

  private drop(): void {
    const old = this.clock.now() - this.keepMs;
    for (const [id, at] of this.toldAt) {
      if (at >= old && this.toldAt.size <= this.most) return;
      this.toldAt.delete(id);
      this.completeFrom = Math.max(this.completeFrom, at);
    }
  }
}
