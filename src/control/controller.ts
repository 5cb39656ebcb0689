import { setMaxListeners } from 'node:events';
import { Election } from '../election/election.js';
import { Succession } from '../election/succession.js';
import { ZoneDelegate, zoneDelegateRightMs } from '../election/zone-delegate.js';
import { Catalogue } from '../fleet/catalogue.js';
import type { Callers } from '../fleet/stop-commands.js';
import type { Transport } from '../http/client.js';
import type { Service } from '../http/server.js';
import type { ReportOutcome } from '../http/workers.js';
import { CancellationLog } from '../jobs/cancellation-log.js';
import { JobApi, OPEN_JOBS_PER_MB, type ControllerView } from '../jobs/job-api.js';
import { CancellationQuery } from '../peer/cancellation-query.js';
import {
  heartbeats,
  MOST_CANCELLATIONS,
  CANCELLATIONS_VERSION,
  VOUCHES_VERSION,
  type Message,
} from '../peer/frames.js';
import { Membership, OWN_FORMATS, type Formats } from '../membership/membership.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import { duty, untilAborted, type Runtime } from '@leverhatch/core/duty';
import { EventLoopLag } from '../runtime/event-loop-lag.js';
import { StoreReachability } from '../peer/store-reachability.js';
import type { Settings } from '../settings/deploy.js';
import type { Operator } from '../settings/operator.js';
import { probeStore } from '../state/probe.js';
import { Store } from '../state/store.js';
import type { Order, Report } from '../wire/report.js';
import { cancellationViewLimitMs } from './cancellation-view.js';
import type { CreateExtension, Extension, TeamAmounts } from './extension.js';
import { Leader } from './leader.js';
import { MOST_HOLD_MS } from './report-handler.js';
import { SelfWatch } from './self-watch.js';
import { PartitionedWorkers } from './partitioned-workers.js';
import { ShownCounts } from './shown-counts.js';
import { UnreadTerms } from './unread-records.js';
import { SilentTerms } from './worker-silence.js';

export interface Links {
  peerTransport: PeerTransport;
  store: Transport;
  cloud: Transport;
  workers: Callers;
  /** Optional parts that are switched on. */
  extensions?: readonly CreateExtension[];
}

/** The leader speaks once a report interval; after so many of them without a word it is mute. */
const HEARTBEATS_MISSED = 1.2;

/** For how many times `cancel_s` it is remembered which jobs users were told to be cancelled. */
const LOGGED_CANCELS = 3;

/** How long a report waits here for a leader to be known; no longer than a worker would pause. */
const UNKNOWN_LEADER_MS = 1000;

/** Users wait 5 s for a submission and 2 s for a poll; what they are told has to reach them by then. */
const SUBMIT_MS = 4000;
const POLL_MS = 1600;

/** How often it is measured how late timers are, as a share of a poll's time. */
const LAG_EVERY_SHARE = 1 / 8;

/** Jobs accepted before all controllers know that there are too many are shown as well. */
const SHOWN_SHARE = 2;

/** How many report intervals pass between two checks of who has been upgraded. */
const REPORTS_PER_LOOK = 2;

/** For a signal that any number of reports wait for. */
function awaitedByMany(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** One controller: answers users at all times, and leads while it holds the leader key. */
export class Controller implements Service {
  readonly jobApi: JobApi;
  private readonly store: Store;
  private readonly election: Election;
  private readonly succession: Succession;
  private readonly storeReachability: StoreReachability;
  private readonly catalogue: Catalogue;
  readonly membership: Membership;
  /** Optional parts that are switched on. */
  readonly extensions: readonly Extension[];
  private leader: Leader | null = null;
  private readonly silentTerms = new SilentTerms();
  private readonly unreadTerms = new UnreadTerms();
  private readonly partitioned: PartitionedWorkers;
  private readonly cancellationLog: CancellationLog;
  private readonly selfWatch: SelfWatch;
  private readonly cancellationQuery: CancellationQuery;
  /** When the leader was last heard; a controller that has just started may find none alive. */
  private heartbeatAt = -Infinity;
  /** To whom this controller has handed office over, until a leader is known. */
  private successor: string | null = null;
  /** Ends the waits of reports that came while no leader was known. */
  private waitingForLeader = awaitedByMany();
  private readonly shown: ShownCounts;
  private readonly lag: EventLoopLag;

  constructor(
    private readonly settings: Settings,
    private readonly operator: Operator,
    private readonly runtime: Runtime,
    private readonly links: Links,
  ) {
    const { workers } = settings;
    const lifetimeMs = workers.leaseMs * operator.election.lifetime;
    this.store = new Store(links.store, runtime, settings, lifetimeMs / 4);
    this.catalogue = new Catalogue(this.store, links.cloud, runtime, this.cloudTimeoutMs);
    this.succession = new Succession(runtime.clock, links.peerTransport, {
      self: settings.member,
      zones: new Map(
        [settings, ...settings.peers].map(({ member, zone }) => [member, zone] as const),
      ),
      reportMs: workers.reportMs,
      leaseMs: workers.leaseMs,
    });
    this.election = new Election(
      this.store,
      links.peerTransport,
      runtime,
      settings.member,
      lifetimeMs,
      this.succession,
      (peer) => this.membership.readsFrames(peer, VOUCHES_VERSION),
    );
    this.extensions = this.createExtensions();
    this.membership = new Membership(
      this.store,
      runtime,
      {
        self: settings.member,
        peers: settings.peers.map((p) => p.member),
        size: settings.size,
      },
      workers.reportMs * REPORTS_PER_LOOK,
      this.formats,
    );
    this.shown = new ShownCounts(settings.machine.memoryMb * OPEN_JOBS_PER_MB * SHOWN_SHARE);
    this.lag = new EventLoopLag(runtime.clock, POLL_MS * LAG_EVERY_SHARE);
    this.storeReachability = new StoreReachability(runtime.clock, settings.workers.reportMs);
    this.selfWatch = new SelfWatch(runtime.clock, runtime.log, workers.reportMs);
    this.cancellationLog = new CancellationLog(
      runtime.clock,
      runtime.startedAt,
      workers.cancelMs * LOGGED_CANCELS,
      MOST_CANCELLATIONS,
    );
    this.cancellationQuery = new CancellationQuery(
      links.peerTransport,
      runtime,
      this.cancellationLog,
      (peer) => this.membership.readsFrames(peer, CANCELLATIONS_VERSION),
    );
    this.jobApi = new JobApi(this.store, this.catalogue, settings, runtime, this.viewForUsers(), {
      submitMs: SUBMIT_MS,
      pollMs: POLL_MS,
    });
    this.partitioned = new PartitionedWorkers(
      new ZoneDelegate(
        this.store,
        runtime,
        settings.member,
        settings.zone,
        zoneDelegateRightMs(lifetimeMs),
      ),
      (job) => this.jobApi.phaseOf(job),
      runtime.clock,
      {
        refreshMs: workers.cancelMs / 8,
        viewMs: cancellationViewLimitMs(workers, lifetimeMs),
        waitMs: MOST_HOLD_MS,
        mostJobs: settings.machine.memoryMb * OPEN_JOBS_PER_MB,
      },
    );
  }

  private createExtensions(): Extension[] {
    const { store, runtime, settings } = this;
    const leading = (): boolean => this.leader?.records.ready ?? false;
    const allHave = (feature: string, signal: AbortSignal): Promise<boolean> =>
      this.membership.allHave(feature, signal);
    const promisedShares = async (): Promise<TeamAmounts> =>
      (await this.extensionWithShares?.promisedShares!()) ?? settings.teams;
    const host = { store, runtime, settings, leading, allHave, promisedShares };
    return (this.links.extensions ?? []).map((create) => create(host));
  }

  /** What this controller understands, with the optional parts that it has switched on. */
  private get formats(): Formats {
    const features = this.extensions.map(({ feature }) => feature);
    return features.length > 0 ? { ...OWN_FORMATS, features } : OWN_FORMATS;
  }

  /** The part that says what teams have or will have; undefined: the settings do. */
  private get extensionWithShares(): Extension | undefined {
    return this.extensions.find((extension) => extension.promisedShares);
  }

  private viewForUsers(): ControllerView {
    const shares = this.extensionWithShares;
    return {
      counts: (id) => (this.leader ? this.leader.counts(id) : this.shown.of(id)),
      openJobs: () => this.leader?.jobs.size ?? this.shown.size,
      lagMs: () => this.lag.ms,
      cancelled: (id) => this.tellCancelled(id),
      ...(shares ? { promisedShares: () => shares.promisedShares!() } : {}),
    };
  }

  /**
   * A user is about to be told that a job is cancelled. It is logged first, and the leader hears of it
   * at once if it can; nothing rests on that message.
   */
  private tellCancelled(id: string): void {
    const isNew = this.cancellationLog.add(id);
    if (this.leader) this.leader.announceCancelled(id);
    else if (isNew) {
      for (const peer of this.links.peerTransport.peers) {
        this.links.peerTransport.send(peer, { kind: 'cancelled', id });
      }
    }
  }

  private onPeer(message: Message): void {
    if (message.kind === 'cancelled') this.leader?.announceCancelled(message.id);
    else if (message.kind === 'heartbeat') {
      // Left over from an earlier leader, which stood still or whose messages were held up.
      if (message.token < this.currentToken) return;
      this.endDeposedTerm(message.token);
      this.heartbeatAt = this.runtime.clock.now();
      // The leader is within reach again: the workers go back to it.
      this.partitioned.clear();
      if (message.counts.some((c) => c.running > 0)) this.silentTerms.workersHeard();
      this.shown.take(message.first, message.counts);
    }
  }

  /**
   * Another controller leads a later term. A leader whom the store refuses alone learns of it only in
   * this way; while it held on to its own term it could promise the other nothing in an outage.
   */
  private endDeposedTerm(token: number): void {
    const role = this.election.role.value;
    if (role.kind !== 'leader' || role.term.token >= token) return;
    this.runtime.log.warn({ token: role.term.token, later: token }, 'deposed by a later term');
    role.term.end();
  }

  /** The token of the newest term that this controller knows of. */
  private get currentToken(): number {
    const role = this.election.role.value;
    return role.kind === 'leader' ? role.term.token : role.token;
  }

  /** The leader tells the others how far jobs are, for display. */
  private async heartbeat(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      this.selfWatch.observe(this.ready());
      const role = this.election.role.value;
      // One that stood still may lead no more: its word would hide that the next leader is silent.
      if (this.leader && role.kind === 'leader' && role.term.active(clock.now())) {
        for (const message of heartbeats(role.term.token, this.leader.allCounts())) {
          for (const peer of this.links.peerTransport.peers)
            this.links.peerTransport.send(peer, message);
        }
      }
      const { reportMs } = this.settings.workers;
      const { failingSince, answeredAt } = this.store;
      const serves = failingSince === null && clock.now() - answeredAt < reportMs * 2;
      for (const peer of this.links.peerTransport.peers)
        this.links.peerTransport.send(peer, { kind: 'store', serves });
      await clock.sleep(reportMs, signal);
    }
  }

  private get cloudTimeoutMs(): number {
    return this.settings.workers.leaseMs * 0.4;
  }

  async run(signal: AbortSignal): Promise<void> {
    const restartMs = this.settings.workers.reportMs;
    const subscription = this.election.role.subscribe((role) => {
      if (role.kind !== 'leader') {
        // A new leader has time to be heard before its workers count as partitioned.
        if (role.leader !== null) {
          this.heartbeatAt = this.runtime.clock.now();
          this.leaderKnown();
        }
        return;
      }
      const leader = new Leader(
        {
          store: this.store,
          cloud: this.links.cloud,
          workers: this.links.workers,
          catalogue: this.catalogue,
          membership: this.membership,
          settings: this.settings,
          operator: this.operator,
          runtime: this.runtime,
          cloudTimeoutMs: this.cloudTimeoutMs,
          cancellationQuery: this.cancellationQuery,
          silentTerms: this.silentTerms,
          succession: this.succession,
          unreadTerms: this.unreadTerms,
          extensions: this.extensions,
          othersServed: () => this.storeReachability.servesOthers,
          betterLeader: () =>
            this.succession.handOverTo((peer) => this.storeReachability.serves(peer)),
        },
        role.term,
        (successor) => {
          this.successor = successor ?? null;
          this.election.resign(role.term, this.storeReachability.servesOthers);
        },
      );
      this.leader = leader;
      this.leaderKnown();
      void leader
        .run()
        .catch((error: unknown) => {
          if (!role.term.signal.aborted) {
            this.runtime.log.error({ error: String(error) }, 'leader failed');
          }
          role.term.end();
        })
        .finally(() => {
          if (this.leader === leader) this.leader = null;
        });
    });
    const peers = this.links.peerTransport.heard.subscribe(({ from, message }) => {
      if (message.kind === 'store') this.storeReachability.heard(from, message.serves);
      else this.onPeer(message);
    });
    const cancellationQuery = this.cancellationQuery.listen();
    try {
      await Promise.all([
        duty(this.runtime, 'heartbeat', signal, restartMs, (s) => this.heartbeat(s)),
        duty(this.runtime, 'event loop', signal, restartMs, (s) => this.lag.run(s)),
        duty(this.runtime, 'store probe', signal, restartMs, (s) =>
          probeStore(this.store, this.runtime.clock, restartMs, s),
        ),
        duty(this.runtime, 'catalogue', signal, restartMs, async (s) => {
          await this.catalogue.load(s);
          await untilAborted(s);
        }),
        duty(this.runtime, 'membership', signal, restartMs, async (s) => {
          await this.membership.run(s);
          await untilAborted(s);
        }),
        duty(this.runtime, 'election', signal, restartMs, (s) => this.election.run(s)),
      ]);
    } finally {
      subscription.unsubscribe();
      peers.unsubscribe();
      cancellationQuery.unsubscribe();
    }
  }

  /** `mayWait`: the worker has not waited yet for a leader to be known. */
  report(report: Report, mayWait = true): ReportOutcome | Promise<ReportOutcome> {
    const role = this.election.role.value;
    const now = this.runtime.clock.now();
    if (role.kind === 'follower') {
      const leader = role.leader === this.settings.member ? null : role.leader;
      if (this.isStray(report, role.token, now)) {
        return this.partitioned.report(report, role.token, leader);
      }
      if (leader !== null && !this.leaderIsMute(now)) return { kind: 'elsewhere', leader };
      const unknown = leader === null && this.successor === null;
      return unknown && mayWait ? this.whenLeaderKnown(report) : this.turnedAway();
    }
    const { term } = role;
    // A worker that has seen a higher token would drop our answer, and wait for another in vain.
    if (!this.leader || !term.active(now) || report.token > term.token) {
      return this.turnedAway();
    }
    const orders = this.leader.report(report);
    if (orders instanceof Promise) return this.whenHeld(this.leader, orders);
    return orders ? { kind: 'orders', token: term.token, orders } : this.turnedAway();
  }

  /**
   * A worker that is sent away without a name tries the next controller after a second, which may be
   * silent: it waits that second here, in case office is just being handed over.
   */
  private async whenLeaderKnown(report: Report): Promise<ReportOutcome> {
    await this.runtime.clock.sleep(UNKNOWN_LEADER_MS, this.waitingForLeader.signal);
    return this.report(report, false);
  }

  private leaderKnown(): void {
    this.successor = null;
    this.waitingForLeader.abort();
    this.waitingForLeader = awaitedByMany();
  }

  private turnedAway(): ReportOutcome {
    return { kind: 'elsewhere', leader: this.successor };
  }

  /** The right to answer is looked at again when the answer is given. */
  private async whenHeld(leader: Leader, later: Promise<Order[] | null>): Promise<ReportOutcome> {
    const orders = await later;
    const entitled = leader.mayAnswer(this.runtime.clock.now());
    if (!orders || !entitled) return this.turnedAway();
    return { kind: 'orders', token: leader.term.token, orders };
  }

  /**
   * A leader that was heard and no longer is: a worker sent to one that stands still waits 4 s for
   * nothing, of a lease that may just last until the next takes office. If the leader's key outlives
   * that, it is only we who do not hear it.
   */
  private leaderIsMute(now: number): boolean {
    const silentMs = now - this.heartbeatAt - this.settings.workers.reportMs * HEARTBEATS_MISSED;
    return (
      silentMs > 0 && silentMs < this.settings.workers.leaseMs * this.operator.election.lifetime
    );
  }

  /**
   * A worker of our zone that comes while we are cut off from the leader. It may know only the token
   * of the one before: where office changes hands during the cut, no other node tells it.
   */
  private isStray(report: Report, token: number, now: number): boolean {
    return (
      token > 0 &&
      report.token <= token &&
      report.zone === this.settings.zone &&
      now - this.heartbeatAt > this.settings.workers.reportMs * 2.5
    );
  }

  ready(): boolean {
    return (
      this.catalogue.types.value !== null &&
      !this.storeReachability.aloneCutOff(this.store.failingSince)
    );
  }
}
