import type { JobHistory, UserRequest, UserAnswer } from './model.js';
import type { ObservedState } from './observed.js';

/** How long all requests for a job may fail once all faults are over. */
const UNANSWERED_FAULT_FREE_MS = 75_000;
/** The same while there are faults, if most requests for other jobs are answered. */
const UNANSWERED_MS = 90_000;

/** The rule `forgotten`, as far as missing answers violate it. */
export class UnansweredRule {
  private readonly recent: { ref: string; at: number; answered: boolean }[] = [];

  constructor(private readonly observed: ObservedState) {}

  /** Checks the answer to one request, or the lack of one. */
  check(request: UserRequest, answer: UserAnswer): void {
    const job = this.observed.job(request.ref);
    const succeeded = answer.status === 200 || answer.status === 201;
    if (succeeded) job.unansweredSince = null;
    else job.unansweredSince ??= request.sentAt;
    while (this.recent.length > 0 && this.observed.now - this.recent[0]!.at > UNANSWERED_MS) {
      this.recent.shift();
    }
    this.recent.push({
      ref: request.ref,
      at: this.observed.now,
      answered: succeeded || answer.status === 404,
    });
    if (!succeeded) this.checkUnanswered(job);
  }

  private checkUnanswered(job: JobHistory): void {
    if (job.acceptedAt === null || job.unansweredSince === null) return;
    const unansweredFaultFreeMs =
      this.observed.now - Math.max(job.unansweredSince, this.observed.faultFreeSince ?? Infinity);
    if (unansweredFaultFreeMs >= UNANSWERED_FAULT_FREE_MS) {
      this.observed.report('forgotten', `${job.ref}: no request succeeded for 75 s without faults`);
    }
    const unansweredMs = this.observed.now - job.unansweredSince;
    if (unansweredMs >= UNANSWERED_MS && this.othersAreAnswered(job)) {
      this.observed.report(
        'forgotten',
        `${job.ref}: every request failed for 90 s, others did not`,
      );
    }
  }

  private othersAreAnswered(job: JobHistory): boolean {
    const others = this.recent.filter((r) => r.ref !== job.ref && r.at >= job.unansweredSince!);
    return others.filter((other) => other.answered).length > others.length / 2;
  }
}
