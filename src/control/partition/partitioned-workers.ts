import type { ZoneDelegate } from '../../election/zone-delegate.js';
import type { HeartbeatOutcome } from '../../http/heartbeat-reader.js';
import type { JobPhase } from '../../jobs/job.js';
import type { Clock } from '@leverhatch/core/clock';
import type { WorkerCommand, WorkerHeartbeat } from '../../wire/worker-heartbeat.js';
import { dropOldest } from '../../runtime/drop-oldest.js';

export interface PartitionOptions {
  /** How often a job is asked about again. */
  refreshMs: number;
  /** How old the knowledge of a job may be when the lease of a worker with its tasks is renewed. */
  viewMs: number;
  /** How long an answer is kept back for what the store says; workers wait 4 s. */
  waitMs: number;
  /** Of so many jobs it is remembered whether they are cancelled; the store is asked about the others. */
  maxJobs: number;
}

/**
 * Keeps alive workers of our own zone that are partitioned from the leader, with the zone delegate's right
 * and no orders but to stop what its user has cancelled. A lease is renewed only while the store
 * told recently enough, of every job on that worker, whether it is cancelled.
 */
export class PartitionedWorkers {
  /** When the question was sent that showed a job not to be cancelled. */
  private readonly uncancelledAsOf = new Map<string, number>();
  private readonly cancelled = new Set<string>();
  private readonly asking = new Map<string, Promise<void>>();

  constructor(
    private readonly zoneDelegate: ZoneDelegate,
    private readonly phaseOf: (job: string) => Promise<JobPhase | null>,
    private readonly clock: Clock,
    private readonly limits: PartitionOptions,
  ) {}

  /** The leader is within reach again: these workers go back to it. */
  clear(): void {
    this.uncancelledAsOf.clear();
    this.cancelled.clear();
  }

  async receiveHeartbeat(
    heartbeat: WorkerHeartbeat,
    fencingToken: number,
    leader: string | null,
  ): Promise<HeartbeatOutcome> {
    const jobs = new Set(
      heartbeat.tasks.filter((status) => status.state !== 'exited').map((status) => status.job),
    );
    const learned = Promise.all([...jobs].map((job) => this.refresh(job)));
    const waited = new AbortController();
    if (!this.knowsAll(jobs)) {
      await Promise.race([learned, this.clock.sleep(this.limits.waitMs, waited.signal)]);
      waited.abort();
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
    let answer = this.asking.get(job);
    if (!answer) {
      answer = this.phaseOf(job)
        .then((phase) => {
          if (phase === 'cancelled') this.cancelled.add(job);
          else this.uncancelledAsOf.set(job, askedAt);
          // Nothing is answered on what is dropped: it is asked for again first.
          dropOldest(this.uncancelledAsOf, this.limits.maxJobs);
          dropOldest(this.cancelled, this.limits.maxJobs);
        })
        .catch(() => undefined)
        .finally(() => this.asking.delete(job));
      this.asking.set(job, answer);
    }
    return answer;
  }
}
