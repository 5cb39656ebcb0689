import { jobRequestOf, rejectionReason } from '../job-request.js';
import { isComplete, type JobHistory, type UserRequest, type UserAnswer } from './model.js';
import type { ObservedState } from './observed.js';

/**
 * The rules on answers to users: `forgotten` (by an answer), `invented`, `not_done`, `went_back`,
 * `accepted_unsound`, `refused_sound` and `orphaned`.
 */
export class AnswerRules {
  constructor(private readonly observed: ObservedState) {}

  /** Checks the answer of a node to one request, whose body is given for submissions. */
  check(request: UserRequest, answer: UserAnswer, body?: unknown): void {
    const job = this.observed.job(request.ref);
    if (answer.status === 404) this.checkUnknown(request, job);
    else if (answer.status === 400 || answer.status === 422)
      this.checkRefused(request, job, answer, body);
    else if (answer.status === 200 || answer.status === 201)
      this.checkKnown(request, job, answer, body);
  }

  private checkUnknown(request: UserRequest, job: JobHistory): void {
    if (job.acceptedAt === null || job.acceptedAt > request.sentAt) return;
    this.observed.report(
      'forgotten',
      `${request.action} ${request.ref} at ${request.node}: 404 after it was accepted`,
    );
  }

  private checkRefused(
    request: UserRequest,
    job: JobHistory,
    answer: UserAnswer,
    body: unknown,
  ): void {
    if (request.action !== 'submit') return;
    if (job.acceptedAt !== null && job.acceptedAt <= request.sentAt) {
      this.observed.report(
        'forgotten',
        `repeat of ${request.ref} at ${request.node}: ${answer.status}`,
      );
    } else if (
      rejectionReason(body, this.observed.options.fleet) === null &&
      this.dependenciesAccepted(body)
    ) {
      this.observed.report('refused_sound', `${request.ref} at ${request.node}: ${answer.status}`);
    }
  }

  /** Whether users were told that all dependencies of a submission were accepted. */
  private dependenciesAccepted(body: unknown): boolean {
    return jobRequestOf(body)!.waitsOn.every((ref) => this.observed.job(ref).acceptedAt !== null);
  }

  private checkKnown(
    request: UserRequest,
    job: JobHistory,
    answer: UserAnswer,
    body: unknown,
  ): void {
    const isFirstAnswer = job.acceptedAt === null;
    if (job.firstSubmittedAt === Infinity) {
      this.observed.report(
        'invented',
        `${request.action} ${request.ref} at ${request.node}: ${answer.phase}`,
      );
      return;
    }
    if (isFirstAnswer && !job.hasValidSubmission) {
      const reason = rejectionReason(body, this.observed.options.fleet) ?? 'no valid submission';
      this.observed.report('accepted_unsound', `${request.ref} at ${request.node}: ${reason}`);
    }
    for (const other of isFirstAnswer ? this.observed.dependenciesOf(job) : []) {
      if (other.firstSubmittedAt < Infinity) continue;
      this.observed.report(
        'accepted_unsound',
        `${request.ref} at ${request.node}: nobody submitted ${other.ref}`,
      );
    }
    job.acceptedAt ??= this.observed.now;
    if (answer.phase === 'done') this.checkDone(request, job);
    else if (answer.phase === 'withdrawn') this.checkWithdrawn(request, job);
    else this.checkOpen(request, job, answer);
  }

  private checkDone(request: UserRequest, job: JobHistory): void {
    if (!isComplete(job)) {
      const pieces = job.request?.pieces ?? 0;
      this.observed.report(
        'not_done',
        `${request.ref} at ${request.node}: ${job.completed.size} of ${pieces}`,
      );
    }
    this.checkFinal(request, job, 'done');
  }

  private checkWithdrawn(request: UserRequest, job: JobHistory): void {
    if (!this.mayBeWithdrawn(job, new Set())) {
      this.observed.report(
        'went_back',
        `${request.ref} at ${request.node}: withdrawn, but its user never cancelled it`,
      );
    }
    this.checkFinal(request, job, 'withdrawn');
  }

  /** Whether a user cancelled the job or one of its dependencies. */
  private mayBeWithdrawn(job: JobHistory, visited: Set<string>): boolean {
    if (visited.has(job.ref)) return false;
    visited.add(job.ref);
    if (job.cancelRequestedAt <= this.observed.now) return true;
    return this.observed.dependenciesOf(job).some((other) => this.mayBeWithdrawn(other, visited));
  }

  private checkFinal(request: UserRequest, job: JobHistory, phase: 'done' | 'withdrawn'): void {
    if (!job.final) job.final = { phase, at: this.observed.now };
    else if (job.final.phase !== phase) {
      this.observed.report(
        'went_back',
        `${request.ref} at ${request.node}: ${phase} after ${job.final.phase}`,
      );
    }
  }

  private checkOpen(request: UserRequest, job: JobHistory, answer: UserAnswer): void {
    // A request sent before the final answer may be answered after it; only later requests count.
    if (job.final && job.final.at <= request.sentAt) {
      this.observed.report(
        'went_back',
        `${request.ref} at ${request.node}: ${answer.phase} after ${job.final.phase}`,
      );
    }
    for (const other of this.observed.allDependenciesOf(job)) {
      const { final } = other;
      if (
        final?.phase !== 'withdrawn' ||
        final.at + this.observed.options.cancelMs >= request.sentAt
      )
        continue;
      this.observed.report(
        'orphaned',
        `${request.ref} at ${request.node}: ${answer.phase}, ${other.ref} is cancelled`,
      );
    }
  }
}
