import { jobRequestOf, rejectionReason } from './job-request.js';
import { AnswerRules } from './rules/answers.js';
import { CancellationRule } from './rules/cancellation.js';
import { hasImage } from './rules/model.js';
import type {
  Action,
  CheckerOptions,
  LateStart,
  MachineSeen,
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
 * All rules of the protocol, judged from outside: by what users were told at any node, and by what
 * really is on the machines. It knows nothing of the controllers' records. Each rule has a module in
 * `rules/`; what they are judged by is kept here.
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

  /** All faults are over from now on. */
  calm(): void {
    this.seen.faultFreeSince = this.seen.now;
    for (const job of this.seen.jobHistories()) job.placeableSince = null;
  }

  /** There is fault again. */
  trouble(): void {
    this.seen.faultFreeSince = null;
  }

  // ---- what users ask and are told

  asked(action: Action, ref: string, node: string, body?: unknown): UserRequest {
    const request = { action, ref, node, sentAt: this.seen.now, answered: false };
    if (action === 'submit') this.submitted(ref, body);
    if (action === 'abort') {
      const job = this.seen.job(ref);
      job.abortAskedAt = Math.min(job.abortAskedAt, this.seen.now);
    }
    return request;
  }

  private submitted(ref: string, body: unknown): void {
    const job = this.seen.job(ref);
    job.submitAskedAt = Math.min(job.submitAskedAt, this.seen.now);
    const request = jobRequestOf(body);
    job.hasValidSubmission ||= rejectionReason(body, this.seen.options.fleet) === null;
    // A repeat may say anything: what counts is the job as it was accepted.
    if (request && job.acceptedAt === null) job.request = request;
  }

  answered(request: UserRequest, answer: UserAnswer, body?: unknown): void {
    if (request.answered) return;
    request.answered = true;
    this.unanswered.check(request, answer);
    this.answers.check(request, answer, body);
  }

  // ---- what happens on machines

  /** A task has its image and is on its machine from now on. */
  started(machine: MachineSeen, job: string, task: number): void {
    const history = this.seen.job(job);
    const machines = this.seen.options.machines();
    checkDuplicate(this.seen, machines, machine, `${job}/${task}`);
    checkPlacement(this.seen, machines, machine, history, task);
    checkQuota(this.seen, machines);
    checkDependencies(this.seen, machine, history, task);
    this.cancellation.started(machine, history, task);
  }

  /** A job that was accepted and done before the scenario began. */
  doneBefore(ref: string): void {
    const job = this.seen.job(ref);
    job.submitAskedAt = -Infinity;
    job.acceptedAt = -Infinity;
    job.final = { phase: 'done', at: -Infinity };
    job.doneBeforeStart = true;
  }

  /** A task has completed; of a gang all do together. */
  completed(job: string, task: number): void {
    const history = this.seen.job(job);
    const { request } = history;
    if (request?.shape === 'gang')
      for (let task = 0; task < request.pieces; task++) history.completed.add(task);
    else history.completed.add(task);
  }

  // ---- looked at again and again

  /** Judges the present moment: called at every step of a scenario and at its end. */
  check(): void {
    const machines = this.seen.options.machines();
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
