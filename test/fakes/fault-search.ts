import assert from 'node:assert/strict';
import { THREE_ZONES } from './deployment-shape.js';
import { machines } from './fault-scenario.js';
import type { Model } from './model-servers.js';
import { SeededRandom } from './random.js';
import { RolloutChecker, rolloutApi, rolloutStatus, withRollouts } from './rollout-checker.js';
import { transferPhase, quotaTransferApi, withQuotaTransfers } from './quota-checker.js';
import type { RequestOutcome } from './store.js';
import type { StoreRequest } from './faults.js';
import type { FakeWorker } from './worker.js';
import { SimulatedCluster, type JobTemplate } from './simulated-cluster.js';

/** Starts a fault on victims that it picks, and returns a function that ends the fault. */
type InjectFault = (cluster: SimulatedCluster, random: SeededRandom, seconds: number) => () => void;

/** Longer than a worker waits for the response to a heartbeat. */
const NO_ANSWER_MS = 6000;
const LEASE_SECONDS = 10;
/** The interval between the starts of a recurring fault. */
const RECURRENCE_SECONDS = 20;
/** Without recurring faults, all faults are over this long after the start of the work. */
const FAULTS_END_SECONDS = 30;

const isWrite = ({ path, body }: StoreRequest): boolean =>
  path === '/txn' && (body as { then: unknown[] }).then.length > 0;

/** Includes watches, and transactions that only compare. */
const isRead = (request: StoreRequest): boolean =>
  request.method === 'GET' || (request.path === '/txn' && !isWrite(request));

/** Picks a controller, usually the leader. */
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

/** A fault in one controller's requests to the store. */
function storeFault(fate: (request: StoreRequest) => RequestOutcome): InjectFault {
  return (cluster, random) => {
    const victim = pickController(cluster, random);
    const fault = (request: StoreRequest): RequestOutcome =>
      request.node === victim ? fate(request) : 'serve';
    cluster.faults.storeFaults.add(fault);
    return () => void cluster.faults.storeFaults.delete(fault);
  };
}

function storeFaultForAll(fate: (request: StoreRequest) => RequestOutcome): InjectFault {
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

/** Messages between controllers are lost in one direction only. */
function oneWayLoss(isLost: (from: string, to: string, victim: string) => boolean): InjectFault {
  return (cluster, random) => {
    const victim = cluster.nodes[pickController(cluster, random)]!.name;
    const before = cluster.peerNetwork.isLost;
    let active = true;
    cluster.peerNetwork.isLost = (from, to, message) =>
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
  'a controller crashes': (cluster, random) =>
    crashControllers(cluster, [pickController(cluster, random)]),
  'all controllers crash': (cluster) => crashControllers(cluster, [...cluster.nodes.keys()]),
  'the store is down': (cluster) => {
    cluster.faults.startStoreOutage();
    return () => cluster.faults.endStoreOutage();
  },
  'the store refuses one controller': storeFault(() => 'refuse'),
  'a controller gets no responses from the store': storeFault(() => 'lose answer'),
  'a controller cannot reach the store': storeFault(() => 'lose request'),
  'the store refuses writes': storeFaultForAll((request) =>
    isWrite(request) ? 'refuse' : 'serve',
  ),
  'the store refuses the writes of one controller': storeFault((request) =>
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
  'writes are applied late': shareFault('lateWrites', 0.3),
  'responses of the store are lost': shareFault('lostAnswers', 0.4),
  'messages from one controller to the others are lost': oneWayLoss(
    (from, _to, victim) => from === victim,
  ),
  'messages to one controller from the others are lost': oneWayLoss(
    (_from, to, victim) => to === victim,
  ),
  'a controller receives heartbeats, but its responses time out': (cluster, random) => {
    const node = cluster.nodes[pickController(cluster, random)]!;
    node.responseDelayMs = NO_ANSWER_MS;
    return () => void (node.responseDelayMs = 0);
  },
  'a controller is slow': (cluster, random) => {
    const node = cluster.nodes[pickController(cluster, random)]!;
    const maxDelayMs = random.between(1000, 3000);
    node.processingDelayMs = () => random.between(maxDelayMs / 2, maxDelayMs);
    return () => void (node.processingDelayMs = () => 0);
  },
  'a controller is frozen': (cluster, random, seconds) => {
    cluster.freeze(pickController(cluster, random), seconds * 1000);
    return () => undefined;
  },
  'machines receive no responses': workerFault('deaf'),
  'machines reach no controller': workerFault('mute'),
  'machines hang': workerFault('hung'),
  'the whole fleet is silent, then reports at once': (cluster) => {
    const fleet = [...cluster.workers.values()];
    for (const worker of fleet) worker.mute = true;
    return () => {
      for (const worker of fleet) worker.mute = false;
    };
  },
  'workers restart within their lease': (cluster, random) => {
    for (const worker of pickWorkers(cluster, random)) worker.restart();
    return () => undefined;
  },
  'a machine dies': (cluster, random) => {
    const victim = random.pick([...cluster.cloud.hosts.keys()]);
    if (victim !== undefined && cluster.cloud.hosts.delete(victim)) cluster.kill(victim);
    return () => undefined;
  },
  'machines are missing from the cloud list for a while': (cluster, random) => {
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
  'the zones are partitioned': (cluster) => {
    cluster.setPartitioned(true);
    return () => cluster.setPartitioned(false);
  },
  'copies of heartbeats arrive late': shareFault('lateReports', 0.4),
  'heartbeats are replayed to the next leader': shareFault('reportsForNext', 0.4),
  'direct commands arrive late': shareFault('lateCommands', 0.6),
  'all running jobs are cancelled at once': (cluster) => {
    for (const ref of cluster.accepted.keys()) {
      if (cluster.tasksOf(ref).length > 0)
        void cluster.cancelInBackground(ref).catch(() => undefined);
    }
    return () => undefined;
  },
};

interface PlannedFault {
  name: string;
  /** Seconds after the start of the work. */
  from: number;
  durationSeconds: number;
  times: number;
}

/** Plans two or three faults that start within the first 10 seconds; some recur. */
export function planFaults(random: SeededRandom): PlannedFault[] {
  const names = Object.keys(FAULTS);
  const count = random.next() < 0.5 ? 2 : 3;
  return Array.from({ length: count }, () => {
    const times = random.next() < 0.15 ? 3 : 1;
    const from = random.between(0, 10);
    // Values shorter and longer than the leases of leader and workers, and than `cancel_s`.
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

/** Submits small jobs, cancels some, and queries some of those that complete at all nodes. */
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
  const ref = await cluster.acceptInBackground({
    ...template,
    crew: random.pick(['vision', 'speech']),
  });
  if (random.next() < 0.6) return;
  await cluster.clock.sleep(random.between(0, 4000));
  await cluster.cancelInBackground(ref);
  void cluster.queryEverywhere(ref);
}

/** Submits work of every kind; with `teamAtLimit` the team reaches its limit. */
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
  await cluster.advance(4);
}

const TEAMS = ['vision', 'speech'];

/** Operators transfer quotas in both directions, for good or as loans, and cancel some. */
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

/** Whether no stored transfer is requested, draining, lent or returning. */
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

/** Rolls out a new version of a service, which operators pause, resume and may roll back. */
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
    this.next = w.createSubmission({ ...ROLLOUT_SERVICE, crate: 'v2' });
    if (random.next() < 0.3) models.models.set(this.next.ref, random.pick(BAD_MODELS));
  }

  async submitOldVersion(): Promise<void> {
    this.from = await this.w.accept({ ...ROLLOUT_SERVICE, crate: 'v1' });
  }

  /** Runs in the background during the faults. */
  async operate(): Promise<void> {
    const { w: cluster, random, from, next } = this;
    const request = { id: 'r', from, to: next.ref, ...SHORT_ROLLOUT };
    while (cluster.store.get('rollouts/specs/r') === undefined) {
      void this.api()?.start(request);
      await cluster.clock.sleep(1000);
    }
    void cluster.acceptSubmissionInBackground(next).catch(() => undefined);
    while (!cluster.settling) {
      await cluster.clock.sleep(random.between(1000, 8000));
      const order = random.pick(['pause', 'resume', 'resume', 'rollback', null, null] as const);
      if (order) void this.api()?.order('r', order);
    }
  }

  private api(): ReturnType<typeof rolloutApi> {
    return rolloutApi(this.w, Math.floor(this.random.next() * this.w.nodes.length));
  }

  /** Waits until the rollout has ended; the user of the replaced job then cancels it. */
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
    if (loser && cluster.storedPhase(loser) === 'open') await cluster.cancel(loser);
  }

  check(): void {
    assert.deepEqual([...this.checker.violations].slice(0, 4), []);
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

/** What runs beside the faults. */
export interface SearchOptions {
  /** Quotas are transferred throughout. */
  quotaTransfers?: boolean;
  /** A new version is rolled out. */
  rollout?: boolean;
  /** Uses five controllers in three zones with infrequent heartbeats instead of the sample. */
  threeZones?: boolean;
  /** Receives the simulation before it starts. */
  observe?(cluster: SimulatedCluster): void;
}

/** Runs one short simulation; an error names the planned faults and what went wrong. */
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
  cluster.useLoadBalancer = random.next() < 0.5;
  if (withTransfers) withQuotaTransfers(cluster);
  const rollout = withRollout ? new RolloutUnderFaults(cluster, random) : null;
  try {
    await cluster.start();
    void cluster.startQueries();
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
      'all faults are over',
    );
    await cluster.advance(random.between(0, LEASE_SECONDS));
    if (rollout) {
      cluster.faults.endAll();
      await rollout.finish();
    }
    await cluster.waitUntilSettled(SETTLE_SECONDS);
    if (withTransfers)
      await cluster.until(
        () => allTransfersSettled(cluster),
        SETTLE_SECONDS,
        'all quota transfers are settled',
      );
    await cluster.close();
    rollout?.check();
  } catch (error) {
    // A rule violation says more than the error that followed from it.
    const broken = await cluster.close().catch((error: unknown) => `${String(error)}; `);
    throw new Error(describeFailure(seed, plannedFaults, `${broken ?? ''}${String(error)}`), {
      cause: error,
    });
  }
}

/** Enough for a machine to boot and for the jobs that wait for it to run. */
const SETTLE_SECONDS = 150;

function describeFailure(seed: number, faults: PlannedFault[], message: string): string {
  const plans = faults.map(
    (fault) =>
      `${fault.name} (${fault.from.toFixed(1)} s, ${fault.durationSeconds.toFixed(1)} s, ${fault.times} times)`,
  );
  return `seed ${seed}: ${plans.join('; ')}: ${message}`;
}
