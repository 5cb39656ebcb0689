import assert from 'node:assert/strict';
import type { Controller } from '../../src/control/controller.js';
import type { CreateExtension } from '../../src/control/extensions/extension.js';
import { NoResponseError, type Reply, type Transport } from '../../src/http/client.js';
import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';
import { CURRENT, type Program } from './program.js';
import { fakeRandom } from './random.js';
import type { DeploymentShape } from './deployment-shape.js';
import { settingsAmong } from './sample-settings.js';
import type { Fate } from './store.js';
import type { Front } from './users.js';
import type { Answered, FakeWorker } from './worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** One line of a controller's log. */
export interface LogLine {
  member: string;
  level: 'error' | 'warn' | 'info' | 'debug';
  fields: object;
  message: string;
}

export interface SimulatedController {
  name: string;
  zone: string;
  /** The version that its next process runs. */
  program: Program;
  controller: Controller | null;
  stop: AbortController;
  fate(method: string, path: string, body: unknown): Fate;
  /** False while workers cannot reach it. */
  open: boolean;
  /** False while users cannot reach it. */
  usersOpen: boolean;
  /** Optional parts that its next process has switched on, by name. */
  readonly extensions: Map<string, CreateExtension>;
  /** Until when it stands still while its clocks run on. */
  frozenUntil: number;
  /** For how long its answers to users and workers are held up on their way. */
  heldMs: number;
  /** How much later than it should each of its timers fires and each message is seen; 0: in time. */
  lateMs(): number;
}

/** The controllers of a scenario: processes that start, stand still and end, and their connections. */
export class SimulatedControllers {
  readonly nodes: SimulatedController[] = [];
  /** The zones cannot reach each other; both reach the store. */
  apart = false;
  private lives = 0;
  /** Controllers of the present version whose processes have not come to their end. */
  readonly unfinished = new Set<AbortController>();

  constructor(
    private readonly world: SimulatedCluster,
    private readonly shape: DeploymentShape,
  ) {
    for (const [i, zone] of shape.controllers.entries()) {
      this.nodes.push({
        name: `berth-${i}`,
        zone,
        program: CURRENT,
        controller: null,
        stop: new AbortController(),
        fate: () => 'serve',
        open: true,
        usersOpen: true,
        extensions: new Map(),
        frozenUntil: 0,
        heldMs: 0,
        lateMs: () => 0,
      });
    }
    world.wire.thaw = async (name) => {
      const node = this.nodes.find((node) => node.name === name);
      if (node && world.clock.now() < node.frozenUntil) await this.thaw(node);
    };
  }

  /** The controllers that a load balancer would take for healthy; all if none is. */
  healthy(): number[] {
    const all = [...this.nodes.keys()];
    const healthy = all.filter((i) => {
      const { controller, frozenUntil, usersOpen } = this.nodes[i]!;
      return usersOpen && frozenUntil <= this.world.clock.now() && controller?.ready();
    });
    return healthy.length > 0 ? healthy : all;
  }

  /** One controller as its users see it. */
  front(i: number): Front {
    const node = this.nodes[i]!;
    return {
      name: node.name,
      jobApi: () => (node.usersOpen ? (node.controller?.jobApi ?? null) : null),
      alive: node.stop.signal,
      heldMs: node.heldMs,
      thaw: () => this.thaw(node),
    };
  }

  boot(i: number): void {
    const node = this.nodes[i]!;
    const stop = new AbortController();
    node.stop = stop;
    const controller = node.program.create(
      {
        ...settingsAmong(node.name, this.nodes, this.shape),
        teams: new Map(this.world.teams),
      },
      {
        clock: this.clockOf(node),
        random: fakeRandom(`${node.name}.${++this.lives}`, this.world.seed * 37 * this.lives),
        log: this.logOf(node.name),
        startedAt: this.world.clock.now(),
      },
      {
        extensions: [...node.extensions.values()],
        peerTransport: this.world.wire.attach(
          node.name,
          this.nodes.map((node) => node.name),
          node.program.frames,
        ),
        store: this.through(
          'store',
          node,
          this.world.store.link((member, peer, b) => this.fate(node, stop.signal, member, peer, b)),
        ),
        cloud: this.through('cloud', node, this.world.cloud.link()),
        workers: (address) => ({
          request: async (_method, _path, body, timeoutMs) => {
            await this.world.clock.sleep(2);
            const worker = this.world.workers.get(address.split(':')[0]!);
            const answer =
              worker && this.directReaches(node, worker)
                ? await this.world.faults.direct(worker, body as never, timeoutMs)
                : null;
            await this.world.clock.sleep(2);
            this.world.onCrossing('command', node.name, address, body, answer);
            if (!answer) throw new NoResponseError('no answer');
            return JSON.parse(JSON.stringify(answer)) as Reply;
          },
        }),
      },
    );
    node.controller = controller;
    const ended = controller.run(stop.signal);
    // A released version is what it is; of ours each has to come to its end once it is told to.
    if (node.program !== CURRENT) return;
    this.unfinished.add(stop);
    void ended.finally(() => this.unfinished.delete(stop));
  }

  private logOf(member: string): Logger {
    const note =
      (level: LogLine['level']) =>
      (fields: object, message: string): void => {
        this.world.logged.push({ member, level, fields, message });
      };
    return { error: note('error'), warn: note('warn'), info: note('info'), debug: () => undefined };
  }

  /** What becomes of a request of one process to the store. */
  private fate(
    node: SimulatedController,
    life: AbortSignal,
    method: string,
    path: string,
    body: unknown,
  ): Fate {
    if (life.aborted) return 'refuse';
    const own = node.fate(method, path, body);
    const at = this.nodes.indexOf(node);
    return own === 'serve' ? this.world.faults.storeFate(at, method, path, body) : own;
  }

  private directReaches(node: SimulatedController, worker: FakeWorker): boolean {
    return this.world.directOpen && this.reaches(node, worker);
  }

  /** Whether the network lets a controller reach a machine. */
  reaches(node: SimulatedController, worker: FakeWorker): boolean {
    return !(this.apart && worker.yard !== this.zoneOf(node));
  }

  zoneOf(node: SimulatedController): string {
    return node.zone;
  }

  private zoneNamed(name: string): string | undefined {
    return this.nodes.find((node) => node.name === name)?.zone;
  }

  /** It stands still from now on: what comes to it meanwhile it sees afterwards. */
  freeze(i: number, ms: number): void {
    this.nodes[i]!.frozenUntil = this.world.clock.now() + ms;
  }

  private async thaw(node: SimulatedController): Promise<void> {
    while (this.world.clock.now() < node.frozenUntil) {
      // A moment more, or rounding could leave a wait of no length.
      await this.world.clock.sleep(node.frozenUntil - this.world.clock.now() + 1);
    }
  }

  /** It comes to what is due: at once, or later if it is slow or stands still. */
  private async behind(node: SimulatedController): Promise<void> {
    const lateMs = node.lateMs();
    if (lateMs > 0) await this.world.clock.sleep(lateMs);
    await this.thaw(node);
  }

  private clockOf(node: SimulatedController): Clock {
    return {
      now: () => this.world.clock.now(),
      wall: () => this.world.clock.wall(),
      sleep: async (ms, signal) => {
        await this.world.clock.sleep(ms, signal);
        await this.behind(node);
      },
    };
  }

  /** Requests leave at once; their answers are seen when the controller moves again. */
  private through(
    border: 'store' | 'cloud',
    node: SimulatedController,
    link: Transport,
  ): Transport {
    return {
      request: async (...args) => {
        await this.thaw(node);
        const [method, path, body, timeoutMs] = args;
        this.world.onCrossing(border, node.name, 'request', method, path, body, timeoutMs);
        try {
          const reply = await link.request(...args);
          this.world.onCrossing(border, node.name, 'reply', method, path, reply);
          return reply;
        } finally {
          await this.behind(node);
        }
      },
    };
  }

  /** Ends a controller as a kill would: nothing is handed over. */
  crash(i: number): void {
    const node = this.nodes[i]!;
    node.fate = () => 'lose request';
    node.controller = null;
    this.world.wire.detach(node.name);
    node.stop.abort();
  }

  restart(i: number): void {
    this.nodes[i]!.fate = () => 'serve';
    this.boot(i);
  }

  /** Whether two controllers are in zones that cannot reach each other now. */
  separated(from: string, to: string): boolean {
    return this.apart && this.zoneNamed(from) !== this.zoneNamed(to);
  }

  get leader(): number {
    const holder = this.world.store.get('leader') as { member: string } | undefined;
    return this.nodes.findIndex((node) => node.name === holder?.member);
  }

  /** A heartbeat's way to a controller; also for copies that come late. */
  async deliver(node: number, report: object): Promise<Answered> {
    const { controller, program } = this.nodes[node]!;
    await this.behind(this.nodes[node]!);
    const { yard } = report as { yard: string };
    const cutOff = this.apart && yard !== this.zoneOf(this.nodes[node]!);
    const open = this.nodes[node]!.open && !cutOff;
    await this.world.clock.sleep(1);
    if (!controller || !open) {
      if (!open) await this.world.clock.sleep(5000);
      throw new Error('no connection');
    }
    const answer = await program.answerReport(controller, JSON.parse(JSON.stringify(report)));
    assert.notEqual(answer.status, 400);
    this.world.onCrossing('worker', this.nodes[node]!.name, report, answer);
    await this.world.clock.sleep(1 + this.nodes[node]!.heldMs);
    return answer;
  }
}
