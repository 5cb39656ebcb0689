/** How a zone delegate answers workers that are partitioned from the leader. */
import type { ZoneDelegate } from '../../election/zone-delegate.js';
import type { HeartbeatOutcome } from '../../http/heartbeat-reader.js';
import type { JobPhase } from '../../jobs/job.js';
import type { Clock } from '@leverhatch/core/clock';
import type { WorkerCommand, WorkerHeartbeat } from '../../wire/worker-heartbeat.js';
import { dropOldest } from '../../runtime/drop-oldest.js';

/** Bounds on what a zone delegate knows of jobs. */
export interface PartitionOptions {
  /** How often the store is asked again about a job. */
  refreshMs: number;
  /** How old the knowledge of a job may be when the lease of a worker with its tasks is renewed. */
  viewMs: number;
  /** How long an answer is held back until the store has answered; workers wait 4 s. */
  waitMs: number;
  /** For so many jobs it is remembered whether they are cancelled; the store is asked about the others. */
  maxJobs: number;
}

/**
 * Keeps alive workers of our own zone that are partitioned from the leader, with the zone
 * delegate's right and no commands but to stop what its user has cancelled. A lease is renewed only
 * while the store has told recently enough, of every job on that worker, whether it is cancelled.
 */
export class PartitionedWorkers {
  /** When the request was sent whose answer showed a job not to be cancelled; monotonic, in milliseconds. */
  private readonly uncancelledAsOf = new Map<string, number>();
  private readonly cancelled = new Set<string>();
  private readonly pendingReads = new Map<string, Promise<void>>();

  constructor(
    private readonly zoneDelegate: ZoneDelegate,
    private readonly phaseOf: (job: string) => Promise<JobPhase | null>,
    private readonly clock: Clock,
    private readonly limits: PartitionOptions,
  ) {}

  /** The leader is reachable again: these workers go back to it. */
  clear(): void {
    this.uncancelledAsOf.clear();
    this.cancelled.clear();
  }

  /** The answer to a heartbeat: commands while the zone delegate's right holds, otherwise a redirect. */
  async receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
    fencingToken: number,
    leader: string | null,
  ): Promise<HeartbeatOutcome> {
    const jobs = new Set(
      heartbeat.tasks.filter((status) => status.state !== 'exited').map((status) => status.job),
    );
    const refreshed = Promise.all([...jobs].map((job) => this.refresh(job)));
    const answered = new AbortController();
    if (!this.knowsAll(jobs)) {
      await Promise.race([refreshed, this.clock.sleep(this.limits.waitMs, answered.signal)]);
      answered.abort();
    }
    const mayAnswer = await this.zoneDelegate.holds(fencingToken);
    if (!mayAnswer || !this.knowsAll(jobs)) return { kind: 'redirect', leader };
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

  private knowsAll(jobs: Iterable<string>): boolean {
    const oldest = this.clock.now() - this.limits.viewMs;
    for (const job of jobs) {
      if (this.cancelled.has(job)) continue;
      if ((this.uncancelledAsOf.get(job) ?? -Infinity) <= oldest) return false;
    }
    return true;
  }

  /** Asks the store about a job unless it was asked lately, or is being asked. */
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
          // No worker is answered from what is dropped: the store is asked again first.
          dropOldest(this.uncancelledAsOf, this.limits.maxJobs);
          dropOldest(this.cancelled, this.limits.maxJobs);
        })
        // While the job is unknown its worker gets no answer, and its next heartbeat tries again.
        .catch(() => undefined)
        .finally(() => this.pendingReads.delete(job));
      this.pendingReads.set(job, pendingRead);
    }
    return pendingRead;
  }
}
