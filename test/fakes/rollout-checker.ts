import * as rollout from '@leverhatch/rollout';
import { RolloutExtension } from '../../src/control/extensions/rollout-extension.js';
import { ModelServers } from './model-servers.js';
import { extensionOf, observed } from './operators.js';
import type { FakeWorker, FakeTask } from './worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** How replicas are probed in scenarios. */
export const PROBING = { intervalMs: 1000, perSecond: 200 };

/** For so long after a fault nobody can know of it: a proof is fresh, and a stop is on its way. */
const UNKNOWN_FOR_MS = 5000;

/** Of the records the checker reads only which jobs are meant, the level, and what was allowed. */
interface SeenStatus {
  id: string;
  from: string;
  to: string;
  phase: string;
  replicas: number;
}

/** Phases in which the level is held. */
const HELD = new Set(['surging', 'judging', 'withdrawing', 'paused', 'rolling-back']);

interface Serving {
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
  private readonly serving = new Map<string, Serving>();
  private readonly begun = new Set<string>();
  private readonly halted = new Set<string>();
  private readonly faults: { at: number; job: string }[] = [];
  /** Since when the level of a rollout is reached, by id. */
  private readonly reachedAt = new Map<string, number>();

  constructor(
    private readonly world: SimulatedCluster,
    private readonly models: ModelServers,
    /** How many replicas may be placed beyond the level. */
    private readonly maxSurge: number,
  ) {
    const before = world.onHalted;
    world.onHalted = (worker, piece) => {
      before(worker, piece);
      this.onHalted(worker, piece);
    };
    world.observers.add(() => this.look());
    const written = world.store.onWrite;
    world.store.onWrite = (key) => {
      written(key);
      if (key.startsWith('rollouts/status/')) this.onStatus(world.store.get(key) as SeenStatus);
    };
  }

  /** There is a level to hold from the first surge on, when all old replicas were proven. */
  private onStatus({ id, phase }: SeenStatus): void {
    if (phase === 'surging') this.begun.add(id);
  }

  private statuses(): SeenStatus[] {
    return [...this.world.store.keys]
      .filter(([key]) => key.startsWith('rollouts/status/'))
      .map(([, { value }]) => value as SeenStatus)
      .filter(({ id, phase }) => this.begun.has(id) && HELD.has(phase));
  }

  private isCancelled(job: string): boolean {
    return this.world.stored(job) !== 'open';
  }

  /** A replica is told to stop: those that stay have to reach the level. */
  private onHalted(worker: FakeWorker, piece: FakeTask): void {
    this.halted.add(keyOf(worker, piece));
    const { job, task } = piece;
    const status = this.statuses().find(({ from, to }) => job === from || job === to);
    // What is drained from a machine that goes away is lost to the machine.
    if (!status || this.isCancelled(job) || worker.warningS !== null) return;
    const { from, to, replicas } = status;
    if (this.isCancelled(from) || this.isCancelled(to)) return;
    const left = this.models.serving(from) + this.models.serving(to);
    // What was lost before that had to be known: it excuses no stop.
    const excused = this.faultsSince(status, this.world.clock.now() - UNKNOWN_FOR_MS);
    if (left >= replicas - excused) return;
    this.report(`${job}/${task} stopped: ${left} serve, ${replicas} are needed, ${excused} lost`);
  }

  /** Faults that are not made good yet, or that nobody can know of. */
  private recentFaults(status: SeenStatus): number {
    const now = this.world.clock.now();
    const reachedAt = this.reachedAt.get(status.id) ?? now;
    return this.faultsSince(status, Math.min(reachedAt, now - UNKNOWN_FOR_MS));
  }

  private faultsSince({ from, to }: SeenStatus, since: number): number {
    return this.faults.filter(({ at, job }) => at >= since && (job === from || job === to)).length;
  }

  private look(): void {
    const now = new Map<string, Serving>();
    for (const worker of this.world.workers.values()) {
      for (const piece of worker.pieces) {
        if (!this.models.isServing(worker, piece)) continue;
        now.set(keyOf(worker, piece), { job: piece.job, worker });
      }
    }
    for (const [key, { job, worker }] of this.serving) {
      const ordered = this.halted.has(key) && !this.isCancelled(job) && worker.warningS === null;
      if (!now.has(key) && !ordered) this.faults.push({ at: this.world.clock.now(), job });
    }
    this.serving.clear();
    for (const [key, replica] of now) this.serving.set(key, replica);
    for (const status of this.statuses()) this.judge(status);
  }

  private judge(status: SeenStatus): void {
    const { id, from, to, replicas } = status;
    if (this.isCancelled(from) || this.isCancelled(to)) return;
    const serving = this.models.serving(from) + this.models.serving(to);
    this.lowest = Math.min(this.lowest, serving);
    if (serving >= replicas) this.reachedAt.set(id, this.world.clock.now());
    const excused = this.recentFaults(status);
    if (serving < replicas - excused) {
      this.report(`${id}: ${serving} serve, ${replicas} are needed, ${excused} lost`);
    }
    const placed = this.world.on(from).length + this.world.on(to).length;
    if (placed > replicas + this.maxSurge) {
      this.report(`${id}: ${placed} replicas are placed, ${replicas + this.maxSurge} may be`);
    }
  }

  private report(what: string): void {
    this.broken.add(`${this.world.clock.now() / 1000} s: ${what}`);
  }
}

const keyOf = (worker: FakeWorker, { job, task, attempt }: FakeTask): string =>
  `${worker.id}#${worker.shift} ${job}/${task}/${attempt}`;

/** Model servers beside the workers of a scenario, and rollouts switched on at controllers that start from now on. */
export function withRollouts(world: SimulatedCluster, probing = PROBING): ModelServers {
  const models = new ModelServers({
    now: () => world.clock.now(),
    sleep: (ms) => world.clock.sleep(ms),
    worker: (id) => world.workers.get(id),
    workers: () => world.workers.values(),
    image: (job) => world.wishes.images.get(job) ?? '',
  });
  for (const node of world.nodes) {
    const probe = models.probe((worker) => world.controllers.reaches(node, worker));
    node.extensions.set(
      'rollout',
      (host) => new RolloutExtension({ package: rollout, probe, probing }, host),
    );
  }
  return models;
}

/** How operators ask one controller about rollouts; undefined: it is down, or has them switched off. */
export function rolloutApi(world: SimulatedCluster, node: number): rollout.RolloutApi | undefined {
  const api = extensionOf(world, node, RolloutExtension)?.api;
  return api && observed(world, node, api);
}

/** The status that the record of a rollout says. */
export const rolloutStatus = (
  world: SimulatedCluster,
  id: string,
):
  | { phase: string; reason: string | null; ceilings: { from: number | null; to: number | null } }
  | undefined => world.store.get(`rollouts/status/${id}`) as ReturnType<typeof rolloutStatus>;
