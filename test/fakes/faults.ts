import type { PeerMessage } from '../../src/peer/frames.js';
import type { RequestOutcome } from './store.js';
import type { FakeWorker } from './worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

type DirectCommand = Parameters<FakeWorker['direct']>[0];

/** The delay of copies of heartbeats: from 2 s to well over a lease. */
const COPY_DELAY_MS = [2000, 18_000] as const;
/** The delay after which late transactions are applied. */
const WRITE_DELAY_MS = [2000, 12_000] as const;
/** The delay of late direct commands. */
const COMMAND_DELAY_MS = [2000, 16_000] as const;
/** The pauses between the replays of kept heartbeats to a new leader. */
const REPLAY_PAUSES_MS = [5, 10, 10, 20, 40, 100, 300];

/** The fraction of requests that each fault affects; 0 means none. */
interface FaultShares {
  /** Transactions that get no response and are applied seconds later. */
  lateWrites: number;
  /** Transactions that are applied at once and whose responses are lost. */
  lostAnswers: number;
  /** Heartbeats of which a copy arrives later. */
  lateReports: number;
  /** Heartbeats of which a copy is kept for the next leader. */
  reportsForNext: number;
  /** Direct commands that get no response and are executed once, later. */
  lateCommands: number;
}

/** A request from a controller to the store. */
export interface StoreRequest {
  node: number;
  method: string;
  path: string;
  body: unknown;
}

/**
 * The faults that scenarios inject. Each starts when its method is called and lasts until `over`,
 * unless the method takes a duration.
 */
export class Faults {
  readonly share: FaultShares = {
    lateWrites: 0,
    lostAnswers: 0,
    lateReports: 0,
    reportsForNext: 0,
    lateCommands: 0,
  };
  /** Sends late copies of heartbeats to all controllers, not only to the first receiver. */
  copyToAllControllers = false;
  private keptReports: object[] = [];
  /** Further faults of store requests; the first result other than `serve` applies. */
  readonly storeFaults = new Set<(request: StoreRequest) => RequestOutcome>();

  constructor(private readonly cluster: SimulatedCluster) {
    cluster.store.onWrite = (key) => {
      if (key === 'leader') void this.replayToNewLeader();
    };
  }

  // ---- the state service

  /** Makes the store unavailable to all controllers. */
  startStoreOutage(): void {
    this.cluster.store.down = true;
  }

  /** Ends a store outage. */
  endStoreOutage(): void {
    this.cluster.store.restore();
  }

  /** Makes the store refuse the requests of one controller. */
  refuse(node: number): void {
    this.cluster.nodes[node]!.storeOutcome = () => 'refuse';
  }

  serve(node: number): void {
    this.cluster.nodes[node]!.storeOutcome = () => 'serve';
  }

  /** The outcome of a store request for which the controller has no fault of its own. */
  storeOutcome(node: number, method: string, path: string, body: unknown): RequestOutcome {
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

  /** Cuts a controller off from the store and its peers, not from workers and users. */
  isolate(node: number): void {
    this.refuse(node);
    this.cluster.peerNetwork.disconnected.add(this.cluster.nodes[node]!.name);
  }

  /** Ends the isolation of a controller. */
  rejoin(node: number): void {
    this.serve(node);
    this.cluster.peerNetwork.disconnected.delete(this.cluster.nodes[node]!.name);
  }

  /** Cuts all connections between controllers. */
  refusePeers(): void {
    for (const node of this.cluster.nodes) this.cluster.peerNetwork.disconnected.add(node.name);
  }

  /** Loses messages of these kinds between controllers. */
  loseMessages(...kinds: PeerMessage['kind'][]): void {
    this.cluster.peerNetwork.isLost = (_from, _to, message) => kinds.includes(message.kind);
  }

  /** Delays a controller's responses to users and workers. */
  holdAnswers(node: number, ms: number): void {
    this.cluster.nodes[node]!.responseDelayMs = ms;
  }

  /** Kills a controller and starts it again after `afterS` seconds. */
  async restart(node: number, afterS: number): Promise<void> {
    this.cluster.crash(node);
    await this.cluster.advance(afterS);
    this.cluster.restart(node);
  }

  /** Kills all controllers at once and starts them again after `afterS` seconds. */
  async restartAll(afterS: number): Promise<void> {
    for (const [i] of this.cluster.nodes.entries()) this.cluster.crash(i);
    await this.cluster.advance(afterS);
    for (const [i] of this.cluster.nodes.entries()) this.cluster.restart(i);
  }

  /** Kills the leader and starts it again after `backAfterS` seconds; returns its index. */
  async restartLeader(backAfterS: number): Promise<number> {
    const { leader } = this.cluster;
    if (leader >= 0) await this.restart(leader, backAfterS);
    return leader;
  }

  // ---- machines

  /** Makes machines hang for `seconds`. */
  hang(workers: FakeWorker[], seconds: number): void {
    for (const worker of workers) worker.hung = true;
    void this.cluster.clock.sleep(seconds * 1000).then(() => {
      for (const worker of workers) worker.hung = false;
    });
  }

  /** Cuts machines off in both directions. */
  cutOff(workers: FakeWorker[]): void {
    for (const worker of workers) worker.mute = worker.deaf = true;
  }

  /** Loses responses and direct commands to these machines; their heartbeats arrive. */
  loseResponsesTo(workers: FakeWorker[]): void {
    for (const worker of workers) worker.deaf = true;
  }

  /** Loses the heartbeats of these machines; direct commands reach them. */
  loseHeartbeatsOf(workers: FakeWorker[]): void {
    for (const worker of workers) worker.mute = true;
  }

  /** Delivers a direct command to a worker; null means no response. */
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

  // ---- repeated heartbeats

  /** Creates the copies of a heartbeat that has just been sent, as the fault shares say. */
  copyReport(node: number, report: object): void {
    const { lateReports, reportsForNext } = this.share;
    const { clock, random } = this.cluster;
    if (reportsForNext > 0 && random.next() < reportsForNext)
      this.keptReports.push(structuredClone(report));
    if (lateReports === 0 || random.next() >= lateReports) return;
    const copy = structuredClone(report);
    void clock.sleep(random.between(...COPY_DELAY_MS)).then(() => {
      if (this.copyToAllControllers) this.deliverToAll(copy);
      else this.deliver(node, copy);
    });
  }

  /** Delivers a copy of a heartbeat to every controller now. */
  deliverToAll(report: object): void {
    for (const [i] of this.cluster.nodes.entries()) this.deliver(i, report);
  }

  private deliver(node: number, report: object): void {
    void this.cluster.deliver(node, report).catch(() => undefined);
  }

  /** Delivers the kept heartbeats, oldest first, several times while the new leader takes over. */
  private async replayToNewLeader(): Promise<void> {
    const kept = this.keptReports.splice(0);
    for (const ms of REPLAY_PAUSES_MS) {
      await this.cluster.clock.sleep(ms);
      for (const report of kept) this.deliverToAll(report);
    }
  }

  /** Keeps copies of heartbeats for the next leader, which gets them before any others. */
  keepForNextLeader(reports: object[]): void {
    this.keptReports.push(...reports);
  }

  // ---- the end of all faults

  /** Ends all faults; messages that are already on their way may still arrive. */
  endAll(): void {
    const { cluster } = this;
    if (cluster.store.down) cluster.store.restore();
    cluster.store.slowMs = 0;
    cluster.setPartitioned(false);
    cluster.directCommandsEnabled = true;
    cluster.peerNetwork.disconnected.clear();
    cluster.peerNetwork.isLost = () => false;
    cluster.cloud.unlisted.clear();
    cluster.cloud.down = false;
    this.storeFaults.clear();
    this.copyToAllControllers = false;
    for (const name of Object.keys(this.share) as (keyof FaultShares)[]) this.share[name] = 0;
    for (const [i, node] of cluster.nodes.entries()) {
      node.reachableByWorkers = node.reachableByUsers = true;
      node.responseDelayMs = 0;
      node.processingDelayMs = () => 0;
      if (!node.controller) cluster.restart(i);
      else node.storeOutcome = () => 'serve';
    }
    for (const worker of cluster.workers.values()) worker.hung = worker.deaf = worker.mute = false;
    cluster.checker.faultsEnded();
  }
}
