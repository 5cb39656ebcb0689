/** The leader of one term: the tasks that it runs, and the operations that its controller uses. */
import { supervise } from '@leverhatch/core/supervised-task';
import type { Term } from '../election/term.js';
import type { TaskCounts } from '../jobs/job-api.js';
import type { WorkerCommand, WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import { LeaderParts, type LeaderDependencies } from './leader-parts.js';

/**
 * Age of the cancellation view, as a fraction of the leader lease, after which the other controllers
 * are queried for cancellations.
 */
const UNRESPONSIVE_STORE_RATIO = 0.5;

/** Minimum age of a term, in worker leases, before a precautionary transfer of leadership. */
const MIN_TERM_LEASES = 2;

/** Prices change slowly, by up to a third; one call every 30 s is negligible load for any cloud. */
const PRICE_REFRESH_MS = 30_000;

/** The leader role of a controller. An instance exists for one term and is discarded after it. */
export class Leader {
  readonly parts: LeaderParts;

  constructor(
    private readonly context: LeaderDependencies,
    readonly term: Term,
    /** `successor`: the controller to which workers are redirected until the next leader is known. */
    private readonly resign: (successor?: string) => void,
  ) {
    this.parts = new LeaderParts(context, term, resign);
  }

  /** Whether a worker's lease may be renewed now. */
  mayRenewWorkerLeases(now: number): boolean {
    return this.parts.mayRenewWorkerLeases(now);
  }

  async run(): Promise<void> {
    const { runtime } = this.context;
    const { signal } = this.term;
    const restartMs = this.context.settings.workers.heartbeatIntervalMs;
    const leadershipWatch = supervise(runtime, 'leadership watch', signal, restartMs, (signal) =>
      this.watchLeadership(signal),
    );
    await this.parts.jobRecords.recover(signal);
    if (signal.aborted) return;
    await Promise.all([
      leadershipWatch,
      supervise(runtime, 'held heartbeats', signal, restartMs, (signal) =>
        this.parts.longPoll.run(signal),
      ),
      supervise(runtime, 'job record watch', signal, restartMs, (signal) =>
        this.parts.jobRecords.watch(signal),
      ),
      supervise(runtime, 'cancellation query', signal, restartMs, (signal) =>
        this.queryCancellations(signal),
      ),
      supervise(runtime, 'scheduling', signal, restartMs, (signal) =>
        this.parts.schedulingLoop.run(signal),
      ),
      supervise(runtime, 'rewrite runs', signal, restartMs, (signal) =>
        this.parts.rewriter.run(restartMs, signal),
      ),
      supervise(runtime, 'leftover records', signal, restartMs, (signal) =>
        this.parts.recordWriter.leftovers.run(restartMs / 4, signal),
      ),
      supervise(runtime, 'machine list', signal, restartMs, (signal) => this.listMachines(signal)),
      supervise(runtime, 'prices', signal, restartMs, (signal) => this.refreshPrices(signal)),
      this.parts.extensions.run(signal),
    ]);
  }

  /** The commands to answer a worker's heartbeat; null if its lease must not be renewed now. */
  receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
  ): WorkerCommand[] | null | Promise<WorkerCommand[] | null> {
    const message = { message: 'heartbeat', machine: heartbeat.machine };
    return this.parts.messageGuard.run(message, () =>
      this.parts.heartbeatHandler.receive(heartbeat),
    );
  }

  /** Handles a cancellation announced to a user; the store's watch may report it later. */
  onCancellationAnnounced(id: string): void {
    const message = { message: 'cancellation', job: id };
    void this.parts.messageGuard.run(message, () =>
      this.parts.jobRecords.onCancellationAnnounced(id),
    );
  }

  progressOf(id: string): TaskCounts | null {
    const job = this.parts.jobs.get(id);
    return job ? { done: job.doneCount, running: job.runningCount } : null;
  }

  progressOfOpenJobs(): (TaskCounts & { id: string })[] {
    const list: (TaskCounts & { id: string })[] = [];
    for (const job of this.parts.jobs.values()) {
      if (job.phase === 'open')
        list.push({ id: job.id, done: job.doneCount, running: job.runningCount });
    }
    return list;
  }

  /**
   * While the store delivers no updates of the job records, asks the other controllers which
   * cancellations they have announced to users.
   */
  private async queryCancellations(signal: AbortSignal): Promise<void> {
    const { clock } = this.context.runtime;
    while (!signal.aborted) {
      const isStale =
        this.parts.cancellationView.ageMs(this.parts.now) >
        this.parts.leaderLeaseMs * UNRESPONSIVE_STORE_RATIO;
      if (isStale && this.term.isActive(this.parts.now)) await this.collectCancellations();
      await clock.sleep(this.parts.leaderLeaseMs / 8, signal);
    }
  }

  private async collectCancellations(): Promise<void> {
    const known = await this.context.cancellationQuery.collect(
      this.parts.cancellationView.completeAsOf,
      this.parts.leaderLeaseMs / 8,
    );
    this.context.runtime.log.debug(
      { jobs: known?.cancelled.size ?? null },
      'queried peers for cancellations',
    );
    if (!known) return;
    for (const id of known.cancelled) this.onCancellationAnnounced(id);
    this.parts.cancellationView.completeAt(known.asOf);
  }

  /**
   * Resigns if this controller cannot read the job records while the store serves another one, or to
   * transfer leadership to a controller from which workers can fail over before their leases expire.
   */
  private async watchLeadership(signal: AbortSignal): Promise<void> {
    const { runtime, unreadableTerms } = this.context;
    while (!signal.aborted) {
      const isUnreadable =
        this.term.holdsLease(this.parts.now) &&
        this.parts.recordReadMonitor.hasTimedOut(this.parts.now);
      if (isUnreadable && this.context.isStoreAvailableToOthers()) {
        runtime.log.warn({}, 'job records cannot be read, resigning');
        unreadableTerms.recordResignation();
        this.resign();
      }
      this.transferLeadership();
      await runtime.clock.sleep(this.parts.leaderLeaseMs / 10, signal);
    }
  }

  /**
   * Transfers leadership if so many controllers are unresponsive that the workers' leases would expire
   * during a failover from this one.
   */
  private transferLeadership(): void {
    const { settings, runtime } = this.context;
    const isSettled =
      this.parts.now - this.term.startedAt > settings.workers.leaseMs * MIN_TERM_LEASES;
    if (!isSettled || !this.parts.jobRecords.isRecovered || !this.term.holdsLease(this.parts.now))
      return;
    const successor = this.context.preferredSuccessor();
    if (successor === null) return;
    runtime.log.info(
      { successor },
      'transferring leadership, the next controllers are unresponsive',
    );
    this.resign(successor);
  }

  private async listMachines(signal: AbortSignal): Promise<void> {
    const { settings, runtime } = this.context;
    while (!signal.aborted) {
      if (await this.parts.provisioner.listMachines()) this.parts.hasListedMachines = true;
      await runtime.clock.sleep(
        this.parts.hasListedMachines ? settings.cloud.listLagMs : settings.cloud.listLagMs / 10,
        signal,
      );
    }
  }

  private async refreshPrices(signal: AbortSignal): Promise<void> {
    const { machineTypes, runtime } = this.context;
    while (!signal.aborted) {
      await machineTypes.refresh(signal).catch(() => false);
      await runtime.clock.sleep(PRICE_REFRESH_MS, signal);
    }
  }
}
