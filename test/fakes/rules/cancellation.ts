import type { JobHistory, LateStart, ObservedMachine, ObservedTask } from './model.js';
import type { ObservedState } from './observed.js';

/** The rule `ran_cancelled`; also records every start after a cancellation. */
export class CancellationRule {
  readonly startsAfterCancel: LateStart[] = [];

  constructor(private readonly observed: ObservedState) {}

  started(machine: ObservedMachine, history: JobHistory, task: number): void {
    const since = this.cancelledAt(history);
    if (since === null) return;
    const name = `${history.ref}/${task}`;
    const afterMs = this.observed.now - since;
    this.startsAfterCancel.push({ task: name, afterMs });
    if (afterMs > this.observed.options.cancelMs) {
      this.observed.report('ran_cancelled', `${name} started on ${machine.id} ${afterMs} ms later`);
    }
  }

  /** Checks a task that is on a machine. */
  check(machine: ObservedMachine, task: ObservedTask): void {
    const since = this.cancelledAt(this.observed.job(task.job));
    if (since === null || this.observed.now - since <= this.observed.options.cancelMs) return;
    this.observed.report('ran_cancelled', `${task.job}/${task.task} still on ${machine.id}`);
  }

  /** When a user was first told that the job or one of its dependencies is cancelled. */
  private cancelledAt(job: JobHistory): number | null {
    let first = job.final?.phase === 'withdrawn' ? job.final.at : Infinity;
    for (const { final } of this.observed.allDependenciesOf(job)) {
      if (final?.phase === 'withdrawn') first = Math.min(first, final.at);
    }
    return first === Infinity ? null : first;
  }
}
