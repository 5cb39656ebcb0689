import assert from 'node:assert/strict';
import type { ApiResponse } from '../../src/jobs/job-api.js';
import type { Settings, Team } from '../../src/settings/deploy.js';
import { FakeClock } from './clock.js';
import { FakeCloud } from './cloud.js';
import { SimulatedControllers, type LogLine, type SimulatedController } from './controllers.js';
import { JobFactory, type JobTemplate } from './job-factory.js';
import { SimulatedMachines, observeMachine } from './machines.js';
import { FakePeerNetwork } from './peer-network.js';
import { RETRY_FOR_MS, PersistentUsers } from './persistent-users.js';
import { SeededRandom } from './random.js';
import { RuleChecker } from './rule-checker.js';
import { sampleShape, type DeploymentShape } from './deployment-shape.js';
import { scaledTeams } from './sample-settings.js';
import { FakeStore } from './store.js';
import { Faults } from './faults.js';
import { Users } from './users.js';
import type { ReportResponse, FakeWorker, FakeTask } from './worker.js';

export type { LogLine, SimulatedController } from './controllers.js';
export type { JobTemplate } from './job-factory.js';
export { fakeRandom } from './random.js';
export { settings, SETTINGS } from './sample-settings.js';

/** How many violations the error of a failed scenario lists. */
const MAX_REPORTED_VIOLATIONS = 6;

const FINAL_PHASES = ['done', 'withdrawn'];

/** The other party in a message of a controller. */
export type Boundary = 'store' | 'cloud' | 'worker' | 'command' | 'peer' | 'user' | 'operator';

type Capacity = { cpus: number; gpus: number; memoryGb: number };

export interface MachineTemplate {
  yard: string;
  spot?: boolean;
  hull?: string;
}

/** A simulated fleet with its controllers; checks the rules at every step of a scenario. */
export class SimulatedCluster {
  readonly clock = new FakeClock();
  readonly store = new FakeStore(this.clock);
  readonly cloud = new FakeCloud(this.clock, (id) => this.kill(id));
  readonly peerNetwork = new FakePeerNetwork(this.clock, (from, to) =>
    this.arePartitioned(from, to),
  );
  readonly controllers: SimulatedControllers;
  readonly machines = new SimulatedMachines(this);
  readonly jobFactory = new JobFactory();
  /** All task starts, as `job/task`. */
  readonly starts: string[] = [];
  /** The controllers' log lines, without those of level debug. */
  readonly logged: LogLine[] = [];
  /** Starts before the stored phase of all dependencies was `done`; stricter than the rules. */
  readonly prematureStarts: string[] = [];
  /** The submissions that were accepted, by job id. */
  readonly accepted = new Map<string, object>();
  readonly random: SeededRandom;
  /** The deployment settings of this cluster. */
  readonly shape: DeploymentShape;
  /** The teams in the settings of controllers that start from now on. */
  teams: ReadonlyMap<string, Team>;
  /** The limit of each team that the checker applies. */
  readonly teamLimits = new Map<string, { cpus: number; gpus: number }>();
  readonly checker: RuleChecker;
  readonly users: Users;
  private readonly persistentUsers: PersistentUsers;
  readonly faults: Faults;
  /** Whether all faults are over and no more work is to be submitted. */
  settling = false;
  /** Called when a task has completed. */
  onDone: (piece: FakeTask) => void = () => undefined;
  /** Called when a running task is told to stop. */
  onStopped: (worker: FakeWorker, piece: FakeTask) => void = () => undefined;
  /** Called for each message that a controller sends or receives; see `behavior-trace.ts`. */
  onBoundaryCrossing: (boundary: Boundary, ...what: unknown[]) => void = () => undefined;
  /** Further callbacks that run whenever the rules are checked. */
  readonly observers = new Set<() => void>();
  /** Whether users come through a load balancer that avoids unhealthy controllers. */
  useLoadBalancer = false;
  /** Whether direct commands can reach workers. */
  directCommandsEnabled = true;
  private readonly closed = new AbortController();

  constructor(
    machines: MachineTemplate[],
    controllers: 2 | 3 | DeploymentShape = 2,
    readonly seed = 0,
    /** Store settings that differ from the sample. */
    state: Partial<Settings['state']> = {},
    /** The factor by which the sample's guarantees and limits are scaled. */
    teamScale = 1,
  ) {
    this.teams = scaledTeams(teamScale);
    this.random = new SeededRandom(seed);
    for (const machine of machines)
      this.cloud.add(machine.yard, 0, machine.spot ?? false, machine.hull);
    this.shape = typeof controllers === 'number' ? sampleShape(controllers, state) : controllers;
    this.controllers = new SimulatedControllers(this, this.shape);
    this.cloud.offerUsualTypeIn(this.shape.zones);
    for (const [name, { limit }] of this.teams) this.teamLimits.set(name, limit);
    this.checker = new RuleChecker({
      fleet: { types: this.types(), teams: this.teamLimits },
      cancelMs: this.shape.workers.cancelMs,
      now: () => this.clock.now(),
      machines: (onlyOccupied) => this.machines.observe(onlyOccupied),
    });
    this.users = new Users(this.clock, this.checker, (i) => this.controllers.endpoint(i));
    this.users.onExchange = (...what) => this.onBoundaryCrossing('user', ...what);
    this.peerNetwork.onSend = (...what) => this.onBoundaryCrossing('peer', ...what);
    this.persistentUsers = new PersistentUsers(this, this.closed.signal);
    this.faults = new Faults(this);
  }

  private types(): Map<string, { room: Capacity; zones: string[] }> {
    const types = new Map<string, { room: Capacity; zones: string[] }>();
    for (const hull of this.cloud.hulls) {
      const room = { cpus: hull.vcpus, gpus: hull.gpus, memoryGb: hull.memoryGb };
      types.set(hull.sku, { room, zones: hull.yards });
    }
    return types;
  }

  /** The user API of one controller; the checker sees all requests and answers. */
  user(node: number): ReturnType<Users['at']> {
    return this.users.at(node);
  }

  async start(): Promise<void> {
    for (let i = 0; i < this.nodes.length; i++) this.boot(i);
    void this.machines.bootWorkers(this.closed.signal);
    await this.advance(6);
  }

  async close(): Promise<void> {
    this.checker.check();
    for (const node of this.nodes) node.stop.abort();
    this.closed.abort();
    await this.clock.advance(100);
    const violations = this.checker.violations.map(
      (violation) => `${violation.at / 1000} s: ${violation.rule}: ${violation.what}`,
    );
    assert.deepEqual(violations.slice(0, MAX_REPORTED_VIOLATIONS), []);
    assert.deepEqual(this.prematureStarts, []);
    assert.equal(
      this.controllers.liveProcesses.size,
      0,
      'every controller ends when it is stopped',
    );
  }

  // ---- controllers

  get nodes(): SimulatedController[] {
    return this.controllers.nodes;
  }

  /** The index of the leader; -1 if there is none. */
  get leader(): number {
    return this.controllers.leader;
  }

  boot(i: number): void {
    this.controllers.boot(i);
  }

  /** Freezes a controller; it handles messages that arrive meanwhile afterwards. */
  freeze(i: number, ms: number): void {
    this.controllers.freeze(i, ms);
  }

  /** Kills a controller: it hands nothing over. */
  crash(i: number): void {
    this.controllers.crash(i);
  }

  restart(i: number): void {
    this.controllers.restart(i);
  }

  /** Restarts all controllers that are down in these zones, by default in all. */
  restartAll(zones: readonly string[] = this.shape.zones): void {
    for (const [i, node] of this.nodes.entries()) {
      if (!node.controller && zones.includes(this.zoneOf(node))) this.restart(i);
    }
  }

  /** Waits until a controller other than the former leader leads. */
  untilAnotherLeads(former: number, seconds: number): Promise<void> {
    const leads = (): boolean => this.leader >= 0 && this.leader !== former;
    return this.until(leads, seconds, 'another controller leads');
  }

  /** Partitions the zones from each other or heals the partition; all still reach the store. */
  setPartitioned(apart: boolean): void {
    this.controllers.apart = apart;
  }

  /** Whether two controllers are in zones that are partitioned from each other now. */
  arePartitioned(from: string, to: string): boolean {
    return this.controllers.separated(from, to);
  }

  zoneOf(node: SimulatedController): string {
    return this.controllers.zoneOf(node);
  }

  /** Delivers a heartbeat, or a late copy of one, to a controller and returns the response. */
  deliver(node: number, report: object): Promise<ReportResponse> {
    return this.controllers.deliver(node, report);
  }

  // ---- machines

  get workers(): Map<string, FakeWorker> {
    return this.machines.workers;
  }

  /** Tasks that workers already have when they start, by machine. */
  get initialTasks(): Map<string, FakeTask[]> {
    return this.machines.initialTasks;
  }

  /** The live machines with unfinished tasks of a job. */
  machinesWith(ref: string): FakeWorker[] {
    return this.machines.machinesWith(ref);
  }

  /** The unfinished tasks of a job on live machines. */
  tasksOf(ref: string): FakeTask[] {
    return this.machines.tasksOf(ref);
  }

  running(ref: string): number {
    return this.machines.running(ref);
  }

  kill(id: string): void {
    this.machines.kill(id);
  }

  /** Called when a task starts on a machine, that is, has its image. */
  onMachine(worker: FakeWorker, piece: FakeTask): void {
    const name = `${piece.job}/${piece.task}`;
    this.starts.push(name);
    for (const needed of this.jobFactory.needs.get(piece.job)!) {
      if (this.storedPhase(needed) !== 'done')
        this.prematureStarts.push(`too_early ${name}, needs ${needed}`);
    }
    this.checker.started(observeMachine(worker), piece.job, piece.task);
  }

  // ---- time

  /** Advances the time by `seconds`, with a check every 250 ms. */
  async advance(seconds: number): Promise<void> {
    for (let i = 0; i < seconds * 4; i++) {
      await this.clock.advance(250);
      this.check();
    }
  }

  async until(condition: () => boolean, seconds: number, name: string): Promise<void> {
    for (let i = 0; i < seconds * 4; i++) {
      if (condition()) return;
      await this.clock.advance(250);
      this.check();
    }
    assert.ok(condition(), `${name}: not within ${seconds} s`);
  }

  /** Advances the time until a response arrives, for at most 6 s. */
  async ask(pending: Promise<ApiResponse>): Promise<ApiResponse> {
    let response: ApiResponse | null = null;
    void pending.then((a) => (response = a));
    await this.until(() => response !== null, 6, 'answer');
    return response!;
  }

  /** Advances the time until a promise settles. */
  async drive<T>(promise: Promise<T>): Promise<T> {
    let ended = false;
    const markEnded = (): void => void (ended = true);
    promise.then(markEnded, markEnded);
    await this.until(() => ended, (RETRY_FOR_MS + 10_000) / 1000, 'answer');
    return promise;
  }

  // ---- jobs and their users

  get facts(): JobFactory['facts'] {
    return this.jobFactory.facts;
  }

  createSubmission(template: JobTemplate): { ref: string; body: object } {
    return this.jobFactory.create(template);
  }

  async submit(template: JobTemplate, node = 0): Promise<string> {
    const { ref, body } = this.createSubmission(template);
    const answer = await this.ask(this.user(node).submit(body));
    assert.equal(answer.status, 201);
    this.accepted.set(ref, body);
    return ref;
  }

  /** Submits at any node until the job is accepted; time passes meanwhile. */
  accept(template: JobTemplate): Promise<string> {
    return this.drive(this.acceptInBackground(template));
  }

  /** Cancels at any node, or at the given one, until confirmed; time passes meanwhile. */
  cancel(ref: string, node?: number): Promise<string> {
    return this.drive(this.cancelInBackground(ref, node));
  }

  /** Like `accept`, but the caller advances the time. */
  acceptInBackground(template: JobTemplate): Promise<string> {
    return this.persistentUsers.submitUntilAccepted(template);
  }

  /** Like `accepting`, for a submission that was created before. */
  acceptSubmissionInBackground(submission: { ref: string; body: object }): Promise<string> {
    return this.persistentUsers.submitCreatedUntilAccepted(submission);
  }

  /** Like `cancel`, but the caller advances the time; returns the phase in the response. */
  cancelInBackground(ref: string, node?: number): Promise<string> {
    return this.persistentUsers.cancelUntilConfirmed(ref, node);
  }

  /** Queries a job at all nodes, and submits it again, several times within milliseconds. */
  queryEverywhere(ref: string): Promise<void> {
    return this.persistentUsers.queryEverywhere(ref);
  }

  /** Keeps querying random jobs at random nodes, and sometimes submits one again. */
  startQueries(everyMs = 1500): Promise<void> {
    return this.persistentUsers.keepAsking(everyMs);
  }

  /** Ends all faults; every accepted job must then be done, cancelled or a running service. */
  async waitUntilSettled(seconds = 100): Promise<void> {
    this.settling = true;
    this.faults.endAll();
    // A request that is still being retried may change a job, so it is waited for as well.
    const settled = (): boolean =>
      !this.persistentUsers.busy && [...this.accepted.keys()].every((ref) => this.isSettled(ref));
    await this.until(settled, seconds, 'all jobs are done, cancelled or running services');
    // Users can expect a job's final phase 3 s after its last task.
    await this.advance(4);
    const checks = [...this.accepted.keys()].map(async (ref) => {
      const answers = this.nodes.map((_node, i) => this.user(i).query(ref));
      const phases = (await Promise.all(answers)).map((a) => (a.body as { phase?: string }).phase);
      const expected =
        this.facts.get(ref)!.shape === 'service' ? ['running', 'withdrawn'] : FINAL_PHASES;
      assert.equal(new Set(phases).size, 1, `${ref}: ${phases.join()}`);
      assert.ok(expected.includes(phases[0] ?? ''), `${ref}: ${phases.join()}`);
    });
    await this.drive(Promise.all(checks));
  }

  private isSettled(ref: string): boolean {
    const { shape, pieces } = this.facts.get(ref)!;
    const record = this.store.get(`jobs/${ref}`) as { phase: string } | undefined;
    if (record?.phase === 'cancelled') return this.tasksOf(ref).length === 0;
    return shape === 'service' ? this.running(ref) === pieces : record?.phase === 'done';
  }

  async phase(ref: string, node = 0): Promise<string> {
    const answer = await this.ask(this.user(node).query(ref));
    return answer.status === 200 ? (answer.body as { phase: string }).phase : String(answer.status);
  }

  /** Stores a job that was done before the scenario started. */
  addDoneJob(ref: string): void {
    this.store.write(`jobs/${ref}`, { w: 'w', phase: 'done', tasks: 1 });
    this.checker.doneBefore(ref);
  }

  /** The phase in a job's record. */
  storedPhase(ref: string): string | undefined {
    return (this.store.get(`jobs/${ref}`) as { phase: string } | undefined)?.phase;
  }

  private check(): void {
    this.checker.check();
    for (const observe of this.observers) observe();
  }
}
