/** Handling of worker heartbeats by a zone delegate while the zone is partitioned from the leader. */
import type { ZoneDelegate } from '../../election/zone-delegate.js';
import type { HeartbeatOutcome } from '../../http/heartbeat-reader.js';
import type { JobPhase } from '../../jobs/job.js';
import type { Clock } from '@leverhatch/core/clock';
import type { WorkerCommand, WorkerHeartbeat } from '../../wire/worker-heartbeat.js';
import { dropOldest } from '../../runtime/drop-oldest.js';

/** Limits on a zone delegate's cached view of jobs. */
export interface PartitionOptions {
  /** Minimum interval between two reads of the same job. */
  refreshMs: number;
  /** Maximum age of the view of a job when the lease of a worker with its tasks is renewed. */
  maxViewAgeMs: number;
  /** How long an answer is held until the store has answered; workers time out after 4 s. */
  maxHoldMs: number;
  /** Maximum number of jobs that are cached; evicted ones are read from the store again. */
  maxJobs: number;
}

/**
 * Renews the leases of workers in this controller's zone that are partitioned from the leader, while
 * this controller is the zone delegate. The only commands are stops of cancelled tasks. A lease is
 * renewed only if, for every job on that worker, the store has recently confirmed whether the job is
 * cancelled.
 */
export class PartitionedWorkers {
  /** Send times of the last reads that showed a job as not cancelled; monotonic, in milliseconds. */
  private readonly uncancelledAsOf = new Map<string, number>();
  private readonly cancelled = new Set<string>();
  private readonly pendingReads = new Map<string, Promise<void>>();

  constructor(
    private readonly zoneDelegate: ZoneDelegate,
    private readonly phaseOf: (job: string) => Promise<JobPhase | null>,
    private readonly clock: Clock,
    private readonly limits: PartitionOptions,
  ) {}

  /** Clears the cached view, once the leader is reachable again and these workers return to it. */
  clear(): void {
    this.uncancelledAsOf.clear();
    this.cancelled.clear();
  }

  /** Answers a heartbeat with commands while the zone delegation holds, otherwise with a redirect. */
  async receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
    fencingToken: number,
    leader: string | null,
  ): Promise<HeartbeatOutcome> {
    const jobs = new Set(
      heartbeat.tasks.filter((status) => status.state !== 'exited').map((status) => status.job),
    );
    const refreshed = Promise.all([...jobs].map((job) => this.refresh(job)));
    const sleepAbort = new AbortController();
    if (!this.isCurrentFor(jobs)) {
      await Promise.race([refreshed, this.clock.sleep(this.limits.maxHoldMs, sleepAbort.signal)]);
      sleepAbort.abort();
    }
    const mayAnswer = await this.zoneDelegate.holds(fencingToken);
    if (!mayAnswer || !this.isCurrentFor(jobs)) return { kind: 'redirect', leader };
    const commands: WorkerCommand[] = heartbeat.tasks
      .filter((status) => status.state !== 'exited' && this.cancelled.has(status.job))
      .map((status) => ({
        kind: 'stop',
        job: status.job,
        task: status.task,
        attempt: status.attempt,
        graceMs: 0,
      }));
    return { kind: 'commands', fencingToken, commands };
  }

  /** Whether the view of all these jobs is recent enough to renew a lease. */
  private isCurrentFor(jobs: Iterable<string>): boolean {
    const oldest = this.clock.now() - this.limits.maxViewAgeMs;
    for (const job of jobs) {
      if (this.cancelled.has(job)) continue;
      if ((this.uncancelledAsOf.get(job) ?? -Infinity) <= oldest) return false;
    }
    return true;
  }

  /** Reads a job from the store, unless it was read recently or a read is pending. */
  private refresh(job: string): Promise<void> {
    if (this.cancelled.has(job)) return Promise.resolve();
    const askedAt = this.clock.now();
    const known = this.uncancelledAsOf.get(job) ?? -Infinity;
    if (askedAt - known < this.limits.refreshMs) return Promise.resolve();
    let pendingRead = this.pendingReads.get(job);
    if (!pendingRead) {
      pendingRead = this.phaseOf(job)
        .then((phase) => {
          if (phase === 'cancelled') this.cancelled.add(job);
          else this.uncancelledAsOf.set(job, askedAt);
          // Eviction is safe: an evicted job is read again before its workers are answered.
          dropOldest(this.uncancelledAsOf, this.limits.maxJobs);
          dropOldest(this.cancelled, this.limits.maxJobs);
        })
        // While a job is unknown its workers are redirected; their next heartbeat tries again.
        .catch(() => undefined)
        .finally(() => this.pendingReads.delete(job));
      this.pendingReads.set(job, pendingRead);
    }
    return pendingRead;
  }
}
