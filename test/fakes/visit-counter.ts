/** Counts how many entries of maps the code under test goes over, in this thread. */

/** The steps of all map iterations exceed what the target allows. */
export class TooManyVisitsError extends Error {}

type Next = (this: Iterator<unknown>) => IteratorResult<unknown>;

/** Counts the steps of every iteration over a `Map` from its installation on. */
export class VisitCounter {
  private visits = 0;
  private limit = Infinity;

  /** Replaces the iterator of maps in this thread; meant for worker threads of their own. */
  install(): void {
    const prototype = Object.getPrototypeOf(new Map().values()) as { next: Next };
    const { next } = prototype;
    const countVisit = (): void => this.countVisit();
    prototype.next = function (this: Iterator<unknown>) {
      countVisit();
      return next.call(this);
    };
  }

  /** Returns the number of visits of `action`; throws once there are more than `limit`. */
  count(limit: number, action: () => void): number {
    this.visits = 0;
    this.limit = limit;
    try {
      action();
    } finally {
      this.limit = Infinity;
    }
    return this.visits;
  }

  private countVisit(): void {
    if (++this.visits > this.limit) throw new TooManyVisitsError(`more than ${this.limit} visits`);
  }
}
