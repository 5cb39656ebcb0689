/** Withdraws replicas in the scheduling cycle that judges them, so that the proofs are those of the moment. */
import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';
import type { RolloutObserver } from './observer.js';
import type { SchedulerPort } from './ports.js';
import type { ReadableRollout } from './rollout-repository.js';
import type { SpecRecord } from './spec.js';
import { boundedCeilings, type StatusRecord } from './status.js';
import { chooseWithdrawals } from './withdrawal.js';

/** What withdrawals rest on. */
export interface WithdrawalPorts {
  clock: Clock;
  log: Logger;
  /** Interval between steps, in milliseconds. */
  stepIntervalMs: number;
}

/** The withdrawals of one term. */
export class ReplicaWithdrawals {
  /** When replicas were last judged, in monotonic milliseconds. */
  private judgedAt = -Infinity;

  constructor(
    private readonly ports: WithdrawalPorts,
    private readonly scheduler: Pick<SchedulerPort, 'job' | 'withdraw'>,
    private readonly observer: Pick<RolloutObserver, 'judged'>,
  ) {}

  /** Whether replicas were judged so recently that this cycle may do without; each time costs a pass over all. */
  isEarly(): boolean {
    return this.ports.clock.now() - this.judgedAt < this.ports.stepIntervalMs / 2;
  }

  /** Withdraws what may go now without a gap in capacity. */
  withdraw(open: readonly ReadableRollout[]): void {
    this.judgedAt = this.ports.clock.now();
    for (const { spec, status } of open) {
      if (status) this.withdrawOf(spec.record, status.record);
    }
  }

  private withdrawOf(spec: SpecRecord, status: StatusRecord): void {
    const { phase, replicas, step } = status;
    if (phase !== 'withdrawing' && phase !== 'rolling-back') return;
    const ceilings = boundedCeilings(status);
    const isRollback = phase === 'rolling-back';
    const placed = this.scheduler.job(isRollback ? spec.to : spec.from)?.placed ?? 0;
    if (placed <= (isRollback ? 0 : ceilings.from)) return;
    const from = this.observer.judged(spec.from, spec);
    const to = this.observer.judged(spec.to, spec);
    const [leaving, others] = isRollback ? [to, from] : [from, to];
    const ceiling = isRollback ? ceilings.to : ceilings.from;
    for (const replica of chooseWithdrawals(leaving, others, replicas, ceiling, isRollback)) {
      const { job, task, attempt, machine } = replica;
      const fields = { rollout: spec.id, phase, step, task: `${job}/${task}`, attempt, machine };
      this.ports.log.info(fields, 'replica withdrawn');
      this.scheduler.withdraw(replica);
    }
  }
}
