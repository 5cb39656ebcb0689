import assert from 'node:assert/strict';
import { THREE_ZONES } from './deployment-shape.js';
import { machines } from './meeting.js';
import type { Model } from './model-servers.js';
import { SeededRandom } from './random.js';
import { RolloutChecker, rolloutApi, rolloutStatus, withRollouts } from './rollout-checker.js';
import { movePhase, shareApi, withShares } from './share-checker.js';
import type { Fate } from './store.js';
import type { StoreRequest } from './troubles.js';
import type { FakeWorker } from './worker.js';
import { World, type JobWish } from './world.js';

/** Starts a trouble on victims of its choice, for so many seconds; what it returns ends it. */
type Begin = (w: World, random: SeededRandom, seconds: number) => () => void;

/** How long a report without an answer is waited for, with some more. */
const NO_ANSWER_MS = 6000;
const LEASE_S = 10;
/** The pause between the beginnings of a trouble that returns. */
const RETURNS_S = 20;
/** All troubles are over this long after work began, if none returns. */
const TROUBLED_S = 30;

const changes = ({ path, body }: StoreRequest): boolean =>
  path === '/txn' && (body as { then: unknown[] }).then.length > 0;

/** Also questions after changes, and comparisons without any. */
const reads = (r: StoreRequest): boolean =>
  r.method === 'GET' || (r.path === '/txn' && !changes(r));

/** Mostly the leader. */
function aController(w: World, random: SeededRandom): number {
  const { leader } = w;
  if (leader >= 0 && random.next() < 0.6) return leader;
  return Math.floor(random.next() * w.nodes.length);
}

function someWorkers(w: World, random: SeededRandom): FakeWorker[] {
  const alive = [...w.workers.values()].filter((x) => !x.dead);
  const share = random.pick([0.3, 0.6, 1]);
  const some = alive.filter(() => random.next() < share);
  return some.length > 0 ? some : alive.slice(0, 1);
}

/** A fault on one controller's way to the store. */
function storeFault(fate: (request: StoreRequest) => Fate): Begin {
  return (w, random) => {
    const victim = aController(w, random);
    const fault = (r: StoreRequest): Fate => (r.node === victim ? fate(r) : 'serve');
    w.trouble.storeFaults.add(fault);
    return () => void w.trouble.storeFaults.delete(fault);
  };
}

function storeFaultForAll(fate: (request: StoreRequest) => Fate): Begin {
  return (w) => {
    w.trouble.storeFaults.add(fate);
    return () => void w.trouble.storeFaults.delete(fate);
  };
}

function share(name: keyof World['trouble']['share'], of: number): Begin {
  return (w) => {
    w.trouble.share[name] = of;
    return () => void (w.trouble.share[name] = 0);
  };
}

function toWorkers(what: 'deaf' | 'mute' | 'hung'): Begin {
  return (w, random) => {
    const victims = someWorkers(w, random);
    for (const worker of victims) worker[what] = true;
    return () => {
      for (const worker of victims) worker[what] = false;
    };
  };
}

/** Messages between controllers get lost in one direction only. */
function oneWay(isLost: (from: string, to: string, victim: string) => boolean): Begin {
  return (w, random) => {
    const victim = w.nodes[aController(w, random)]!.name;
    const before = w.wire.loses;
    let lasts = true;
    w.wire.loses = (from, to, message) =>
      (lasts && isLost(from, to, victim)) || before(from, to, message);
    return () => void (lasts = false);
  };
}

function crash(w: World, victims: number[]): () => void {
  const down = victims.filter((i) => w.nodes[i]!.controller !== null);
  for (const i of down) w.crash(i);
  return () => {
    for (const i of down) if (!w.nodes[i]!.controller) w.restart(i);
  };
}

const TROUBLES: Record<string, Begin> = {
  'a controller ends': (w, random) => crash(w, [aController(w, random)]),
  'all controllers end': (w) => crash(w, [...w.nodes.keys()]),
  'the store is down': (w) => {
    w.trouble.outage();
    return () => w.trouble.outageOver();
  },
  'the store refuses one controller': storeFault(() => 'refuse'),
  'a controller reaches the store, and hears no answer': storeFault(() => 'lose answer'),
  'a controller does not reach the store': storeFault(() => 'lose request'),
  'the store refuses changes': storeFaultForAll((r) => (changes(r) ? 'refuse' : 'serve')),
  'the store refuses the changes of one controller': storeFault((r) =>
    changes(r) ? 'refuse' : 'serve',
  ),
  'the store refuses reads': storeFaultForAll((r) => (reads(r) ? 'refuse' : 'serve')),
  'the store refuses the reads of one controller': storeFault((r) =>
    reads(r) ? 'refuse' : 'serve',
  ),
  'the store is slow': (w, random) => {
    w.store.slowMs = random.between(200, 900);
    return () => void (w.store.slowMs = 0);
  },
  'changes are carried out late': share('lateWrites', 0.3),
  'answers of the store are lost': share('lostAnswers', 0.4),
  'one controller is heard by none of the others': oneWay((from, _to, victim) => from === victim),
  'one controller hears none of the others': oneWay((_from, to, victim) => to === victim),
  'reports reach a controller, its answers get lost': (w, random) => {
    const node = w.nodes[aController(w, random)]!;
    node.heldMs = NO_ANSWER_MS;
    return () => void (node.heldMs = 0);
  },
  'a controller is slow': (w, random) => {
    const node = w.nodes[aController(w, random)]!;
    const mostMs = random.between(1000, 3000);
    node.lateMs = () => random.between(mostMs / 2, mostMs);
    return () => void (node.lateMs = () => 0);
  },
  'a controller stands still': (w, random, seconds) => {
    w.freeze(aController(w, random), seconds * 1000);
    return () => undefined;
  },
  'machines hear no answers': toWorkers('deaf'),
  'machines reach nobody': toWorkers('mute'),
  'machines hang': toWorkers('hung'),
  'the whole fleet is held up, and reports at once': (w) => {
    const fleet = [...w.workers.values()];
    for (const worker of fleet) worker.mute = true;
    return () => {
      for (const worker of fleet) worker.mute = false;
    };
  },
  'workers start anew within their lease': (w, random) => {
    for (const worker of someWorkers(w, random)) worker.restart();
    return () => undefined;
  },
  'a machine dies': (w, random) => {
    const victim = random.pick([...w.cloud.hosts.keys()]);
    if (victim !== undefined && w.cloud.hosts.delete(victim)) w.kill(victim);
    return () => undefined;
  },
  'the cloud loses machines and lists them again': (w, random) => {
    const victims = someWorkers(w, random);
    for (const { id } of victims) w.cloud.hidden.add(id);
    const silent = random.next() < 0.5;
    for (const worker of victims) worker.mute ||= silent;
    return () => {
      for (const { id } of victims) w.cloud.hidden.delete(id);
      for (const worker of victims) worker.mute = false;
    };
  },
  'the cloud is down': (w) => {
    w.cloud.down = true;
    return () => void (w.cloud.down = false);
  },
  'the zones are cut apart': (w) => {
    w.split(true);
    return () => w.split(false);
  },
  'copies of reports come late': share('lateReports', 0.4),
  'reports are kept for the next leader': share('reportsForNext', 0.4),
  'direct commands come late': share('lateCommands', 0.6),
  'what runs is cancelled at once': (w) => {
    for (const ref of w.accepted.keys()) {
      if (w.on(ref).length > 0) void w.cancelling(ref).catch(() => undefined);
    }
    return () => undefined;
  },
};

interface Planned {
  name: string;
  /** Seconds after work has begun. */
  from: number;
  lasts: number;
  times: number;
}

/** Two or three troubles, at moments of the first quarter of a minute; some return. */
export function plan(random: SeededRandom): Planned[] {
  const names = Object.keys(TROUBLES);
  const count = random.next() < 0.5 ? 2 : 3;
  return Array.from({ length: count }, () => {
    const times = random.next() < 0.15 ? 3 : 1;
    const from = random.between(0, 10);
    // Shorter and longer than a lease of a leader, of a worker, and than `cancel_s`.
    const lasts = random.pick([0.5, 2, 5, 9, 13, TROUBLED_S - 10]) * random.between(0.8, 1.2);
    return { name: random.pick(names), from, lasts: Math.min(lasts, RETURNS_S - 1), times };
  });
}

async function bring(w: World, random: SeededRandom, planned: Planned): Promise<void> {
  await w.clock.sleep(planned.from * 1000);
  for (let i = 0; i < planned.times; i++) {
    const end = TROUBLES[planned.name]!(w, random, planned.lasts);
    await w.clock.sleep(planned.lasts * 1000);
    end();
    if (i + 1 < planned.times) await w.clock.sleep((RETURNS_S - planned.lasts) * 1000);
  }
}

/** Small jobs come, some are cancelled, and users look closely at what ends. */
async function trickle(w: World, random: SeededRandom): Promise<void> {
  w.onDone = (piece) => void (random.next() < 0.3 && w.queryEverywhere(piece.job));
  while (!w.settling) {
    const wish = { pieces: 1 + Math.floor(random.next() * 3), runMs: 2500, fetchMs: 500 };
    void submitAndMaybeCancel(w, random, wish).catch(() => undefined);
    await w.clock.sleep(random.between(1000, 2500));
  }
}

async function submitAndMaybeCancel(
  w: World,
  random: SeededRandom,
  wish: { pieces: number; runMs: number; fetchMs: number },
): Promise<void> {
  const ref = await w.accepting({ ...wish, crew: random.pick(['vision', 'speech']) });
  if (random.next() < 0.6) return;
  await w.clock.sleep(random.between(0, 4000));
  await w.cancelling(ref);
  void w.queryEverywhere(ref);
}

/** Work of every kind; with `full` the team is at its limit. */
async function begin(w: World, full: boolean): Promise<void> {
  await w.accept({ shape: 'service', pieces: 3, runMs: 0, urgency: 'production', crew: 'speech' });
  await w.accept({ shape: 'gang', pieces: 2, gpus: 4, runMs: 25_000, crew: 'speech' });
  await w.accept({ pieces: 4, runMs: 20_000, samePlace: true });
  await w.accept({ pieces: 5, runMs: 12_000, apart: true });
  if (full) await w.accept({ pieces: 40, runMs: 9000, urgency: 'best_effort' });
  await w.pass(4);
}

const TEAMS = ['vision', 'speech'];

/** Operators move shares back and forth, for good and as loans, and take some of them back. */
async function moveShares(w: World, random: SeededRandom): Promise<void> {
  for (let i = 0; !w.settling; i++) {
    const from = random.pick(TEAMS);
    const to = TEAMS.find((team) => team !== from)!;
    const limit = { gpus: Math.ceil(random.between(0, 8)) };
    const guarantee = { gpus: Math.floor(random.between(0, 4)) };
    const loan = random.next() < 0.5 ? { forSeconds: random.between(1, 15) } : {};
    const node = Math.floor(random.next() * w.nodes.length);
    void shareApi(w, node)?.submit({ id: `m${i}`, from, to, limit, guarantee, ...loan });
    await w.clock.sleep(random.between(500, 3000));
    if (random.next() < 0.3) {
      void shareApi(w, Math.floor(random.next() * w.nodes.length))?.cancel(`m${i}`);
    }
  }
}

/** Every move that was stored is over, or all of it is passed on until a later time. */
const movesRest = (w: World): boolean =>
  [...w.store.keys]
    .filter(([key]) => key.startsWith('shares/moves/'))
    .every(([key]) => {
      const phase = movePhase(w, key.slice('shares/moves/'.length))!;
      return !['requested', 'draining', 'returning', 'lent'].includes(phase);
    });

const ROLLED: JobWish = {
  shape: 'service',
  pieces: 3,
  runMs: 0,
  urgency: 'production',
  crew: 'speech',
};
const ROLLED_SURGE = 1;

/** A version of a service is rolled out; operators pause it, let it go on, and may take it back. */
class Rolling {
  private readonly checker: RolloutChecker;
  private from: string | null = null;
  private readonly next: { ref: string; body: object };

  constructor(
    private readonly w: World,
    private readonly random: SeededRandom,
  ) {
    const models = withRollouts(w);
    this.checker = new RolloutChecker(w, models, ROLLED_SURGE);
    this.next = w.wish({ ...ROLLED, crate: 'v2' });
    if (random.next() < 0.3) models.models.set(this.next.ref, random.pick(BAD_MODELS));
  }

  async begin(): Promise<void> {
    this.from = await this.w.accept({ ...ROLLED, crate: 'v1' });
  }

  /** In the background, while troubles go on. */
  async operate(): Promise<void> {
    const { w, random, from, next } = this;
    const request = { id: 'r', from, to: next.ref, ...SHORT_ROLLOUT };
    while (w.store.get('rollouts/specs/r') === undefined) {
      void this.api()?.start(request);
      await w.clock.sleep(1000);
    }
    void w.acceptingWished(next).catch(() => undefined);
    while (!w.settling) {
      await w.clock.sleep(random.between(1000, 8000));
      const order = random.pick(['pause', 'resume', 'resume', 'rollback', null, null] as const);
      if (order) void this.api()?.order('r', order);
    }
  }

  private api(): ReturnType<typeof rolloutApi> {
    return rolloutApi(this.w, Math.floor(this.random.next() * this.w.nodes.length));
  }

  /** It comes to its end, whatever happened; the user of the job that lost cancels that. */
  async finish(): Promise<void> {
    const { w, from, next } = this;
    const phase = (): string => rolloutStatus(w, 'r')?.phase ?? '';
    void this.api()?.order('r', 'resume');
    const over = (): boolean => {
      if (phase() === 'paused') void this.api()?.order('r', 'resume');
      return ['done', 'rolled-back', 'failed', 'refused'].includes(phase());
    };
    await w.until(over, SETTLED_S * 2, 'the rollout is over');
    const loser = { done: from, 'rolled-back': next.ref }[phase()];
    if (loser && w.stored(loser) === 'open') await w.cancel(loser);
  }

  check(): void {
    assert.deepEqual([...this.checker.broken].slice(0, 4), []);
  }
}

const SHORT_ROLLOUT = {
  steps: [0.3, 1],
  maxSurge: ROLLED_SURGE,
  readySeconds: 20,
  judgeSeconds: 4,
  minSamples: 100,
};

const BAD_MODELS: Model[] = [
  { readyMs: Infinity, latencyMs: () => 100, errorRate: 0 },
  { readyMs: 500, latencyMs: (serving) => 100 * serving, errorRate: 0 },
  { readyMs: 500, latencyMs: () => 100, errorRate: 0.2 },
];

/** What goes on beside the troubles. */
export interface Beside {
  /** Shares are moved all the while. */
  moving?: boolean;
  /** A version is rolled out. */
  rolling?: boolean;
  /** Five controllers in three zones with slow reports, in place of the sample's. */
  threeZones?: boolean;
  /** Is told of the world before anything happens in it. */
  observe?(world: World): void;
}

/** Plays one short world; throws what went wrong, with its plan. */
export async function playSeed(
  seed: number,
  { moving = false, rolling = false, threeZones = false, observe }: Beside = {},
): Promise<void> {
  const random = new SeededRandom(seed * 2654435761);
  const zones = random.pick(['aabb', 'aabb', 'aaabb', 'ab']);
  const controllers = random.next() < 0.8 ? 3 : 2;
  const full = random.next() < 0.4;
  const troubles = plan(random);
  const w = threeZones
    ? new World(machines('aabbcc'), THREE_ZONES, seed)
    : new World(machines(zones), controllers, seed);
  observe?.(w);
  w.balanced = random.next() < 0.5;
  if (moving) withShares(w);
  const rollout = rolling ? new Rolling(w, random) : null;
  try {
    await w.start();
    void w.keepAsking();
    await begin(w, full);
    await rollout?.begin();
    void trickle(w, random);
    if (moving) void moveShares(w, random);
    void rollout?.operate();
    let over = false;
    void Promise.all(troubles.map((t) => bring(w, random, t))).then(() => (over = true));
    await w.until(() => over, TROUBLED_S + 3 * RETURNS_S, 'troubles are over');
    await w.pass(random.between(0, LEASE_S));
    if (rollout) {
      w.trouble.over();
      await rollout.finish();
    }
    await w.settle(SETTLED_S);
    if (moving) await w.until(() => movesRest(w), SETTLED_S, 'all moves are over');
    await w.close();
    rollout?.check();
  } catch (error) {
    // A broken rule says more than what it led to.
    const broken = await w.close().catch((e: unknown) => `${String(e)}; `);
    throw new Error(told(seed, troubles, `${broken ?? ''}${String(error)}`), { cause: error });
  }
}

/** A machine boots, and what waited for it runs. */
const SETTLED_S = 150;

function told(seed: number, troubles: Planned[], said: string): string {
  const plans = troubles.map(
    (t) => `${t.name} (${t.from.toFixed(1)} s, ${t.lasts.toFixed(1)} s, ${t.times} times)`,
  );
  return `seed ${seed}: ${plans.join('; ')}: ${said}`;
}
