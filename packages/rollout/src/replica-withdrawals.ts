/** Chooses and withdraws replicas within one scheduling cycle, so that their readiness is up to date. */
import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';
import type { RolloutObserver } from './observer.js';
import type { SchedulerPort } from './ports.js';
import type { ReadableRollout } from './rollout-repository.js';
import type { SpecRecord } from './spec.js';
import { boundedCeilings, type StatusRecord } from './status.js';
import { chooseWithdrawals } from './withdrawal.js';

/** Dependencies of withdrawals. */
export interface WithdrawalPorts {
  clock: Clock;
  log: Logger;
  /** Interval between rollout steps, in milliseconds. */
  stepIntervalMs: number;
}

/** Performs the withdrawals of one term. */
export class ReplicaWithdrawals {
  /** When replicas were last checked, in monotonic milliseconds. */
  private lastPassAt = -Infinity;

  constructor(
    private readonly ports: WithdrawalPorts,
    private readonly scheduler: Pick<SchedulerPort, 'job' | 'withdraw'>,
    private readonly observer: Pick<RolloutObserver, 'readiness'>,
  ) {}

  /** Whether the last check is so recent that this cycle skips it; each check iterates over all replicas. */
  isThrottled(): boolean {
    return this.ports.clock.now() - this.lastPassAt < this.ports.stepIntervalMs / 2;
  }

  /** Withdraws the replicas that are not needed for capacity now. */
  withdraw(open: readonly ReadableRollout[]): void {
    this.lastPassAt = this.ports.clock.now();
    for (const { spec, status } of open) {
      if (status) this.withdrawReplicasOf(spec.record, status.record);
    }
  }

  private withdrawReplicasOf(spec: SpecRecord, status: StatusRecord): void {
    const { phase, replicas, step } = status;
    if (phase !== 'withdrawing' && phase !== 'rolling-back') return;
    const ceilings = boundedCeilings(status);
    const isRollback = phase === 'rolling-back';
    const placed = this.scheduler.job(isRollback ? spec.to : spec.from)?.placed ?? 0;
    if (placed <= (isRollback ? 0 : ceilings.from)) return;
    const from = this.observer.readiness(spec.from, spec);
    const to = this.observer.readiness(spec.to, spec);
    const [candidates, otherReplicas] = isRollback ? [to, from] : [from, to];
    const ceiling = isRollback ? ceilings.to : ceilings.from;
    for (const replica of chooseWithdrawals(
      candidates,
      otherReplicas,
      replicas,
      ceiling,
      isRollback,
    )) {
      const { job, task, attempt, machine } = replica;
      const fields = { rollout: spec.id, phase, step, task: `${job}/${task}`, attempt, machine };
      this.ports.log.info(fields, 'replica withdrawn');
      this.scheduler.withdraw(replica);
    }
  }
}
