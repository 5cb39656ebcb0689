import * as rollout from '@leverhatch/rollout';
import { RolloutExtension } from '../../src/control/extensions/rollout-extension.js';
import { ModelServers } from './model-servers.js';
import { extensionOf, traced } from './operators.js';
import type { FakeWorker, FakeTask } from './worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** How replicas are probed in scenarios. */
export const PROBING = { intervalMs: 1000, perSecond: 200 };

/** For so long after a fault nobody can know of it: a proof is fresh, and a stop is on its way. */
const DETECTION_DELAY_MS = 5000;

/** Of the records the checker reads only which jobs are meant, the level, and what was allowed. */
interface RolloutRecord {
  id: string;
  from: string;
  to: string;
  phase: string;
  replicas: number;
}

/** Phases in which the level is held. */
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
 * Judges rollouts by what the fake workers and model servers do: at each moment as many replicas
 * serve as the level says, less what faults took; nothing is stopped that the level needs; and no more is
 * placed than the level and the surge. It shares no code with the package.
 */
export class RolloutChecker {
  readonly broken = new Set<string>();
  /** The least that served at any moment while a level was held, in all rollouts. */
  lowest = Infinity;
  private readonly serving = new Map<string, ServingReplica>();
  private readonly started = new Set<string>();
  private readonly stopped = new Set<string>();
  private readonly faults: { at: number; job: string }[] = [];
  /** Since when the level of a rollout is reached, by id. */
  private readonly reachedAt = new Map<string, number>();

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly models: ModelServers,
    /** How many replicas may be placed beyond the level. */
    private readonly maxSurge: number,
  ) {
    const before = cluster.onStopped;
    cluster.onStopped = (worker, piece) => {
      before(worker, piece);
      this.onStopped(worker, piece);
    };
    cluster.observers.add(() => this.observeServing());
    const written = cluster.store.onWrite;
    cluster.store.onWrite = (key) => {
      written(key);
      if (key.startsWith('rollouts/status/'))
        this.onStatus(cluster.store.get(key) as RolloutRecord);
    };
  }

  /** There is a level to hold from the first surge on, when all old replicas were proven. */
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
    return this.cluster.stored(job) !== 'open';
  }

  /** A replica is told to stop: those that stay have to reach the level. */
  private onStopped(worker: FakeWorker, piece: FakeTask): void {
    this.stopped.add(keyOf(worker, piece));
    const { job, task } = piece;
    const status = this.statuses().find(({ from, to }) => job === from || job === to);
    // What is drained from a machine that goes away is lost to the machine.
    if (!status || this.isCancelled(job) || worker.warningS !== null) return;
    const { from, to, replicas } = status;
    if (this.isCancelled(from) || this.isCancelled(to)) return;
    const remaining = this.models.serving(from) + this.models.serving(to);
    // What was lost before that had to be known: it excuses no stop.
    const lostToFaults = this.faultsSince(status, this.cluster.clock.now() - DETECTION_DELAY_MS);
    if (remaining >= replicas - lostToFaults) return;
    this.report(
      `${job}/${task} stopped: ${remaining} serve, ${replicas} are needed, ${lostToFaults} lost`,
    );
  }

  /** Faults that are not made good yet, or that nobody can know of. */
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
    this.lowest = Math.min(this.lowest, serving);
    if (serving >= replicas) this.reachedAt.set(id, this.cluster.clock.now());
    const lostToFaults = this.recentFaults(status);
    if (serving < replicas - lostToFaults) {
      this.report(`${id}: ${serving} serve, ${replicas} are needed, ${lostToFaults} lost`);
    }
    const placed = this.cluster.on(from).length + this.cluster.on(to).length;
    if (placed > replicas + this.maxSurge) {
      this.report(`${id}: ${placed} replicas are placed, ${replicas + this.maxSurge} may be`);
    }
  }

  private report(message: string): void {
    this.broken.add(`${this.cluster.clock.now() / 1000} s: ${message}`);
  }
}

const keyOf = (worker: FakeWorker, { job, task, attempt }: FakeTask): string =>
  `${worker.id}#${worker.shift} ${job}/${task}/${attempt}`;

/** Model servers beside the workers of a scenario, and rollouts switched on at controllers that start from now on. */
export function withRollouts(cluster: SimulatedCluster, probing = PROBING): ModelServers {
  const models = new ModelServers({
    now: () => cluster.clock.now(),
    sleep: (ms) => cluster.clock.sleep(ms),
    worker: (id) => cluster.workers.get(id),
    workers: () => cluster.workers.values(),
    image: (job) => cluster.wishes.images.get(job) ?? '',
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

/** How operators ask one controller about rollouts; undefined: it is down, or has them switched off. */
export function rolloutApi(
  cluster: SimulatedCluster,
  node: number,
): rollout.RolloutApi | undefined {
  const api = extensionOf(cluster, node, RolloutExtension)?.api;
  return api && traced(cluster, node, api);
}

/** The status that the record of a rollout says. */
export const rolloutStatus = (
  cluster: SimulatedCluster,
  id: string,
):
  | { phase: string; reason: string | null; ceilings: { from: number | null; to: number | null } }
  | undefined => cluster.store.get(`rollouts/status/${id}`) as ReturnType<typeof rolloutStatus>;
