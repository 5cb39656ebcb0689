/** What the leader observes of open rollouts: proofs of replicas, and load while a version is judged. */
import type { ProbeAnswer } from './probe.js';
import { Prober } from './prober.js';
import { ReadinessProofs } from './readiness-proofs.js';
import type { Replica, RolloutPorts, SchedulerPort } from './ports.js';
import { isOpen, jobsOf, type ReadableRollout, type Rollout } from './rollout-repository.js';
import type { SpecRecord } from './spec.js';
import type { Observation, ObservedVersion } from './transitions.js';
import { LoadWindow } from './verdict.js';
import type { JudgedReplica } from './withdrawal.js';

/** Another open rollout of one of the jobs that has begun or came first; null: there is none. */
export function conflictOf(
  rollout: ReadableRollout,
  rollouts: readonly Rollout[],
): Observation['conflict'] {
  const { id, spec } = rollout;
  const jobs = jobsOf(rollout);
  for (const other of rollouts) {
    if (other.id === id || !isOpen(other)) continue;
    // None is refused because of a later request that has not begun.
    const hasPrecedence = other.status !== null || isBefore(other, spec);
    const job = jobsOf(other).find((name) => jobs.includes(name));
    if (job && hasPrecedence) return { job, rollout: other.id };
  }
  return null;
}

/** Of two requests that no command has changed since, the version of the spec tells the earlier one. */
const isBefore = (other: Rollout, spec: ReadableRollout['spec']): boolean =>
  other.spec.version < spec.version;

/** The window of a step that is judged; it is dropped in every other phase, paused too. */
interface JudgedStep {
  from: string;
  to: string;
  window: LoadWindow;
}

/** What one leader has observed in its term. */
export class RolloutObserver {
  private readonly proofs: ReadinessProofs;
  private readonly prober: Prober;
  private readonly windows = new Map<string, JudgedStep>();
  /** Finished jobs that the leader does not know any more. */
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
      answered: (replica, answer) => this.onAnswer(replica, answer),
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

  // ---- proofs

  /** The replicas of a job, with what has been shown of each. */
  judged(job: string, { readySeconds }: SpecRecord): JudgedReplica[] {
    const now = this.ports.clock.now();
    return this.scheduler.replicas(job).map((replica) => ({
      replica,
      proven: this.proofs.isProven(replica, now),
      neverServed: replica.starting || this.isOverdue(replica, readySeconds),
    }));
  }

  /** Whether it has been probed for `readySeconds` without being proven once. */
  private isOverdue(replica: Replica, readySeconds: number): boolean {
    if (replica.stopping || !replica.running) return false;
    const vainMs = this.proofs.probedInVainMs(replica, this.ports.clock.now());
    return vainMs > readySeconds * 1000;
  }

  /** How many replicas of each job are placed and proven. */
  counts(spec: SpecRecord): { from: ObservedVersion; to: ObservedVersion } {
    return this.countsAmong(spec, this.judged(spec.from, spec), this.judged(spec.to, spec));
  }

  private countsAmong(
    spec: SpecRecord,
    old: readonly JudgedReplica[],
    successors: readonly JudgedReplica[],
  ): { from: ObservedVersion; to: ObservedVersion } {
    return { from: this.countsOf(spec.from, old), to: this.countsOf(spec.to, successors) };
  }

  private countsOf(job: string, judged: readonly JudgedReplica[]): ObservedVersion {
    return {
      placed: this.scheduler.job(job)?.placed ?? 0,
      proven: judged.filter(({ proven }) => proven).length,
      unserved: judged.filter(({ neverServed }) => neverServed).length,
    };
  }

  /** Why the new version will not become ready; null: it still may. */
  private whyNeverReady(spec: SpecRecord, judged: readonly JudgedReplica[]): string | null {
    if (this.scheduler.job(spec.to)?.failing) {
      return `replicas of ${spec.to} fail on every machine`;
    }
    const overdue = judged.find(({ replica }) => this.isOverdue(replica, spec.readySeconds));
    if (!overdue) return null;
    const { job, task } = overdue.replica;
    return `${job}/${task} was probed for ${spec.readySeconds} s without being proven`;
  }

  /** What the next transition of a rollout is decided from. */
  observe(rollout: ReadableRollout, conflict: Observation['conflict']): Observation {
    const spec = rollout.spec.record;
    const old = this.judged(spec.from, spec);
    const successors = this.judged(spec.to, spec);
    const counts = this.countsAmong(spec, old, successors);
    return {
      wall: this.ports.clock.wall(),
      jobs: { from: this.scheduler.job(spec.from), to: this.scheduler.job(spec.to) },
      isNewJobOver: this.isFinished(spec.to),
      ...counts,
      neverReady: this.whyNeverReady(spec, successors),
      evidence: this.evidence(rollout, counts.to.proven),
      conflict,
    };
  }

  /** Remembers a job that is over by its record in the store, and unknown to the leader. */
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
    return window?.judge(rollout.spec.record, this.ports.clock.now(), isComplete) ?? null;
  }

  /** The window of a step that is judged; it begins when this leader first asks. */
  private windowOf({ id, status }: ReadableRollout): LoadWindow | null {
    if (status?.record.phase !== 'judging') {
      this.windows.delete(id);
      return null;
    }
    const { from, to } = status.record;
    const known = this.windows.get(id);
    if (known) return known.window;
    const window = new LoadWindow(this.ports.clock.now());
    this.windows.set(id, { from, to, window });
    return window;
  }

  /** Starts all windows anew. */
  restartWindows(): void {
    this.windows.clear();
  }

  private onAnswer(replica: Replica, answer: ProbeAnswer): void {
    const now = this.ports.clock.now();
    for (const { from, to, window } of this.windows.values()) {
      if (replica.job !== from && replica.job !== to) continue;
      if (!this.proofs.isProven(replica, now)) continue;
      const version = replica.job === from ? 'old' : 'new';
      if (!window.add(version, answer)) this.proofs.failed(replica, now);
    }
  }
}
