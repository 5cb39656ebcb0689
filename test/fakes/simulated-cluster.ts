import assert from 'node:assert/strict';
import type { ApiResponse } from '../../src/jobs/job-api.js';
import type { Settings, Team } from '../../src/settings/deploy.js';
import { FakeClock } from './clock.js';
import { FakeCloud } from './cloud.js';
import { SimulatedControllers, type LogLine, type SimulatedController } from './controllers.js';
import { JobFactory, type JobTemplate } from './job-factory.js';
import { SimulatedMachines, observeMachine } from './machines.js';
import { FakePeerNetwork } from './peer-transport.js';
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

/** How many broken rules a failed scenario tells of. */
const MAX_REPORTED_VIOLATIONS = 6;

const FINAL_PHASES = ['done', 'withdrawn'];

/** Between a controller and whom something passes. */
export type Boundary = 'store' | 'cloud' | 'worker' | 'command' | 'peer' | 'user' | 'operator';

type Capacity = { cpus: number; gpus: number; memoryGb: number };

export interface MachineTemplate {
  yard: string;
  spot?: boolean;
  hull?: string;
}

/** A small fleet with two or three controllers; it checks the rules at every step of every scenario. */
export class SimulatedCluster {
  readonly clock = new FakeClock();
  readonly store = new FakeStore(this.clock);
  readonly cloud = new FakeCloud(this.clock, (id) => this.kill(id));
  readonly wire = new FakePeerNetwork(this.clock, (from, to) => this.separated(from, to));
  readonly controllers: SimulatedControllers;
  readonly machines = new SimulatedMachines(this);
  readonly wishes = new JobFactory();
  readonly starts: string[] = [];
  /** What the controllers logged, without what is for debugging. */
  readonly logged: LogLine[] = [];
  /** Starts before the records of the jobs that they need say `done`: more than the rules ask. */
  readonly broken: string[] = [];
  /** The submissions that users were told are accepted. */
  readonly accepted = new Map<string, object>();
  readonly random: SeededRandom;
  /** The controllers, zones and timing of the deployment. */
  readonly shape: DeploymentShape;
  /** What the settings say of the teams, of controllers that start from now on. */
  teams: ReadonlyMap<string, Team>;
  /** What each team may use at most, as the checker judges it. */
  readonly teamLimits = new Map<string, { cpus: number; gpus: number }>();
  readonly checker: RuleChecker;
  readonly users: Users;
  private readonly persistentUsers: PersistentUsers;
  readonly faults: Faults;
  /** All faults are over, and no more work is submitted. */
  settling = false;
  /** A task has just completed. */
  onDone: (piece: FakeTask) => void = () => undefined;
  /** A task that ran has just been told to stop. */
  onStopped: (worker: FakeWorker, piece: FakeTask) => void = () => undefined;
  /** Something has just crossed the border of a controller; see `behavior-trace.ts`. */
  onBoundaryCrossing: (border: Boundary, ...what: unknown[]) => void = () => undefined;
  /** What else is looked at whenever the rules are checked. */
  readonly observers = new Set<() => void>();
  /** Users come through the load balancer, which avoids controllers that fail its probes. */
  balanced = false;
  /** Whether commands reach the workers' own addresses. */
  directOpen = true;
  private readonly closed = new AbortController();

  constructor(
    machines: MachineTemplate[],
    controllers: 2 | 3 | DeploymentShape = 2,
    readonly seed = 0,
    /** What the settings say of the store, where it differs from the sample. */
    state: Partial<Settings['state']> = {},
    /** How many times as much as in the sample the teams are guaranteed and may use. */
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
      machines: () => this.machines.seen(),
    });
    this.users = new Users(this.clock, this.checker, (i) => this.controllers.endpoint(i));
    this.users.onExchange = (...what) => this.onBoundaryCrossing('user', ...what);
    this.wire.onSend = (...what) => this.onBoundaryCrossing('peer', ...what);
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

  /** The users' interface of one controller; all that is said there is checked. */
  user(node: number): ReturnType<Users['at']> {
    return this.users.at(node);
  }

  async start(): Promise<void> {
    for (let i = 0; i < this.nodes.length; i++) this.boot(i);
    void this.machines.bootWorkers(this.closed.signal);
    await this.pass(6);
  }

  async close(): Promise<void> {
    this.checker.check();
    for (const node of this.nodes) node.stop.abort();
    this.closed.abort();
    await this.clock.advance(100);
    const broken = this.checker.violations.map(
      (violation) => `${violation.at / 1000} s: ${violation.rule}: ${violation.what}`,
    );
    assert.deepEqual(broken.slice(0, MAX_REPORTED_VIOLATIONS), []);
    assert.deepEqual(this.broken, []);
    assert.equal(
      this.controllers.liveProcesses.size,
      0,
      'every controller ends when it is told to',
    );
  }

  // ---- controllers

  get nodes(): SimulatedController[] {
    return this.controllers.nodes;
  }

  /** The number of the leader; -1: there is none. */
  get leader(): number {
    return this.controllers.leader;
  }

  boot(i: number): void {
    this.controllers.boot(i);
  }

  /** It stands still from now on: what comes to it meanwhile it sees afterwards. */
  freeze(i: number, ms: number): void {
    this.controllers.freeze(i, ms);
  }

  /** Ends a controller as a kill would: nothing is handed over. */
  crash(i: number): void {
    this.controllers.crash(i);
  }

  restart(i: number): void {
    this.controllers.restart(i);
  }

  /** Restarts all controllers that are down, or those of them that are in one of these zones. */
  restartAll(zones: readonly string[] = this.shape.zones): void {
    for (const [i, node] of this.nodes.entries()) {
      if (!node.controller && zones.includes(this.zoneOf(node))) this.restart(i);
    }
  }

  /** Waits until another controller than the former leader leads. */
  anotherLeads(former: number, seconds: number): Promise<void> {
    const leads = (): boolean => this.leader >= 0 && this.leader !== former;
    return this.until(leads, seconds, 'another leads');
  }

  /** Whether the zones cannot reach each other from now on; both reach the store. */
  split(apart: boolean): void {
    this.controllers.apart = apart;
  }

  /** Whether two controllers are in zones that cannot reach each other now. */
  separated(from: string, to: string): boolean {
    return this.controllers.separated(from, to);
  }

  zoneOf(node: SimulatedController): string {
    return this.controllers.zoneOf(node);
  }

  /** A heartbeat's way to a controller; also for copies that come late. */
  deliver(node: number, report: object): Promise<ReportResponse> {
    return this.controllers.deliver(node, report);
  }

  // ---- machines

  get workers(): Map<string, FakeWorker> {
    return this.machines.workers;
  }

  /** What runs on workers from the beginning, by machine. */
  get onWorkers(): Map<string, FakeTask[]> {
    return this.machines.initialTasks;
  }

  /** The machines that hold tasks of a job. */
  holding(ref: string): FakeWorker[] {
    return this.machines.machinesWith(ref);
  }

  /** The tasks of a job that are on machines now. */
  on(ref: string): FakeTask[] {
    return this.machines.tasksOf(ref);
  }

  running(ref: string): number {
    return this.machines.running(ref);
  }

  kill(id: string): void {
    this.machines.kill(id);
  }

  /** A task begins on a machine. */
  onMachine(worker: FakeWorker, piece: FakeTask): void {
    const name = `${piece.job}/${piece.task}`;
    this.starts.push(name);
    for (const needed of this.wishes.needs.get(piece.job)!) {
      if (this.stored(needed) !== 'done') this.broken.push(`too_early ${name}, needs ${needed}`);
    }
    this.checker.started(observeMachine(worker), piece.job, piece.task);
  }

  // ---- time

  /** Lets seconds pass. */
  async pass(seconds: number): Promise<void> {
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

  /** An answer of one node, with time passing until it comes. */
  async ask(answer: Promise<ApiResponse>): Promise<ApiResponse> {
    let got: ApiResponse | null = null;
    void answer.then((a) => (got = a));
    await this.until(() => got !== null, 6, 'answer');
    return got!;
  }

  /** Lets time pass until something in the background has come about. */
  async drive<T>(promise: Promise<T>): Promise<T> {
    let ended = false;
    const markEnded = (): void => void (ended = true);
    promise.then(markEnded, markEnded);
    await this.until(() => ended, (RETRY_FOR_MS + 10_000) / 1000, 'answer');
    return promise;
  }

  // ---- jobs and their users

  get facts(): JobFactory['facts'] {
    return this.wishes.facts;
  }

  wish(template: JobTemplate): { ref: string; body: object } {
    return this.wishes.create(template);
  }

  async submit(template: JobTemplate, node = 0): Promise<string> {
    const { ref, body } = this.wish(template);
    const answer = await this.ask(this.user(node).submit(body));
    assert.equal(answer.status, 201);
    this.accepted.set(ref, body);
    return ref;
  }

  /** A user submits at any node, and again, until the job is accepted; time passes meanwhile. */
  accept(template: JobTemplate): Promise<string> {
    return this.drive(this.accepting(template));
  }

  /** A user cancels at any node, or at one node only, until it is confirmed; time passes meanwhile. */
  cancel(ref: string, node?: number): Promise<string> {
    return this.drive(this.cancelling(ref, node));
  }

  /** The same in the background of a scenario. */
  accepting(template: JobTemplate): Promise<string> {
    return this.persistentUsers.submitUntilAccepted(template);
  }

  /** The same of a job that was wished for before. */
  acceptingWished(wished: { ref: string; body: object }): Promise<string> {
    return this.persistentUsers.submitCreatedUntilAccepted(wished);
  }

  /** The same in the background of a scenario; answers what the job is called then. */
  cancelling(ref: string, node?: number): Promise<string> {
    return this.persistentUsers.cancelUntilConfirmed(ref, node);
  }

  /** Users ask at all nodes for a job, and submit it again, within milliseconds. */
  queryEverywhere(ref: string): Promise<void> {
    return this.persistentUsers.queryEverywhere(ref);
  }

  /** Users go on asking for jobs, at any node, and now and then submit one again. */
  keepAsking(everyMs = 1500): Promise<void> {
    return this.persistentUsers.keepAsking(everyMs);
  }

  /** All faults are over: whatever was accepted ends, or runs as a service, or is cancelled. */
  async settle(seconds = 100): Promise<void> {
    this.settling = true;
    this.faults.over();
    // A request that is still being repeated may change what has to end: it is waited for as well.
    const settled = (): boolean =>
      !this.persistentUsers.busy && [...this.accepted.keys()].every((ref) => this.isSettled(ref));
    await this.until(settled, seconds, 'all jobs end or run');
    // Users expect a job's last state from 3 s after its last task.
    await this.pass(4);
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
    if (record?.phase === 'cancelled') return this.on(ref).length === 0;
    return shape === 'service' ? this.running(ref) === pieces : record?.phase === 'done';
  }

  async phase(ref: string, node = 0): Promise<string> {
    const answer = await this.ask(this.user(node).query(ref));
    return answer.status === 200 ? (answer.body as { phase: string }).phase : String(answer.status);
  }

  /** Puts a job into the store that was done before the scenario began. */
  doneBefore(ref: string): void {
    this.store.write(`jobs/${ref}`, { w: 'w', phase: 'done', tasks: 1 });
    this.checker.doneBefore(ref);
  }

  /** The phase that a job's record says. */
  stored(ref: string): string | undefined {
    return (this.store.get(`jobs/${ref}`) as { phase: string } | undefined)?.phase;
  }

  private check(): void {
    this.checker.check();
    for (const observe of this.observers) observe();
  }
}
