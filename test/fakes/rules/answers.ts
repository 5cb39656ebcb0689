import { jobRequestOf, whyRefused } from '../job-request.js';
import { isComplete, type JobHistory, type Question, type Told } from './model.js';
import type { Observed } from './observed.js';

/**
 * The rules on what users are told: `forgotten` (by an answer), `invented`, `not_done`, `went_back`,
 * `accepted_unsound`, `refused_sound` and `orphaned`.
 */
export class AnswerRules {
  constructor(private readonly seen: Observed) {}

  /** One answer of a node to one question, with the body that was submitted. */
  judge(q: Question, told: Told, body?: unknown): void {
    const job = this.seen.job(q.ref);
    if (told.status === 404) this.unknown(q, job);
    else if (told.status === 400 || told.status === 422) this.refused(q, job, told, body);
    else if (told.status === 200 || told.status === 201) this.known(q, job, told, body);
  }

  private unknown(q: Question, job: JobHistory): void {
    if (job.acceptedAt === null || job.acceptedAt > q.askedAt) return;
    this.seen.report('forgotten', `${q.action} ${q.ref} at ${q.node}: 404 after it was accepted`);
  }

  private refused(q: Question, job: JobHistory, told: Told, body: unknown): void {
    if (q.action !== 'submit') return;
    if (job.acceptedAt !== null && job.acceptedAt <= q.askedAt) {
      this.seen.report('forgotten', `repeat of ${q.ref} at ${q.node}: ${told.status}`);
    } else if (whyRefused(body, this.seen.options.fleet) === null && this.namesAccepted(body)) {
      this.seen.report('refused_sound', `${q.ref} at ${q.node}: ${told.status}`);
    }
  }

  /** All jobs that a submission names were accepted, as far as users were told. */
  private namesAccepted(body: unknown): boolean {
    return jobRequestOf(body)!.waitsOn.every((ref) => this.seen.job(ref).acceptedAt !== null);
  }

  private known(q: Question, job: JobHistory, told: Told, body: unknown): void {
    const first = job.acceptedAt === null;
    if (job.submitAskedAt === Infinity) {
      this.seen.report('invented', `${q.action} ${q.ref} at ${q.node}: ${told.phase}`);
      return;
    }
    if (first && !job.sound) {
      const exitReason = whyRefused(body, this.seen.options.fleet) ?? 'never soundly submitted';
      this.seen.report('accepted_unsound', `${q.ref} at ${q.node}: ${exitReason}`);
    }
    for (const other of first ? this.seen.before(job) : []) {
      if (other.submitAskedAt < Infinity) continue;
      this.seen.report('accepted_unsound', `${q.ref} at ${q.node}: nobody submitted ${other.ref}`);
    }
    job.acceptedAt ??= this.seen.now;
    if (told.phase === 'done') this.toldDone(q, job);
    else if (told.phase === 'withdrawn') this.toldWithdrawn(q, job);
    else this.toldOpen(q, job, told);
  }

  private toldDone(q: Question, job: JobHistory): void {
    if (!isComplete(job)) {
      const pieces = job.request?.pieces ?? 0;
      this.seen.report('not_done', `${q.ref} at ${q.node}: ${job.completed.size} of ${pieces}`);
    }
    this.toldFinal(q, job, 'done');
  }

  private toldWithdrawn(q: Question, job: JobHistory): void {
    if (!this.mayBeWithdrawn(job, new Set())) {
      this.seen.report(
        'went_back',
        `${q.ref} at ${q.node}: withdrawn, but its user never cancelled it`,
      );
    }
    this.toldFinal(q, job, 'withdrawn');
  }

  /** Its user cancelled it, or one that it needs. */
  private mayBeWithdrawn(job: JobHistory, seen: Set<string>): boolean {
    if (seen.has(job.ref)) return false;
    seen.add(job.ref);
    if (job.abortAskedAt <= this.seen.now) return true;
    return this.seen.before(job).some((other) => this.mayBeWithdrawn(other, seen));
  }

  private toldFinal(q: Question, job: JobHistory, phase: 'done' | 'withdrawn'): void {
    if (!job.final) job.final = { phase, at: this.seen.now };
    else if (job.final.phase !== phase) {
      this.seen.report('went_back', `${q.ref} at ${q.node}: ${phase} after ${job.final.phase}`);
    }
  }

  private toldOpen(q: Question, job: JobHistory, told: Told): void {
    // A question that was asked before may be answered after: only later ones show what is known.
    if (job.final && job.final.at <= q.askedAt) {
      this.seen.report(
        'went_back',
        `${q.ref} at ${q.node}: ${told.phase} after ${job.final.phase}`,
      );
    }
    for (const other of this.seen.ancestors(job)) {
      const { final } = other;
      if (final?.phase !== 'withdrawn' || final.at + this.seen.options.cancelMs >= q.askedAt)
        continue;
      this.seen.report(
        'orphaned',
        `${q.ref} at ${q.node}: ${told.phase}, ${other.ref} is cancelled`,
      );
    }
  }
}
