import type { JobHistory, Question, Told } from './model.js';
import type { Observed } from './observed.js';

/** For how long a job may have no answered question once all faults are over. */
const UNANSWERED_CALM_MS = 75_000;
/** The same while there are faults, if most questions about other jobs are answered. */
const UNANSWERED_MS = 90_000;

/** The rule `forgotten`, where it is broken by giving no answer. */
export class SilenceRule {
  private readonly recent: { ref: string; at: number; answered: boolean }[] = [];

  constructor(private readonly seen: Observed) {}

  /** One answer, or none, to one question. */
  judge(q: Question, told: Told): void {
    const job = this.seen.job(q.ref);
    const got = told.status === 200 || told.status === 201;
    if (got) job.unansweredSince = null;
    else job.unansweredSince ??= q.askedAt;
    while (this.recent.length > 0 && this.seen.now - this.recent[0]!.at > UNANSWERED_MS) {
      this.recent.shift();
    }
    this.recent.push({ ref: q.ref, at: this.seen.now, answered: got || told.status === 404 });
    if (!got) this.judgeSilence(job);
  }

  private judgeSilence(job: JobHistory): void {
    if (job.acceptedAt === null || job.unansweredSince === null) return;
    const calmFor = this.seen.now - Math.max(job.unansweredSince, this.seen.calmSince ?? Infinity);
    if (calmFor >= UNANSWERED_CALM_MS) {
      this.seen.report('forgotten', `${job.ref}: no question answered for 75 s without trouble`);
    }
    const silentFor = this.seen.now - job.unansweredSince;
    if (silentFor >= UNANSWERED_MS && this.othersAreAnswered(job)) {
      this.seen.report('forgotten', `${job.ref}: every question failed for 90 s, others did not`);
    }
  }

  private othersAreAnswered(job: JobHistory): boolean {
    const others = this.recent.filter((r) => r.ref !== job.ref && r.at >= job.unansweredSince!);
    return others.filter((other) => other.answered).length > others.length / 2;
  }
}
