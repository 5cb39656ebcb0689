import assert from 'node:assert/strict';
import type { Controller } from '../../src/control/controller.js';
import type { CreateExtension } from '../../src/control/extensions/extension.js';
import { NoResponseError, type Reply, type Transport } from '../../src/http/client.js';
import type { Clock } from '@leverhatch/core/clock';
import type { Logger } from '@leverhatch/core/log';
import { CURRENT, type Program } from './program.js';
import { fakeRandom } from './random.js';
import type { DeploymentShape } from './deployment-shape.js';
import { controllerSettings } from './sample-settings.js';
import type { RequestOutcome } from './store.js';
import type { UserEndpoint } from './users.js';
import type { ReportResponse, FakeWorker } from './worker.js';
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
  /** The controller version that the next process runs. */
  program: Program;
  controller: Controller | null;
  stop: AbortController;
  storeOutcome(method: string, path: string, body: unknown): RequestOutcome;
  /** Whether workers can reach it. */
  reachableByWorkers: boolean;
  /** Whether users can reach it. */
  reachableByUsers: boolean;
  /** Extensions that are enabled in the next process, by name. */
  readonly extensions: Map<string, CreateExtension>;
  /** The time until which the process is frozen; the clock advances meanwhile. */
  frozenUntil: number;
  /** The delay of its responses to users and workers. */
  responseDelayMs: number;
  /** The delay of each of its timers and received messages; 0 means none. */
  processingDelayMs(): number;
}

/** The controllers of a scenario, which can start, freeze and crash, and their connections. */
export class SimulatedControllers {
  readonly nodes: SimulatedController[] = [];
  /** Whether the zones are partitioned from each other; all of them still reach the store. */
  apart = false;
  private processCount = 0;
  /** Processes of the current version whose `run` has not returned yet, by their stop signal. */
  readonly liveProcesses = new Set<AbortController>();

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly shape: DeploymentShape,
  ) {
    for (const [i, zone] of shape.controllers.entries()) {
      this.nodes.push({
        name: `berth-${i}`,
        zone,
        program: CURRENT,
        controller: null,
        stop: new AbortController(),
        storeOutcome: () => 'serve',
        reachableByWorkers: true,
        reachableByUsers: true,
        extensions: new Map(),
        frozenUntil: 0,
        responseDelayMs: 0,
        processingDelayMs: () => 0,
      });
    }
    cluster.peerNetwork.waitWhileFrozen = async (name) => {
      const node = this.nodes.find((node) => node.name === name);
      if (node && cluster.clock.now() < node.frozenUntil) await this.waitWhileFrozen(node);
    };
  }

  /** The controllers that pass a load balancer's health checks, or all if none does. */
  healthy(): number[] {
    const all = [...this.nodes.keys()];
    const healthy = all.filter((i) => {
      const { controller, frozenUntil, reachableByUsers: usersOpen } = this.nodes[i]!;
      return usersOpen && frozenUntil <= this.cluster.clock.now() && controller?.ready();
    });
    return healthy.length > 0 ? healthy : all;
  }

  /** The user-facing endpoint of one controller. */
  endpoint(i: number): UserEndpoint {
    const node = this.nodes[i]!;
    return {
      name: node.name,
      jobApi: () => (node.reachableByUsers ? (node.controller?.jobApi ?? null) : null),
      alive: node.stop.signal,
      heldMs: node.responseDelayMs,
      waitWhileFrozen: () => this.waitWhileFrozen(node),
    };
  }

  boot(i: number): void {
    const node = this.nodes[i]!;
    const stop = new AbortController();
    node.stop = stop;
    const controller = node.program.create(
      {
        ...controllerSettings(node.name, this.nodes, this.shape),
        teams: new Map(this.cluster.teams),
      },
      {
        clock: this.clockOf(node),
        random: fakeRandom(
          `${node.name}.${++this.processCount}`,
          this.cluster.seed * 37 * this.processCount,
        ),
        log: this.loggerOf(node.name),
        startedAt: this.cluster.clock.now(),
      },
      {
        extensions: [...node.extensions.values()],
        peerTransport: this.cluster.peerNetwork.attach(
          node.name,
          this.nodes.map((node) => node.name),
          node.program.frames,
        ),
        store: this.tracedTransport(
          'store',
          node,
          this.cluster.store.transport((method, path, body) =>
            this.storeOutcome(node, stop.signal, method, path, body),
          ),
        ),
        cloud: this.tracedTransport('cloud', node, this.cluster.cloud.transport()),
        workers: (address) => ({
          request: async (_method, _path, body, timeoutMs) => {
            await this.cluster.clock.sleep(2);
            const worker = this.cluster.workers.get(address.split(':')[0]!);
            const answer =
              worker && this.isDirectlyReachable(node, worker)
                ? await this.cluster.faults.direct(worker, body as never, timeoutMs)
                : null;
            await this.cluster.clock.sleep(2);
            this.cluster.onBoundaryCrossing('command', node.name, address, body, answer);
            if (!answer) throw new NoResponseError('no answer');
            return JSON.parse(JSON.stringify(answer)) as Reply;
          },
        }),
      },
    );
    node.controller = controller;
    const finished = controller.run(stop.signal);
    // Released versions cannot be fixed; each process of this tree must end when it is stopped.
    if (node.program !== CURRENT) return;
    this.liveProcesses.add(stop);
    void finished.finally(() => this.liveProcesses.delete(stop));
  }

  private loggerOf(member: string): Logger {
    const logAt =
      (level: LogLine['level']) =>
      (fields: object, message: string): void => {
        this.cluster.logged.push({ member, level, fields, message });
      };
    return {
      error: logAt('error'),
      warn: logAt('warn'),
      info: logAt('info'),
      debug: () => undefined,
    };
  }

  /** Decides the outcome of a request from one process to the store. */
  private storeOutcome(
    node: SimulatedController,
    processSignal: AbortSignal,
    method: string,
    path: string,
    body: unknown,
  ): RequestOutcome {
    if (processSignal.aborted) return 'refuse';
    const controllerOutcome = node.storeOutcome(method, path, body);
    const index = this.nodes.indexOf(node);
    return controllerOutcome === 'serve'
      ? this.cluster.faults.storeOutcome(index, method, path, body)
      : controllerOutcome;
  }

  private isDirectlyReachable(node: SimulatedController, worker: FakeWorker): boolean {
    return this.cluster.directCommandsEnabled && this.reaches(node, worker);
  }

  /** Whether a controller can reach a machine over the network. */
  reaches(node: SimulatedController, worker: FakeWorker): boolean {
    return !(this.apart && worker.yard !== this.zoneOf(node));
  }

  zoneOf(node: SimulatedController): string {
    return node.zone;
  }

  private zoneOfName(name: string): string | undefined {
    return this.nodes.find((node) => node.name === name)?.zone;
  }

  /** Freezes a controller; it handles messages that arrive meanwhile afterwards. */
  freeze(i: number, ms: number): void {
    this.nodes[i]!.frozenUntil = this.cluster.clock.now() + ms;
  }

  private async waitWhileFrozen(node: SimulatedController): Promise<void> {
    while (this.cluster.clock.now() < node.frozenUntil) {
      // One more millisecond: with rounding the sleep could have no length.
      await this.cluster.clock.sleep(node.frozenUntil - this.cluster.clock.now() + 1);
    }
  }

  /** Waits for the processing delay, and while the controller is frozen. */
  private async waitUntilResponsive(node: SimulatedController): Promise<void> {
    const delayMs = node.processingDelayMs();
    if (delayMs > 0) await this.cluster.clock.sleep(delayMs);
    await this.waitWhileFrozen(node);
  }

  private clockOf(node: SimulatedController): Clock {
    return {
      now: () => this.cluster.clock.now(),
      wall: () => this.cluster.clock.wall(),
      sleep: async (ms, signal) => {
        await this.cluster.clock.sleep(ms, signal);
        await this.waitUntilResponsive(node);
      },
    };
  }

  /**
   * Traces the requests and replies of a transport. A slow or frozen controller sees replies late.
   */
  private tracedTransport(
    boundary: 'store' | 'cloud',
    node: SimulatedController,
    link: Transport,
  ): Transport {
    return {
      request: async (...args) => {
        await this.waitWhileFrozen(node);
        const [method, path, body, timeoutMs] = args;
        this.cluster.onBoundaryCrossing(
          boundary,
          node.name,
          'request',
          method,
          path,
          body,
          timeoutMs,
        );
        try {
          const reply = await link.request(...args);
          this.cluster.onBoundaryCrossing(boundary, node.name, 'reply', method, path, reply);
          return reply;
        } finally {
          await this.waitUntilResponsive(node);
        }
      },
    };
  }

  /** Kills a controller: it hands nothing over. */
  crash(i: number): void {
    const node = this.nodes[i]!;
    node.storeOutcome = () => 'lose request';
    node.controller = null;
    this.cluster.peerNetwork.detach(node.name);
    node.stop.abort();
  }

  restart(i: number): void {
    this.nodes[i]!.storeOutcome = () => 'serve';
    this.boot(i);
  }

  /** Whether two controllers are in zones that are partitioned from each other now. */
  separated(from: string, to: string): boolean {
    return this.apart && this.zoneOfName(from) !== this.zoneOfName(to);
  }

  get leader(): number {
    const holder = this.cluster.store.get('leader') as { member: string } | undefined;
    return this.nodes.findIndex((node) => node.name === holder?.member);
  }

  /** Delivers a heartbeat, or a late copy of one, to a controller and returns the response. */
  async deliver(node: number, report: object): Promise<ReportResponse> {
    const { controller, program } = this.nodes[node]!;
    await this.waitUntilResponsive(this.nodes[node]!);
    const { yard } = report as { yard: string };
    const unreachable = this.apart && yard !== this.zoneOf(this.nodes[node]!);
    const open = this.nodes[node]!.reachableByWorkers && !unreachable;
    await this.cluster.clock.sleep(1);
    if (!controller || !open) {
      if (!open) await this.cluster.clock.sleep(5000);
      throw new Error('no connection');
    }
    const answer = await program.answerReport(controller, JSON.parse(JSON.stringify(report)));
    assert.notEqual(answer.status, 400);
    this.cluster.onBoundaryCrossing('worker', this.nodes[node]!.name, report, answer);
    await this.cluster.clock.sleep(1 + this.nodes[node]!.responseDelayMs);
    return answer;
  }
}
