import { jobRequestOf, whyRefused } from './job-request.js';
import { AnswerRules } from './rules/answers.js';
import { CancellationRule } from './rules/cancellation.js';
import { onMachine } from './rules/model.js';
import type {
  Action,
  CheckerOptions,
  LateStart,
  MachineSeen,
  Question,
  Told,
  Violation,
} from './rules/model.js';
import { Observed } from './rules/observed.js';
import { SilenceRule } from './rules/silence.js';
import { judgeOrder, judgePlace, judgeTwice } from './rules/starts.js';
import { judgeQuota, judgeRoom } from './rules/usage.js';
import { judgeWaiting } from './rules/waiting.js';

export type * from './rules/model.js';

/**
 * All rules of the protocol, judged from outside: by what users were told at any node, and by what
 * really is on the machines. It knows nothing of the controllers' records. Each rule has a module in
 * `rules/`; what they are judged by is kept here.
 */
export class RuleChecker {
  private readonly seen: Observed;
  private readonly answers: AnswerRules;
  private readonly silence: SilenceRule;
  private readonly cancellation: CancellationRule;

  constructor(options: CheckerOptions) {
    this.seen = new Observed(options);
    this.answers = new AnswerRules(this.seen);
    this.silence = new SilenceRule(this.seen);
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
    this.seen.calmSince = this.seen.now;
    for (const job of this.seen.all()) job.fittingSince = null;
  }

  /** There is fault again. */
  trouble(): void {
    this.seen.calmSince = null;
  }

  // ---- what users ask and are told

  asked(action: Action, ref: string, node: string, body?: unknown): Question {
    const question = { action, ref, node, askedAt: this.seen.now, answered: false };
    if (action === 'submit') this.submitted(ref, body);
    if (action === 'abort') {
      const job = this.seen.job(ref);
      job.abortAskedAt = Math.min(job.abortAskedAt, this.seen.now);
    }
    return question;
  }

  private submitted(ref: string, body: unknown): void {
    const job = this.seen.job(ref);
    job.submitAskedAt = Math.min(job.submitAskedAt, this.seen.now);
    const request = jobRequestOf(body);
    job.sound ||= whyRefused(body, this.seen.options.fleet) === null;
    // A repeat may say anything: what counts is the job as it was accepted.
    if (request && job.acceptedAt === null) job.request = request;
  }

  answered(q: Question, told: Told, body?: unknown): void {
    if (q.answered) return;
    q.answered = true;
    this.silence.judge(q, told);
    this.answers.judge(q, told, body);
  }

  // ---- what happens on machines

  /** A task has its image and is on its machine from now on. */
  started(machine: MachineSeen, job: string, task: number): void {
    const history = this.seen.job(job);
    const machines = this.seen.options.machines();
    judgeTwice(this.seen, machines, machine, `${job}/${task}`);
    judgePlace(this.seen, machines, machine, history, task);
    judgeQuota(this.seen, machines);
    judgeOrder(this.seen, machine, history, task);
    this.cancellation.started(machine, history, task);
  }

  /** A job that was accepted and done before the scenario began. */
  doneBefore(ref: string): void {
    const job = this.seen.job(ref);
    job.submitAskedAt = -Infinity;
    job.acceptedAt = -Infinity;
    job.final = { phase: 'done', at: -Infinity };
    job.doneBefore = true;
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
    judgeQuota(this.seen, machines);
    for (const machine of machines) {
      judgeRoom(this.seen, machine);
      for (const task of machine.tasks) if (onMachine(task)) this.cancellation.judge(machine, task);
    }
    if (this.seen.calmSince !== null) {
      for (const job of this.seen.all()) judgeWaiting(this.seen, machines, job);
    }
  }
}
