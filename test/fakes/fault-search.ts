import assert from 'node:assert/strict';
import { THREE_ZONES } from './deployment-shape.js';
import { machines } from './fault-scenario.js';
import type { Model } from './model-servers.js';
import { SeededRandom } from './random.js';
import { RolloutChecker, rolloutApi, rolloutStatus, withRollouts } from './rollout-checker.js';
import { transferPhase, quotaTransferApi, withQuotaTransfers } from './quota-checker.js';
import type { Fate } from './store.js';
import type { StoreRequest } from './faults.js';
import type { FakeWorker } from './worker.js';
import { SimulatedCluster, type JobTemplate } from './simulated-cluster.js';

/** Starts a fault on victims of its choice, for so many seconds; what it returns ends it. */
type InjectFault = (cluster: SimulatedCluster, random: SeededRandom, seconds: number) => () => void;

/** How long a heartbeat without an answer is waited for, with some more. */
const NO_ANSWER_MS = 6000;
const LEASE_SECONDS = 10;
/** The pause between the beginnings of a fault that returns. */
const RECURRENCE_SECONDS = 20;
/** All faults are over this long after work began, if none returns. */
const FAULTS_END_SECONDS = 30;

const isWrite = ({ path, body }: StoreRequest): boolean =>
  path === '/txn' && (body as { then: unknown[] }).then.length > 0;

/** Also questions after changes, and comparisons without any. */
const isRead = (request: StoreRequest): boolean =>
  request.method === 'GET' || (request.path === '/txn' && !isWrite(request));

/** Mostly the leader. */
function pickController(cluster: SimulatedCluster, random: SeededRandom): number {
  const { leader } = cluster;
  if (leader >= 0 && random.next() < 0.6) return leader;
  return Math.floor(random.next() * cluster.nodes.length);
}

function pickWorkers(cluster: SimulatedCluster, random: SeededRandom): FakeWorker[] {
  const alive = [...cluster.workers.values()].filter((x) => !x.dead);
  const share = random.pick([0.3, 0.6, 1]);
  const some = alive.filter(() => random.next() < share);
  return some.length > 0 ? some : alive.slice(0, 1);
}

/** A fault on one controller's way to the store. */
function storeFault(fate: (request: StoreRequest) => Fate): InjectFault {
  return (cluster, random) => {
    const victim = pickController(cluster, random);
    const fault = (request: StoreRequest): Fate =>
      request.node === victim ? fate(request) : 'serve';
    cluster.faults.storeFaults.add(fault);
    return () => void cluster.faults.storeFaults.delete(fault);
  };
}

function storeFaultForAll(fate: (request: StoreRequest) => Fate): InjectFault {
  return (cluster) => {
    cluster.faults.storeFaults.add(fate);
    return () => void cluster.faults.storeFaults.delete(fate);
  };
}

function shareFault(
  name: keyof SimulatedCluster['faults']['share'],
  fraction: number,
): InjectFault {
  return (cluster) => {
    cluster.faults.share[name] = fraction;
    return () => void (cluster.faults.share[name] = 0);
  };
}

function workerFault(flag: 'deaf' | 'mute' | 'hung'): InjectFault {
  return (cluster, random) => {
    const victims = pickWorkers(cluster, random);
    for (const worker of victims) worker[flag] = true;
    return () => {
      for (const worker of victims) worker[flag] = false;
    };
  };
}

/** Messages between controllers get lost in one direction only. */
function oneWayLoss(isLost: (from: string, to: string, victim: string) => boolean): InjectFault {
  return (cluster, random) => {
    const victim = cluster.nodes[pickController(cluster, random)]!.name;
    const before = cluster.wire.loses;
    let active = true;
    cluster.wire.loses = (from, to, message) =>
      (active && isLost(from, to, victim)) || before(from, to, message);
    return () => void (active = false);
  };
}

function crashControllers(cluster: SimulatedCluster, victims: number[]): () => void {
  const down = victims.filter((i) => cluster.nodes[i]!.controller !== null);
  for (const i of down) cluster.crash(i);
  return () => {
    for (const i of down) if (!cluster.nodes[i]!.controller) cluster.restart(i);
  };
}

const FAULTS: Record<string, InjectFault> = {
  'a controller ends': (cluster, random) =>
    crashControllers(cluster, [pickController(cluster, random)]),
  'all controllers end': (cluster) => crashControllers(cluster, [...cluster.nodes.keys()]),
  'the store is down': (cluster) => {
    cluster.faults.outage();
    return () => cluster.faults.outageOver();
  },
  'the store refuses one controller': storeFault(() => 'refuse'),
  'a controller reaches the store, and hears no answer': storeFault(() => 'lose answer'),
  'a controller does not reach the store': storeFault(() => 'lose request'),
  'the store refuses changes': storeFaultForAll((request) =>
    isWrite(request) ? 'refuse' : 'serve',
  ),
  'the store refuses the changes of one controller': storeFault((request) =>
    isWrite(request) ? 'refuse' : 'serve',
  ),
  'the store refuses reads': storeFaultForAll((request) => (isRead(request) ? 'refuse' : 'serve')),
  'the store refuses the reads of one controller': storeFault((request) =>
    isRead(request) ? 'refuse' : 'serve',
  ),
  'the store is slow': (cluster, random) => {
    cluster.store.slowMs = random.between(200, 900);
    return () => void (cluster.store.slowMs = 0);
  },
  'changes are carried out late': shareFault('lateWrites', 0.3),
  'answers of the store are lost': shareFault('lostAnswers', 0.4),
  'one controller is heard by none of the others': oneWayLoss(
    (from, _to, victim) => from === victim,
  ),
  'one controller hears none of the others': oneWayLoss((_from, to, victim) => to === victim),
  'reports reach a controller, its answers get lost': (cluster, random) => {
    const node = cluster.nodes[pickController(cluster, random)]!;
    node.heldMs = NO_ANSWER_MS;
    return () => void (node.heldMs = 0);
  },
  'a controller is slow': (cluster, random) => {
    const node = cluster.nodes[pickController(cluster, random)]!;
    const mostMs = random.between(1000, 3000);
    node.processingDelayMs = () => random.between(mostMs / 2, mostMs);
    return () => void (node.processingDelayMs = () => 0);
  },
  'a controller stands still': (cluster, random, seconds) => {
    cluster.freeze(pickController(cluster, random), seconds * 1000);
    return () => undefined;
  },
  'machines hear no answers': workerFault('deaf'),
  'machines reach nobody': workerFault('mute'),
  'machines hang': workerFault('hung'),
  'the whole fleet is held up, and reports at once': (cluster) => {
    const fleet = [...cluster.workers.values()];
    for (const worker of fleet) worker.mute = true;
    return () => {
      for (const worker of fleet) worker.mute = false;
    };
  },
  'workers start anew within their lease': (cluster, random) => {
    for (const worker of pickWorkers(cluster, random)) worker.restart();
    return () => undefined;
  },
  'a machine dies': (cluster, random) => {
    const victim = random.pick([...cluster.cloud.hosts.keys()]);
    if (victim !== undefined && cluster.cloud.hosts.delete(victim)) cluster.kill(victim);
    return () => undefined;
  },
  'the cloud loses machines and lists them again': (cluster, random) => {
    const victims = pickWorkers(cluster, random);
    for (const { id } of victims) cluster.cloud.unlisted.add(id);
    const silent = random.next() < 0.5;
    for (const worker of victims) worker.mute ||= silent;
    return () => {
      for (const { id } of victims) cluster.cloud.unlisted.delete(id);
      for (const worker of victims) worker.mute = false;
    };
  },
  'the cloud is down': (cluster) => {
    cluster.cloud.down = true;
    return () => void (cluster.cloud.down = false);
  },
  'the zones are cut apart': (cluster) => {
    cluster.split(true);
    return () => cluster.split(false);
  },
  'copies of reports come late': shareFault('lateReports', 0.4),
  'reports are kept for the next leader': shareFault('reportsForNext', 0.4),
  'direct commands come late': shareFault('lateCommands', 0.6),
  'what runs is cancelled at once': (cluster) => {
    for (const ref of cluster.accepted.keys()) {
      if (cluster.on(ref).length > 0) void cluster.cancelling(ref).catch(() => undefined);
    }
    return () => undefined;
  },
};

interface PlannedFault {
  name: string;
  /** Seconds after work has begun. */
  from: number;
  durationSeconds: number;
  times: number;
}

/** Two or three faults, at moments of the first quarter of a minute; some return. */
export function planFaults(random: SeededRandom): PlannedFault[] {
  const names = Object.keys(FAULTS);
  const count = random.next() < 0.5 ? 2 : 3;
  return Array.from({ length: count }, () => {
    const times = random.next() < 0.15 ? 3 : 1;
    const from = random.between(0, 10);
    // Shorter and longer than a lease of a leader, of a worker, and than `cancel_s`.
    const durationSeconds =
      random.pick([0.5, 2, 5, 9, 13, FAULTS_END_SECONDS - 10]) * random.between(0.8, 1.2);
    return {
      name: random.pick(names),
      from,
      durationSeconds: Math.min(durationSeconds, RECURRENCE_SECONDS - 1),
      times,
    };
  });
}

async function inject(
  cluster: SimulatedCluster,
  random: SeededRandom,
  planned: PlannedFault,
): Promise<void> {
  await cluster.clock.sleep(planned.from * 1000);
  for (let i = 0; i < planned.times; i++) {
    const end = FAULTS[planned.name]!(cluster, random, planned.durationSeconds);
    await cluster.clock.sleep(planned.durationSeconds * 1000);
    end();
    if (i + 1 < planned.times)
      await cluster.clock.sleep((RECURRENCE_SECONDS - planned.durationSeconds) * 1000);
  }
}

/** Small jobs come, some are cancelled, and users look closely at what ends. */
async function submitSmallJobs(cluster: SimulatedCluster, random: SeededRandom): Promise<void> {
  cluster.onDone = (piece) => void (random.next() < 0.3 && cluster.queryEverywhere(piece.job));
  while (!cluster.settling) {
    const template = { pieces: 1 + Math.floor(random.next() * 3), runMs: 2500, fetchMs: 500 };
    void submitAndMaybeCancel(cluster, random, template).catch(() => undefined);
    await cluster.clock.sleep(random.between(1000, 2500));
  }
}

async function submitAndMaybeCancel(
  cluster: SimulatedCluster,
  random: SeededRandom,
  template: { pieces: number; runMs: number; fetchMs: number },
): Promise<void> {
  const ref = await cluster.accepting({ ...template, crew: random.pick(['vision', 'speech']) });
  if (random.next() < 0.6) return;
  await cluster.clock.sleep(random.between(0, 4000));
  await cluster.cancelling(ref);
  void cluster.queryEverywhere(ref);
}

/** Work of every kind; with `full` the team is at its limit. */
async function submitInitialWork(cluster: SimulatedCluster, teamAtLimit: boolean): Promise<void> {
  await cluster.accept({
    shape: 'service',
    pieces: 3,
    runMs: 0,
    urgency: 'production',
    crew: 'speech',
  });
  await cluster.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs: 25_000, crew: 'speech' });
  await cluster.accept({ pieces: 4, runMs: 20_000, samePlace: true });
  await cluster.accept({ pieces: 5, runMs: 12_000, apart: true });
  if (teamAtLimit) await cluster.accept({ pieces: 40, runMs: 9000, urgency: 'best_effort' });
  await cluster.pass(4);
}

const TEAMS = ['vision', 'speech'];

/** Operators move shares back and forth, for good and as loans, and take some of them back. */
async function transferQuotas(cluster: SimulatedCluster, random: SeededRandom): Promise<void> {
  for (let i = 0; !cluster.settling; i++) {
    const from = random.pick(TEAMS);
    const to = TEAMS.find((team) => team !== from)!;
    const limit = { gpus: Math.ceil(random.between(0, 8)) };
    const guarantee = { gpus: Math.floor(random.between(0, 4)) };
    const loan = random.next() < 0.5 ? { forSeconds: random.between(1, 15) } : {};
    const node = Math.floor(random.next() * cluster.nodes.length);
    void quotaTransferApi(cluster, node)?.submit({
      id: `m${i}`,
      from,
      to,
      limit,
      guarantee,
      ...loan,
    });
    await cluster.clock.sleep(random.between(500, 3000));
    if (random.next() < 0.3) {
      void quotaTransferApi(cluster, Math.floor(random.next() * cluster.nodes.length))?.cancel(
        `m${i}`,
      );
    }
  }
}

/** Every move that was stored is over, or all of it is passed on until a later time. */
const allTransfersSettled = (cluster: SimulatedCluster): boolean =>
  [...cluster.store.keys]
    .filter(([key]) => key.startsWith('shares/moves/'))
    .every(([key]) => {
      const phase = transferPhase(cluster, key.slice('shares/moves/'.length))!;
      return !['requested', 'draining', 'returning', 'lent'].includes(phase);
    });

const ROLLOUT_SERVICE: JobTemplate = {
  shape: 'service',
  pieces: 3,
  runMs: 0,
  urgency: 'production',
  crew: 'speech',
};
const ROLLOUT_MAX_SURGE = 1;

/** A version of a service is rolled out; operators pause it, let it go on, and may take it back. */
class RolloutUnderFaults {
  private readonly checker: RolloutChecker;
  private from: string | null = null;
  private readonly next: { ref: string; body: object };

  constructor(
    private readonly w: SimulatedCluster,
    private readonly random: SeededRandom,
  ) {
    const models = withRollouts(w);
    this.checker = new RolloutChecker(w, models, ROLLOUT_MAX_SURGE);
    this.next = w.wish({ ...ROLLOUT_SERVICE, crate: 'v2' });
    if (random.next() < 0.3) models.models.set(this.next.ref, random.pick(BAD_MODELS));
  }

  async submitOldVersion(): Promise<void> {
    this.from = await this.w.accept({ ...ROLLOUT_SERVICE, crate: 'v1' });
  }

  /** In the background, while faults go on. */
  async operate(): Promise<void> {
    const { w: cluster, random, from, next } = this;
    const request = { id: 'r', from, to: next.ref, ...SHORT_ROLLOUT };
    while (cluster.store.get('rollouts/specs/r') === undefined) {
      void this.api()?.start(request);
      await cluster.clock.sleep(1000);
    }
    void cluster.acceptingWished(next).catch(() => undefined);
    while (!cluster.settling) {
      await cluster.clock.sleep(random.between(1000, 8000));
      const order = random.pick(['pause', 'resume', 'resume', 'rollback', null, null] as const);
      if (order) void this.api()?.order('r', order);
    }
  }

  private api(): ReturnType<typeof rolloutApi> {
    return rolloutApi(this.w, Math.floor(this.random.next() * this.w.nodes.length));
  }

  /** It comes to its end, whatever happened; the user of the job that lost cancels that. */
  async finish(): Promise<void> {
    const { w: cluster, from, next } = this;
    const phase = (): string => rolloutStatus(cluster, 'r')?.phase ?? '';
    void this.api()?.order('r', 'resume');
    const over = (): boolean => {
      if (phase() === 'paused') void this.api()?.order('r', 'resume');
      return ['done', 'rolled-back', 'failed', 'refused'].includes(phase());
    };
    await cluster.until(over, SETTLE_SECONDS * 2, 'the rollout is over');
    const loser = { done: from, 'rolled-back': next.ref }[phase()];
    if (loser && cluster.stored(loser) === 'open') await cluster.cancel(loser);
  }

  check(): void {
    assert.deepEqual([...this.checker.broken].slice(0, 4), []);
  }
}

const SHORT_ROLLOUT = {
  steps: [0.3, 1],
  maxSurge: ROLLOUT_MAX_SURGE,
  readySeconds: 20,
  judgeSeconds: 4,
  minSamples: 100,
};

const BAD_MODELS: Model[] = [
  { readyMs: Infinity, latencyMs: () => 100, errorRate: 0 },
  { readyMs: 500, latencyMs: (serving) => 100 * serving, errorRate: 0 },
  { readyMs: 500, latencyMs: () => 100, errorRate: 0.2 },
];

/** What goes on beside the faults. */
export interface SearchOptions {
  /** Shares are moved all the while. */
  quotaTransfers?: boolean;
  /** A version is rolled out. */
  rollout?: boolean;
  /** Five controllers in three zones with slow reports, in place of the sample's. */
  threeZones?: boolean;
  /** Is told of the simulation before anything happens in it. */
  observe?(cluster: SimulatedCluster): void;
}

/** Plays one short simulation; throws what went wrong, with its plan. */
export async function simulateSeed(
  seed: number,
  {
    quotaTransfers: withTransfers = false,
    rollout: withRollout = false,
    threeZones = false,
    observe,
  }: SearchOptions = {},
): Promise<void> {
  const random = new SeededRandom(seed * 2654435761);
  const zones = random.pick(['aabb', 'aabb', 'aaabb', 'ab']);
  const controllers = random.next() < 0.8 ? 3 : 2;
  const teamAtLimit = random.next() < 0.4;
  const plannedFaults = planFaults(random);
  const cluster = threeZones
    ? new SimulatedCluster(machines('aabbcc'), THREE_ZONES, seed)
    : new SimulatedCluster(machines(zones), controllers, seed);
  observe?.(cluster);
  cluster.balanced = random.next() < 0.5;
  if (withTransfers) withQuotaTransfers(cluster);
  const rollout = withRollout ? new RolloutUnderFaults(cluster, random) : null;
  try {
    await cluster.start();
    void cluster.keepAsking();
    await submitInitialWork(cluster, teamAtLimit);
    await rollout?.submitOldVersion();
    void submitSmallJobs(cluster, random);
    if (withTransfers) void transferQuotas(cluster, random);
    void rollout?.operate();
    let over = false;
    void Promise.all(plannedFaults.map((fault) => inject(cluster, random, fault))).then(
      () => (over = true),
    );
    await cluster.until(
      () => over,
      FAULTS_END_SECONDS + 3 * RECURRENCE_SECONDS,
      'troubles are over',
    );
    await cluster.pass(random.between(0, LEASE_SECONDS));
    if (rollout) {
      cluster.faults.over();
      await rollout.finish();
    }
    await cluster.settle(SETTLE_SECONDS);
    if (withTransfers)
      await cluster.until(() => allTransfersSettled(cluster), SETTLE_SECONDS, 'all moves are over');
    await cluster.close();
    rollout?.check();
  } catch (error) {
    // A broken rule says more than what it led to.
    const broken = await cluster.close().catch((error: unknown) => `${String(error)}; `);
    throw new Error(describeFailure(seed, plannedFaults, `${broken ?? ''}${String(error)}`), {
      cause: error,
    });
  }
}

/** A machine boots, and what waited for it runs. */
const SETTLE_SECONDS = 150;

function describeFailure(seed: number, faults: PlannedFault[], message: string): string {
  const plans = faults.map(
    (fault) =>
      `${fault.name} (${fault.from.toFixed(1)} s, ${fault.durationSeconds.toFixed(1)} s, ${fault.times} times)`,
  );
  return `seed ${seed}: ${plans.join('; ')}: ${message}`;
}
