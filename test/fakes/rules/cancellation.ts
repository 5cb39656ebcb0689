import type { JobHistory, LateStart, MachineSeen, TaskSeen } from './model.js';
import type { Observed } from './observed.js';

/** The rule `ran_cancelled`, and starts after a cancellation that do not break it yet. */
export class CancellationRule {
  readonly startsAfterCancel: LateStart[] = [];

  constructor(private readonly seen: Observed) {}

  started(machine: MachineSeen, history: JobHistory, task: number): void {
    const since = this.cancelledAt(history);
    if (since === null) return;
    const name = `${history.ref}/${task}`;
    const afterMs = this.seen.now - since;
    this.startsAfterCancel.push({ task: name, afterMs });
    if (afterMs > this.seen.options.cancelMs) {
      this.seen.report('ran_cancelled', `${name} started on ${machine.id} ${afterMs} ms later`);
    }
  }

  /** A task that is on a machine. */
  judge(m: MachineSeen, t: TaskSeen): void {
    const since = this.cancelledAt(this.seen.job(t.job));
    if (since === null || this.seen.now - since <= this.seen.options.cancelMs) return;
    this.seen.report('ran_cancelled', `${t.job}/${t.task} still on ${m.id}`);
  }

  /** When a user was told that the job, or one that it needs, is cancelled. */
  private cancelledAt(job: JobHistory): number | null {
    let first = job.final?.phase === 'withdrawn' ? job.final.at : Infinity;
    for (const { final } of this.seen.ancestors(job)) {
      if (final?.phase === 'withdrawn') first = Math.min(first, final.at);
    }
    return first === Infinity ? null : first;
  }
}
