import type { Counts } from '../jobs/job-api.js';
import type { JobCounts } from '../peer/frames.js';

/** How far open jobs are, as the leader last told it in its heartbeats; for display. */
export class ShownCounts {
  private readonly counts = new Map<string, Counts>();

  /** @param most how many jobs are remembered; what is told of more of them is left out */
  constructor(private readonly most: number) {}

  /** One frame of a heartbeat; the first one begins anew, without the jobs that are over. */
  take(first: boolean, counts: readonly JobCounts[]): void {
    if (first) this.counts.clear();
    for (const c of counts) {
      if (this.counts.size >= this.most) return;
      this.counts.set(c.id, c);
    }
  }

  of(id: string): Counts | null {
    return this.counts.get(id) ?? null;
  }

  get size(): number {
    return this.counts.size;
  }
}
