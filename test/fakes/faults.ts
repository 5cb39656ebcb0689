import type { PeerMessage } from '../../src/peer/frames.js';
import type { Fate } from './store.js';
import type { FakeWorker } from './worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

type DirectCommand = Parameters<FakeWorker['direct']>[0];

/** When copies of heartbeats arrive again: from 2 s to well over a lease later. */
const COPY_DELAY_MS = [2000, 18_000] as const;
/** When transactions without an answer are carried out. */
const WRITE_DELAY_MS = [2000, 12_000] as const;
/** For how long direct commands are held up. */
const COMMAND_DELAY_MS = [2000, 16_000] as const;
/** The pauses after a leader became leader between which heartbeats kept for it arrive. */
const REPLAY_PAUSES_MS = [5, 10, 10, 20, 40, 100, 300];

/** What a share of something meets; 0: none of it. */
interface FaultShares {
  /** Transactions that get no answer and are carried out seconds later. */
  lateWrites: number;
  /** Transactions that are carried out at once and whose answers are lost. */
  lostAnswers: number;
  /** Reports of which a copy arrives again later. */
  lateReports: number;
  /** Reports of which a copy is kept for the next leader. */
  reportsForNext: number;
  /** Direct commands that are held up, unanswered, and carried out once. */
  lateCommands: number;
}

/** A request of a controller to the store. */
export interface StoreRequest {
  node: number;
  method: string;
  path: string;
  body: unknown;
}

/**
 * The faults that scenarios are told in. All of them begin when they are called and last until
 * `over`, unless they say for how long.
 */
export class Faults {
  readonly share: FaultShares = {
    lateWrites: 0,
    lostAnswers: 0,
    lateReports: 0,
    reportsForNext: 0,
    lateCommands: 0,
  };
  /** Copies of reports go to all controllers, not only to where the report went. */
  copiesEverywhere = false;
  private keptReports: object[] = [];
  /** What else may become of requests to the store; the first that is not `serve` counts. */
  readonly storeFaults = new Set<(request: StoreRequest) => Fate>();

  constructor(private readonly cluster: SimulatedCluster) {
    cluster.store.onWrite = (key) => {
      if (key === 'leader') void this.replayToNewLeader();
    };
  }

  // ---- the state service

  /** It is down for everybody. */
  outage(): void {
    this.cluster.store.down = true;
  }

  /** It serves again after an outage. */
  outageOver(): void {
    this.cluster.store.restore();
  }

  /** It refuses one controller alone. */
  refuse(node: number): void {
    this.cluster.nodes[node]!.fate = () => 'refuse';
  }

  serve(node: number): void {
    this.cluster.nodes[node]!.fate = () => 'serve';
  }

  /** The fate of a request that nothing else has decided. */
  storeOutcome(node: number, method: string, path: string, body: unknown): Fate {
    for (const fault of this.storeFaults) {
      const outcome = fault({ node, method, path, body });
      if (outcome !== 'serve') return outcome;
    }
    if (path !== '/txn') return 'serve';
    const { random } = this.cluster;
    const { lateWrites, lostAnswers } = this.share;
    if (lateWrites > 0 && random.next() < lateWrites) {
      return { applyAfterMs: random.between(...WRITE_DELAY_MS) };
    }
    return lostAnswers > 0 && random.next() < lostAnswers ? 'lose answer' : 'serve';
  }

  // ---- controllers

  /** A controller loses the store and the other controllers, not its workers and users. */
  isolate(node: number): void {
    this.refuse(node);
    this.cluster.wire.cut.add(this.cluster.nodes[node]!.name);
  }

  /** It reaches all again. */
  rejoin(node: number): void {
    this.serve(node);
    this.cluster.wire.cut.delete(this.cluster.nodes[node]!.name);
  }

  /** Controllers refuse each other's connections. */
  refusePeers(): void {
    for (const node of this.cluster.nodes) this.cluster.wire.cut.add(node.name);
  }

  /** Messages of these kinds get lost between controllers. */
  loseMessages(...kinds: PeerMessage['kind'][]): void {
    this.cluster.wire.loses = (_from, _to, message) => kinds.includes(message.kind);
  }

  /** A controller's answers to users and workers are held up. */
  holdAnswers(node: number, ms: number): void {
    this.cluster.nodes[node]!.heldMs = ms;
  }

  /** A controller ends and comes back after so many seconds. */
  async restart(node: number, afterS: number): Promise<void> {
    this.cluster.crash(node);
    await this.cluster.pass(afterS);
    this.cluster.restart(node);
  }

  /** All controllers end at once and come back after so many seconds. */
  async restartAll(afterS: number): Promise<void> {
    for (const [i] of this.cluster.nodes.entries()) this.cluster.crash(i);
    await this.cluster.pass(afterS);
    for (const [i] of this.cluster.nodes.entries()) this.cluster.restart(i);
  }

  /** The leader ends and comes back a little later; answers which it was. */
  async endLeader(backAfterS: number): Promise<number> {
    const { leader } = this.cluster;
    if (leader >= 0) await this.restart(leader, backAfterS);
    return leader;
  }

  // ---- machines

  /** Machines hang, and go on after so many seconds. */
  hang(workers: FakeWorker[], seconds: number): void {
    for (const worker of workers) worker.hung = true;
    void this.cluster.clock.sleep(seconds * 1000).then(() => {
      for (const worker of workers) worker.hung = false;
    });
  }

  /** Machines reach nobody and nobody reaches them. */
  cutOff(workers: FakeWorker[]): void {
    for (const worker of workers) worker.mute = worker.deaf = true;
  }

  /** The reports of these machines arrive; answers and direct commands get lost. */
  deafen(workers: FakeWorker[]): void {
    for (const worker of workers) worker.deaf = true;
  }

  /** These machines reach no controller, while direct commands reach them. */
  mute(workers: FakeWorker[]): void {
    for (const worker of workers) worker.mute = true;
  }

  /** A direct command's way to a worker; null: no answer. */
  async direct(
    worker: FakeWorker,
    command: DirectCommand,
    timeoutMs: number,
  ): Promise<ReturnType<FakeWorker['direct']>> {
    const { clock, random } = this.cluster;
    if (this.share.lateCommands === 0 || random.next() >= this.share.lateCommands) {
      return worker.direct(command);
    }
    void clock.sleep(random.between(...COMMAND_DELAY_MS)).then(() => worker.direct(command));
    await clock.sleep(timeoutMs);
    return null;
  }

  // ---- reports that come again

  /** Makes the copies of a heartbeat that has just been sent. */
  copyReport(node: number, report: object): void {
    const { lateReports, reportsForNext } = this.share;
    const { clock, random } = this.cluster;
    if (reportsForNext > 0 && random.next() < reportsForNext)
      this.keptReports.push(structuredClone(report));
    if (lateReports === 0 || random.next() >= lateReports) return;
    const copy = structuredClone(report);
    void clock.sleep(random.between(...COPY_DELAY_MS)).then(() => {
      if (this.copiesEverywhere) this.everywhere(copy);
      else this.deliver(node, copy);
    });
  }

  /** A copy of a heartbeat reaches every controller now. */
  everywhere(report: object): void {
    for (const [i] of this.cluster.nodes.entries()) this.deliver(i, report);
  }

  private deliver(node: number, report: object): void {
    void this.cluster.deliver(node, report).catch(() => undefined);
  }

  /** What was kept arrives, the oldest first, again and again while the leader finds its way. */
  private async replayToNewLeader(): Promise<void> {
    const kept = this.keptReports.splice(0);
    for (const ms of REPLAY_PAUSES_MS) {
      await this.cluster.clock.sleep(ms);
      for (const report of kept) this.everywhere(report);
    }
  }

  /** Keeps copies of reports for the next leader, which gets them first of all. */
  keepForNext(reports: object[]): void {
    this.keptReports.push(...reports);
  }

  // ---- the end of all faults

  /** Everything is as it should be again; what has been sent may still arrive. */
  over(): void {
    const { cluster } = this;
    if (cluster.store.down) cluster.store.restore();
    cluster.store.slowMs = 0;
    cluster.split(false);
    cluster.directOpen = true;
    cluster.wire.cut.clear();
    cluster.wire.loses = () => false;
    cluster.cloud.unlisted.clear();
    cluster.cloud.down = false;
    this.storeFaults.clear();
    this.copiesEverywhere = false;
    for (const name of Object.keys(this.share) as (keyof FaultShares)[]) this.share[name] = 0;
    for (const [i, node] of cluster.nodes.entries()) {
      node.open = node.usersOpen = true;
      node.heldMs = 0;
      node.processingDelayMs = () => 0;
      if (!node.controller) cluster.restart(i);
      else node.fate = () => 'serve';
    }
    for (const worker of cluster.workers.values()) worker.hung = worker.deaf = worker.mute = false;
    cluster.checker.calm();
  }
}
