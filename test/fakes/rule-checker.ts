import { jobRequestOf, rejectionReason } from './job-request.js';
import { AnswerRules } from './rules/answers.js';
import { CancellationRule } from './rules/cancellation.js';
import { hasImage } from './rules/model.js';
import type {
  Action,
  CheckerOptions,
  LateStart,
  ObservedMachine,
  UserRequest,
  UserAnswer,
  Violation,
} from './rules/model.js';
import { ObservedState } from './rules/observed.js';
import { UnansweredRule } from './rules/silence.js';
import { checkDependencies, checkPlacement, checkDuplicate } from './rules/starts.js';
import { checkQuota, checkCapacity } from './rules/usage.js';
import { checkWaiting } from './rules/waiting.js';

export type * from './rules/model.js';

/**
 * Checks all rules of the protocol as a black box: by the responses that users got from any node,
 * and by the tasks that are actually on the machines, without the controllers' records. The rules
 * are in the modules of `rules/`; this class passes observations to them.
 */
export class RuleChecker {
  private readonly seen: ObservedState;
  private readonly answers: AnswerRules;
  private readonly unanswered: UnansweredRule;
  private readonly cancellation: CancellationRule;

  constructor(options: CheckerOptions) {
    this.seen = new ObservedState(options);
    this.answers = new AnswerRules(this.seen);
    this.unanswered = new UnansweredRule(this.seen);
    this.cancellation = new CancellationRule(this.seen);
  }

  get violations(): Violation[] {
    return this.seen.violations;
  }

  get startsAfterCancel(): LateStart[] {
    return this.cancellation.startsAfterCancel;
  }

  /** Tells the checker that all faults are over. */
  faultsEnded(): void {
    this.seen.faultFreeSince = this.seen.now;
    for (const job of this.seen.jobHistories()) job.placeableSince = null;
  }

  /** Tells the checker that there are faults again. */
  faultsStarted(): void {
    this.seen.faultFreeSince = null;
  }

  // ---- user requests and responses

  asked(action: Action, ref: string, node: string, body?: unknown): UserRequest {
    const request = { action, ref, node, sentAt: this.seen.now, answered: false };
    if (action === 'submit') this.submitted(ref, body);
    if (action === 'abort') {
      const job = this.seen.job(ref);
      job.cancelRequestedAt = Math.min(job.cancelRequestedAt, this.seen.now);
    }
    return request;
  }

  private submitted(ref: string, body: unknown): void {
    const job = this.seen.job(ref);
    job.firstSubmittedAt = Math.min(job.firstSubmittedAt, this.seen.now);
    const request = jobRequestOf(body);
    job.hasValidSubmission ||= rejectionReason(body, this.seen.options.fleet) === null;
    // A repeated submission may differ; the job stays as it was accepted.
    if (request && job.acceptedAt === null) job.request = request;
  }

  answered(request: UserRequest, answer: UserAnswer, body?: unknown): void {
    if (request.answered) return;
    request.answered = true;
    this.unanswered.check(request, answer);
    this.answers.check(request, answer, body);
  }

  // ---- events on machines

  /** Called when a task has its image and so counts as on its machine. */
  started(machine: ObservedMachine, job: string, task: number): void {
    const history = this.seen.job(job);
    const machines = this.seen.options.machines(true);
    checkDuplicate(this.seen, machines, machine, job, task);
    checkPlacement(this.seen, machines, machine, history, task);
    checkQuota(this.seen, machines);
    checkDependencies(this.seen, machine, history, task);
    this.cancellation.started(machine, history, task);
  }

  /** Records a job that was accepted and done before the scenario started. */
  doneBefore(ref: string): void {
    const job = this.seen.job(ref);
    job.firstSubmittedAt = -Infinity;
    job.acceptedAt = -Infinity;
    job.final = { phase: 'done', at: -Infinity };
    job.doneBeforeStart = true;
  }

  /** Called when a task has completed; all tasks of a gang complete together. */
  completed(job: string, task: number): void {
    const history = this.seen.job(job);
    const { request } = history;
    if (request?.shape === 'gang')
      for (let task = 0; task < request.pieces; task++) history.completed.add(task);
    else history.completed.add(task);
  }

  // ---- repeated checks

  /** Checks the current state; called at every step of a scenario and at its end. */
  check(): void {
    const machines = this.seen.options.machines(false);
    checkQuota(this.seen, machines);
    for (const machine of machines) {
      checkCapacity(this.seen, machine);
      for (const task of machine.tasks) if (hasImage(task)) this.cancellation.check(machine, task);
    }
    if (this.seen.faultFreeSince !== null) {
      for (const job of this.seen.jobHistories()) checkWaiting(this.seen, machines, job);
    }
  }
}
