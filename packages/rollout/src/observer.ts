/** What the leader observes of open rollouts: readiness of replicas, and load while versions are compared. */
import type { ProbeAnswer } from './probe.js';
import { Prober } from './prober.js';
import { ReadinessProofs } from './readiness-proofs.js';
import type { Replica, RolloutPorts, SchedulerPort } from './ports.js';
import { isOpen, jobsOf, type ReadableRollout, type Rollout } from './rollout-repository.js';
import type { SpecRecord } from './spec.js';
import type { Observation, ObservedVersion } from './transitions.js';
import { ComparisonWindow } from './verdict.js';
import type { ReplicaReadiness } from './withdrawal.js';

/** Another open rollout of one of the jobs that has precedence; null if there is none. */
export function conflictOf(
  rollout: ReadableRollout,
  rollouts: readonly Rollout[],
): Observation['conflict'] {
  const { id, spec } = rollout;
  const jobs = jobsOf(rollout);
  for (const other of rollouts) {
    if (other.id === id || !isOpen(other)) continue;
    // A rollout must not be refused because of a later request that has not begun.
    const hasPrecedence = other.status !== null || isBefore(other, spec);
    const job = jobsOf(other).find((name) => jobs.includes(name));
    if (job && hasPrecedence) return { job, rollout: other.id };
  }
  return null;
}

/** Compares spec versions, which give the order of requests that no command has changed since. */
const isBefore = (other: Rollout, spec: ReadableRollout['spec']): boolean =>
  other.spec.version < spec.version;

/** The comparison window of a step in phase `judging`; discarded in every other phase, including `paused`. */
interface ComparedStep {
  from: string;
  to: string;
  window: ComparisonWindow;
}

/** The observations of one leader in its term. */
export class RolloutObserver {
  private readonly proofs: ReadinessProofs;
  private readonly prober: Prober;
  private readonly windows = new Map<string, ComparedStep>();
  /** Finished jobs that the leader has dropped from memory. */
  private readonly finishedJobs = new Set<string>();

  constructor(
    private readonly ports: RolloutPorts,
    private readonly scheduler: SchedulerPort,
    private readonly open: () => ReadableRollout[],
  ) {
    const { clock, random, probe, probing } = ports;
    this.proofs = new ReadinessProofs(probing.intervalMs);
    this.prober = new Prober({
      clock,
      random,
      probe,
      settings: probing,
      proofs: this.proofs,
      replicas: () => this.probedReplicas(),
      onAnswer: (replica, answer) => this.onAnswer(replica, answer),
    });
  }

  /** Probes replicas until the term ends. */
  run(signal: AbortSignal): Promise<void> {
    return this.prober.run(signal);
  }

  private probedReplicas(): Replica[] {
    const jobs = new Set(this.open().flatMap(jobsOf));
    return [...jobs]
      .flatMap((job) => this.scheduler.replicas(job))
      .filter(({ running, stopping }) => running && !stopping);
  }

  // ---- readiness

  /** The replicas of a job with the readiness of each. */
  readiness(job: string, { readySeconds }: SpecRecord): ReplicaReadiness[] {
    const now = this.ports.clock.now();
    return this.scheduler.replicas(job).map((replica) => ({
      replica,
      proven: this.proofs.isProven(replica, now),
      neverServed: replica.starting || this.isOverdue(replica, readySeconds),
    }));
  }

  /** Whether it has been probed for more than `readySeconds` without ever being proven. */
  private isOverdue(replica: Replica, readySeconds: number): boolean {
    if (replica.stopping || !replica.running) return false;
    const unprovenMs = this.proofs.probedWithoutProofMs(replica, this.ports.clock.now());
    return unprovenMs > readySeconds * 1000;
  }

  /** How many replicas of each job are placed and proven. */
  counts(spec: SpecRecord): { from: ObservedVersion; to: ObservedVersion } {
    return this.countsFrom(spec, this.readiness(spec.from, spec), this.readiness(spec.to, spec));
  }

  private countsFrom(
    spec: SpecRecord,
    oldReplicas: readonly ReplicaReadiness[],
    newReplicas: readonly ReplicaReadiness[],
  ): { from: ObservedVersion; to: ObservedVersion } {
    return { from: this.countsOf(spec.from, oldReplicas), to: this.countsOf(spec.to, newReplicas) };
  }

  private countsOf(job: string, replicas: readonly ReplicaReadiness[]): ObservedVersion {
    return {
      placed: this.scheduler.job(job)?.placed ?? 0,
      proven: replicas.filter(({ proven }) => proven).length,
      unserved: replicas.filter(({ neverServed }) => neverServed).length,
    };
  }

  /** Why the new version will not become ready; null if it still may. */
  private neverReadyReason(spec: SpecRecord, replicas: readonly ReplicaReadiness[]): string | null {
    if (this.scheduler.job(spec.to)?.failing) {
      return `replicas of ${spec.to} fail on every machine`;
    }
    const overdue = replicas.find(({ replica }) => this.isOverdue(replica, spec.readySeconds));
    if (!overdue) return null;
    const { job, task } = overdue.replica;
    return `${job}/${task} was probed for ${spec.readySeconds} s without being proven`;
  }

  /** The input for the next transition of a rollout. */
  observe(rollout: ReadableRollout, conflict: Observation['conflict']): Observation {
    const spec = rollout.spec.record;
    const oldReplicas = this.readiness(spec.from, spec);
    const newReplicas = this.readiness(spec.to, spec);
    const counts = this.countsFrom(spec, oldReplicas, newReplicas);
    return {
      wall: this.ports.clock.wall(),
      jobs: { from: this.scheduler.job(spec.from), to: this.scheduler.job(spec.to) },
      isNewJobFinished: this.isFinished(spec.to),
      ...counts,
      neverReady: this.neverReadyReason(spec, newReplicas),
      evidence: this.evidence(rollout, counts.to.proven),
      conflict,
    };
  }

  /** Records that a job unknown to the leader has finished according to the store. */
  markFinished(job: string): void {
    this.finishedJobs.add(job);
  }

  /** Whether `markFinished` was called for a job. */
  isFinished(job: string): boolean {
    return this.finishedJobs.has(job);
  }

  // ---- load

  private evidence(rollout: ReadableRollout, proven: number): Observation['evidence'] {
    const window = this.windowOf(rollout);
    const isComplete = proven >= (rollout.status?.record.ceilings.to ?? 0);
    return window?.evaluate(rollout.spec.record, this.ports.clock.now(), isComplete) ?? null;
  }

  /** The window of a step in phase `judging`; it starts when this leader first asks for it. */
  private windowOf({ id, status }: ReadableRollout): ComparisonWindow | null {
    if (status?.record.phase !== 'judging') {
      this.windows.delete(id);
      return null;
    }
    const { from, to } = status.record;
    const known = this.windows.get(id);
    if (known) return known.window;
    const window = new ComparisonWindow(this.ports.clock.now());
    this.windows.set(id, { from, to, window });
    return window;
  }

  /** Restarts all comparison windows. */
  restartWindows(): void {
    this.windows.clear();
  }

  private onAnswer(replica: Replica, answer: ProbeAnswer): void {
    const now = this.ports.clock.now();
    for (const { from, to, window } of this.windows.values()) {
      if (replica.job !== from && replica.job !== to) continue;
      if (!this.proofs.isProven(replica, now)) continue;
      const version = replica.job === from ? 'old' : 'new';
      if (!window.add(version, answer)) this.proofs.recordFailure(replica, now);
    }
  }
}
