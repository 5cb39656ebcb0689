import assert from 'node:assert/strict';
import { Controller } from '../../src/control/controller.js';
import { NoAnswer, type Reply, type Transport } from '../../src/http/client.js';
import type { Answer } from '../../src/jobs/job-api.js';
import type { Clock } from '../../src/runtime/clock.js';
import type { Random } from '../../src/runtime/random.js';
import { parseDeploy, type Settings } from '../../src/settings/deploy.js';
import { OPERATOR_DEFAULTS } from '../../src/settings/operator.js';
import { parseReport, redirectAnswer, reportAnswer } from '../../src/wire/report.js';
import { FakeClock } from './clock.js';
import { FakeCloud } from './cloud.js';
import { FakeWire } from './peer-transport.js';
import { FakeStore, type Fate } from './store.js';
import { FakeWorker, type Answered, type JobFacts, type Piece } from './worker.js';

export const SETTINGS = `
member = "berth-0"
site = "a"
public_addr = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
[external]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[facts]
size = 2
zones = ["a", "b"]
clock_error_ms = 100.0
[[facts.teams]]
name = "vision"
gpus = 16.0
gpus_max = 32.0
[[facts.teams]]
name = "speech"
gpus = 16.0
gpus_max = 64.0
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 35.0
[facts.state]
rps = 200.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 20
[facts.cloud]
rps = 8.0
list_lag_s = 5.0
[facts.resources]
core_share = 0.136
ram_mb = 114.0
sockets = 500
`;

/** The second controller is in zone b, the others are in zone a. */
export function settings(member = 'berth-0'): Settings {
  const text = SETTINGS.replace('berth-0', member);
  return parseDeploy(
    member === 'berth-1' ? text.replace('site = "a"', 'site = "b"') : text,
    'settings',
  );
}

/** The settings of one of several controllers that know each other. */
function settingsAmong(member: string, all: string[], state: Partial<Settings['state']>): Settings {
  const own = settings(member);
  const peers = all
    .filter((name) => name !== member)
    .map((name) => ({ member: name, zone: settings(name).zone, address: `${name}:1` }));
  return { ...own, peers, size: all.length, state: { ...own.state, ...state } };
}

export function fakeRandom(name: string): Random {
  let n = 0;
  return { next: () => ((n * 7919 + 13) % 1000) / 1000, unique: () => `${name}-${++n}` };
}

const silent = {
  error: (): void => {},
  warn: (): void => {},
  info: (): void => {},
  debug: (): void => {},
};

interface Node {
  name: string;
  controller: Controller | null;
  stop: AbortController;
  fate(method: string, path: string, body: unknown): Fate;
  /** False while workers cannot reach it. */
  open: boolean;
  /** Until when it stands still while its clocks run on. */
  frozenUntil: number;
}

export interface JobWish {
  shape?: 'array' | 'gang' | 'service';
  pieces?: number;
  gpus?: number;
  crew?: string;
  urgency?: string;
  runMs?: number;
  fetchMs?: number;
  samePlace?: boolean;
  apart?: boolean;
  driftwood?: boolean;
  yard?: string;
  waitsOn?: string[];
}

interface WorldFacts extends JobFacts {
  gpus: number;
  crew: string;
  samePlace: boolean;
  waitsOn: string[];
}

/** A small fleet with two or three controllers; it checks the rules at every step of every story. */
export class World {
  readonly clock = new FakeClock();
  readonly store = new FakeStore(this.clock);
  readonly cloud = new FakeCloud(this.clock, (id) => this.kill(id));
  readonly wire = new FakeWire(this.clock);
  readonly workers = new Map<string, FakeWorker>();
  readonly nodes: Node[] = [];
  readonly facts = new Map<string, WorldFacts>();
  readonly starts: string[] = [];
  readonly broken: string[] = [];
  /** Whether commands reach the workers' own addresses. */
  directOpen = true;
  /** The zones cannot reach each other; both reach the store. */
  private apart = false;
  private readonly end = new AbortController();
  private lives = 0;
  private nextId = 1;

  constructor(
    machines: { yard: string; spot?: boolean }[],
    controllers: 2 | 3 = 2,
    /** What the settings say of the store, where it differs from the sample. */
    private readonly state: Partial<Settings['state']> = {},
  ) {
    for (const m of machines) this.cloud.add(m.yard, 0, m.spot ?? false);
    for (const name of ['berth-0', 'berth-1', 'berth-2'].slice(0, controllers)) {
      this.nodes.push({
        name,
        controller: null,
        stop: new AbortController(),
        fate: () => 'serve',
        open: true,
        frozenUntil: 0,
      });
    }
  }

  async start(): Promise<void> {
    for (let i = 0; i < this.nodes.length; i++) this.boot(i);
    void this.hatch();
    await this.pass(6);
  }

  async close(): Promise<void> {
    for (const node of this.nodes) node.stop.abort();
    this.end.abort();
    await this.clock.advance(100);
    assert.deepEqual(this.broken, []);
  }

  boot(i: number): void {
    const node = this.nodes[i]!;
    node.stop = new AbortController();
    const controller = new Controller(
      settingsAmong(
        node.name,
        this.nodes.map((n) => n.name),
        this.state,
      ),
      OPERATOR_DEFAULTS,
      {
        clock: this.clockOf(node),
        random: fakeRandom(`${node.name}.${++this.lives}`),
        log: silent,
        startedAt: this.clock.now(),
      },
      {
        peerTransport: this.wire.attach(
          node.name,
          this.nodes.map((n) => n.name),
        ),
        store: this.through(
          node,
          this.store.link((m, p, b) => (node.stop.signal.aborted ? 'refuse' : node.fate(m, p, b))),
        ),
        cloud: this.through(node, this.cloud.link()),
        workers: (address) => ({
          request: async (_method, _path, body) => {
            await this.clock.sleep(2);
            const worker = this.workers.get(address.split(':')[0]!);
            const answer = this.directOpen ? worker?.direct(body as never) : null;
            await this.clock.sleep(2);
            if (!answer) throw new NoAnswer('no answer');
            return JSON.parse(JSON.stringify(answer)) as Reply;
          },
        }),
      },
    );
    node.controller = controller;
    void controller.run(node.stop.signal);
  }

  /** It stands still from now on: what comes to it meanwhile it sees afterwards. */
  freeze(i: number, ms: number): void {
    this.nodes[i]!.frozenUntil = this.clock.now() + ms;
  }

  private async thaw(node: Node): Promise<void> {
    while (this.clock.now() < node.frozenUntil) {
      // A moment more, or rounding could leave a wait of no length.
      await this.clock.sleep(node.frozenUntil - this.clock.now() + 1);
    }
  }

  private clockOf(node: Node): Clock {
    return {
      now: () => this.clock.now(),
      wall: () => this.clock.wall(),
      sleep: async (ms, signal) => {
        await this.clock.sleep(ms, signal);
        await this.thaw(node);
      },
    };
  }

  /** Requests leave at once; their answers are seen when the controller moves again. */
  private through(node: Node, link: Transport): Transport {
    return {
      request: async (...args) => {
        await this.thaw(node);
        try {
          return await link.request(...args);
        } finally {
          await this.thaw(node);
        }
      },
    };
  }

  /** Ends a controller as a kill would: nothing is handed over. */
  crash(i: number): void {
    const node = this.nodes[i]!;
    node.fate = () => 'lose request';
    node.controller = null;
    this.wire.detach(node.name);
    node.stop.abort();
  }

  restart(i: number): void {
    this.nodes[i]!.fate = () => 'serve';
    this.boot(i);
  }

  split(apart: boolean): void {
    this.apart = apart;
    for (const node of this.nodes) {
      if (apart) this.wire.cut.add(node.name);
      else this.wire.cut.delete(node.name);
    }
  }

  get leader(): number {
    const holder = this.store.get('leader') as { member: string } | undefined;
    return this.nodes.findIndex((n) => n.name === holder?.member);
  }

  /** Lets seconds pass. */
  async pass(seconds: number): Promise<void> {
    for (let i = 0; i < seconds * 4; i++) {
      await this.clock.advance(250);
      this.check();
    }
  }

  async until(what: () => boolean, seconds: number, name: string): Promise<void> {
    for (let i = 0; i < seconds * 4; i++) {
      if (what()) return;
      await this.clock.advance(250);
      this.check();
    }
    assert.ok(what(), `${name}: not within ${seconds} s`);
  }

  /** An answer of one node, with time passing until it comes. */
  async ask(answer: Promise<Answer>): Promise<Answer> {
    let got: Answer | null = null;
    void answer.then((a) => (got = a));
    await this.until(() => got !== null, 6, 'answer');
    return got!;
  }

  wish(w: JobWish): { ref: string; body: object } {
    const ref = `req-${String(this.nextId++).padStart(6, '0')}`;
    this.facts.set(ref, {
      shape: w.shape ?? 'array',
      pieces: w.pieces ?? 1,
      runMs: w.runMs ?? 20_000,
      fetchMs: w.fetchMs ?? 2000,
      saveMs: 1000,
      gpus: w.gpus ?? 1,
      crew: w.crew ?? 'vision',
      samePlace: w.samePlace ?? false,
      waitsOn: w.waitsOn ?? [],
    });
    const body = {
      ref,
      lane: 'train',
      crew: w.crew ?? 'vision',
      shape: w.shape ?? 'array',
      urgency: w.urgency ?? 'standard',
      pieces: w.pieces ?? 1,
      vcpus: 1,
      gpus: w.gpus ?? 1,
      memoryGb: 4,
      crate: 'img-1',
      sizeGb: 4,
      yard: w.yard ?? null,
      samePlace: w.samePlace ?? false,
      apart: w.apart ?? false,
      driftwood: w.driftwood ?? false,
      guessS: (w.runMs ?? 20_000) / 1000,
      snapshotEveryS: 10,
      stowS: 1,
      ...(w.waitsOn ? { waitsOn: w.waitsOn } : {}),
    };
    return { ref, body };
  }

  async submit(w: JobWish, node = 0): Promise<string> {
    const { ref, body } = this.wish(w);
    const answer = await this.ask(this.nodes[node]!.controller!.jobApi.submit(body));
    assert.equal(answer.status, 201);
    return ref;
  }

  async phase(ref: string, node = 0): Promise<string> {
    const answer = await this.ask(this.nodes[node]!.controller!.jobApi.query(ref));
    return answer.status === 200 ? (answer.body as { phase: string }).phase : String(answer.status);
  }

  /** The tasks of a job that are on machines now. */
  on(ref: string): Piece[] {
    return [...this.workers.values()]
      .filter((w) => !w.dead)
      .flatMap((w) => w.pieces)
      .filter((p) => p.job === ref && p.phase !== 'ended');
  }

  running(ref: string): number {
    return this.on(ref).filter((p) => p.phase === 'running').length;
  }

  kill(id: string): void {
    const worker = this.workers.get(id);
    if (worker) worker.dead = true;
  }

  /** Machines that are up get their workers. */
  private async hatch(): Promise<void> {
    while (!this.end.signal.aborted) {
      for (const h of this.cloud.hosts.values()) {
        if (this.workers.has(h.ref) || this.clock.now() < h.upAt) continue;
        const worker = new FakeWorker(
          h.ref,
          h.yard,
          h.driftwood,
          this.clock,
          {
            facts: (job) => this.facts.get(job) ?? null,
            assembled: (job, attempt) => this.assembled(job, attempt),
            onMachine: (w, p) => this.onMachine(w, p),
          },
          10_000,
          (node, report) => this.deliver(node, report),
          this.nodes.map((n) => n.name),
        );
        this.workers.set(h.ref, worker);
        void worker.run(this.end.signal);
      }
      await this.clock.sleep(500, this.end.signal);
    }
  }

  /** A report's way to a controller; also for copies that come late. */
  async deliver(node: number, report: object): Promise<Answered> {
    const { controller } = this.nodes[node]!;
    await this.thaw(this.nodes[node]!);
    const { yard } = report as { yard: string };
    const open = this.nodes[node]!.open && !(this.apart && yard !== (node === 1 ? 'b' : 'a'));
    await this.clock.sleep(1);
    if (!controller || !open) {
      if (!open) await this.clock.sleep(5000);
      throw new Error('no connection');
    }
    const parsed = parseReport(JSON.parse(JSON.stringify(report)));
    assert.ok(parsed);
    const outcome = await controller.report(parsed);
    await this.clock.sleep(1);
    return outcome.kind === 'orders'
      ? { status: 200, body: reportAnswer(outcome.token, outcome.orders) }
      : { status: 421, body: redirectAnswer(outcome.leader) };
  }

  private assembled(job: string, attempt: number): boolean {
    const here = this.on(job).filter((p) => p.attempt === attempt && p.phase !== 'fetching');
    return here.length === this.facts.get(job)!.pieces;
  }

  private onMachine(worker: FakeWorker, piece: Piece): void {
    const name = `${piece.job}/${piece.task}`;
    this.starts.push(name);
    for (const needed of this.facts.get(piece.job)!.waitsOn) {
      if (this.stored(needed) !== 'done') this.broken.push(`too_early ${name}, needs ${needed}`);
    }
    for (const other of this.workers.values()) {
      if (other === worker || other.dead) continue;
      const twin = other.pieces.find(
        (p) =>
          p.job === piece.job &&
          p.task === piece.task &&
          p.phase !== 'ended' &&
          p.phase !== 'fetching',
      );
      if (twin) this.broken.push(`ran_twice ${name} on ${worker.id} and ${other.id}`);
      const elsewhere = other.pieces.some(
        (p) => p.job === piece.job && p.phase !== 'ended' && p.phase !== 'fetching',
      );
      if (elsewhere && this.facts.get(piece.job)!.samePlace && other.yard !== worker.yard) {
        this.broken.push(`wrong_place ${name} in ${worker.yard}`);
      }
    }
  }

  /** The phase that a job's record says. */
  stored(ref: string): string | undefined {
    return (this.store.get(`jobs/${ref}`) as { phase: string } | undefined)?.phase;
  }

  private check(): void {
    const used = new Map<string, number>();
    for (const worker of this.workers.values()) {
      if (worker.dead) continue;
      let gpus = 0;
      for (const p of worker.pieces) {
        const facts = this.facts.get(p.job);
        if (!facts || p.phase === 'ended') continue;
        gpus += facts.gpus;
        if (p.phase !== 'fetching') used.set(facts.crew, (used.get(facts.crew) ?? 0) + facts.gpus);
      }
      if (gpus > 8) this.broken.push(`no room on ${worker.id}: ${gpus}`);
    }
    for (const [team, limit] of [
      ['vision', 32],
      ['speech', 64],
    ] as const) {
      if ((used.get(team) ?? 0) > limit) this.broken.push(`quota of ${team}: ${used.get(team)}`);
    }
  }
}
