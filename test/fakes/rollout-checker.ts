import * as rollout from '@leverhatch/rollout';
import { RolloutExtension } from '../../src/control/extensions/rollout-extension.js';
import { ModelServers } from './model-servers.js';
import { extensionOf, traced } from './operators.js';
import type { FakeWorker, FakeTask } from './worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The default probe settings of scenarios. */
export const PROBING = { intervalMs: 1000, perSecond: 200 };

/** How long a fault can go unnoticed, while readiness proofs are fresh and stops are under way. */
const DETECTION_DELAY_MS = 5000;

/** The fields of a rollout's status record that the checker reads. */
interface RolloutRecord {
  id: string;
  from: string;
  to: string;
  phase: string;
  replicas: number;
}

/** Phases in which the required number of replicas must serve. */
const PHASES_WITH_REQUIRED_REPLICAS = new Set([
  'surging',
  'judging',
  'withdrawing',
  'paused',
  'rolling-back',
]);

interface ServingReplica {
  job: string;
  worker: FakeWorker;
}

/**
 * Checks rollouts by the state of the fake workers and model servers: at least the required number
 * of replicas serves at any time, less those lost to faults; no replica is stopped that is needed
 * for that number; and no more replicas are placed than required plus surge. It shares no code with
 * the package under test.
 */
export class RolloutChecker {
  readonly violations = new Set<string>();
  /** The lowest number of serving replicas at any time during all rollouts. */
  lowestServing = Infinity;
  private readonly serving = new Map<string, ServingReplica>();
  private readonly started = new Set<string>();
  private readonly stopped = new Set<string>();
  private readonly faults: { at: number; job: string }[] = [];
  /** When the required number of replicas last served, by rollout. */
  private readonly reachedAt = new Map<string, number>();

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly models: ModelServers,
    /** How many replicas may be placed beyond the required number. */
    private readonly maxSurge: number,
  ) {
    const previousOnStopped = cluster.onStopped;
    cluster.onStopped = (worker, piece) => {
      previousOnStopped(worker, piece);
      this.onStopped(worker, piece);
    };
    cluster.observers.add(() => this.observeServing());
    const previousOnWrite = cluster.store.onWrite;
    cluster.store.onWrite = (key) => {
      previousOnWrite(key);
      if (key.startsWith('rollouts/status/'))
        this.onStatus(cluster.store.get(key) as RolloutRecord);
    };
  }

  /** The required number applies from the first surge on, when all old replicas are proven. */
  private onStatus({ id, phase }: RolloutRecord): void {
    if (phase === 'surging') this.started.add(id);
  }

  private statuses(): RolloutRecord[] {
    return [...this.cluster.store.keys]
      .filter(([key]) => key.startsWith('rollouts/status/'))
      .map(([, { value }]) => value as RolloutRecord)
      .filter(({ id, phase }) => this.started.has(id) && PHASES_WITH_REQUIRED_REPLICAS.has(phase));
  }

  private isCancelled(job: string): boolean {
    return this.cluster.storedPhase(job) !== 'open';
  }

  /** Checks that enough replicas remain when one is told to stop. */
  private onStopped(worker: FakeWorker, piece: FakeTask): void {
    this.stopped.add(keyOf(worker, piece));
    const { job, task } = piece;
    const status = this.statuses().find(({ from, to }) => job === from || job === to);
    // A replica that is drained from a machine about to be taken away counts as lost.
    if (!status || this.isCancelled(job) || worker.warningS !== null) return;
    const { from, to, replicas } = status;
    if (this.isCancelled(from) || this.isCancelled(to)) return;
    const remaining = this.models.serving(from) + this.models.serving(to);
    // Earlier losses had to be known by now and do not justify a stop.
    const lostToFaults = this.faultsSince(status, this.cluster.clock.now() - DETECTION_DELAY_MS);
    if (remaining >= replicas - lostToFaults) return;
    this.report(
      `${job}/${task} stopped: ${remaining} serve, ${replicas} are needed, ${lostToFaults} lost`,
    );
  }

  /** Faults that are not repaired yet, or that may still be unnoticed. */
  private recentFaults(status: RolloutRecord): number {
    const now = this.cluster.clock.now();
    const reachedAt = this.reachedAt.get(status.id) ?? now;
    return this.faultsSince(status, Math.min(reachedAt, now - DETECTION_DELAY_MS));
  }

  private faultsSince({ from, to }: RolloutRecord, since: number): number {
    return this.faults.filter(({ at, job }) => at >= since && (job === from || job === to)).length;
  }

  private observeServing(): void {
    const now = new Map<string, ServingReplica>();
    for (const worker of this.cluster.workers.values()) {
      for (const piece of worker.pieces) {
        if (!this.models.isServing(worker, piece)) continue;
        now.set(keyOf(worker, piece), { job: piece.job, worker });
      }
    }
    for (const [key, { job, worker }] of this.serving) {
      const stoppedOnPurpose =
        this.stopped.has(key) && !this.isCancelled(job) && worker.warningS === null;
      if (!now.has(key) && !stoppedOnPurpose)
        this.faults.push({ at: this.cluster.clock.now(), job });
    }
    this.serving.clear();
    for (const [key, replica] of now) this.serving.set(key, replica);
    for (const status of this.statuses()) this.checkReplicas(status);
  }

  private checkReplicas(status: RolloutRecord): void {
    const { id, from, to, replicas } = status;
    if (this.isCancelled(from) || this.isCancelled(to)) return;
    const serving = this.models.serving(from) + this.models.serving(to);
    this.lowestServing = Math.min(this.lowestServing, serving);
    if (serving >= replicas) this.reachedAt.set(id, this.cluster.clock.now());
    const lostToFaults = this.recentFaults(status);
    if (serving < replicas - lostToFaults) {
      this.report(`${id}: ${serving} serve, ${replicas} are needed, ${lostToFaults} lost`);
    }
    const placed = this.cluster.tasksOf(from).length + this.cluster.tasksOf(to).length;
    if (placed > replicas + this.maxSurge) {
      this.report(`${id}: ${placed} replicas are placed, ${replicas + this.maxSurge} may be`);
    }
  }

  private report(message: string): void {
    this.violations.add(`${this.cluster.clock.now() / 1000} s: ${message}`);
  }
}

const keyOf = (worker: FakeWorker, { job, task, attempt }: FakeTask): string =>
  `${worker.id}#${worker.shift} ${job}/${task}/${attempt}`;

/** Adds model servers to a cluster, and enables rollouts in controllers that start from now on. */
export function withRollouts(cluster: SimulatedCluster, probing = PROBING): ModelServers {
  const models = new ModelServers({
    now: () => cluster.clock.now(),
    sleep: (ms) => cluster.clock.sleep(ms),
    worker: (id) => cluster.workers.get(id),
    workers: () => cluster.workers.values(),
    image: (job) => cluster.jobFactory.images.get(job) ?? '',
  });
  for (const node of cluster.nodes) {
    const probe = models.probe((worker) => cluster.controllers.reaches(node, worker));
    node.extensions.set(
      'rollout',
      (host) => new RolloutExtension({ package: rollout, probe, probing }, host),
    );
  }
  return models;
}

/** The rollout API of a controller; undefined if it is down or has rollouts disabled. */
export function rolloutApi(
  cluster: SimulatedCluster,
  node: number,
): rollout.RolloutApi | undefined {
  const api = extensionOf(cluster, node, RolloutExtension)?.api;
  return api && traced(cluster, node, api);
}

/** The status record of a rollout. */
export const rolloutStatus = (
  cluster: SimulatedCluster,
  id: string,
):
  | { phase: string; reason: string | null; ceilings: { from: number | null; to: number | null } }
  | undefined => cluster.store.get(`rollouts/status/${id}`) as ReturnType<typeof rolloutStatus>;
