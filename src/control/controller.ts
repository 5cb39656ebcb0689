import { Election } from '../election/election.js';
import type { Term } from '../election/term.js';
import { ZoneDelegate, zoneDelegateRightMs } from '../election/zone-delegate.js';
import { Catalogue } from '../fleet/catalogue.js';
import type { Callers } from '../fleet/stop-commands.js';
import type { Transport } from '../http/client.js';
import type { Service } from '../http/server.js';
import type { ReportOutcome } from '../http/workers.js';
import { JobApi, type Counts } from '../jobs/job-api.js';
import { heartbeats, type Message } from '../peer/frames.js';
import { Membership } from '../membership/membership.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import { duty, type Runtime } from '../runtime/duty.js';
import { StoreReachability } from '../peer/store-reachability.js';
import type { Settings } from '../settings/deploy.js';
import type { Operator } from '../settings/operator.js';
import { Store } from '../state/store.js';
import type { Order, Report } from '../wire/report.js';
import { Leader } from './leader.js';

export interface Links {
  peerTransport: PeerTransport;
  store: Transport;
  cloud: Transport;
  workers: Callers;
}

/** The leader speaks once a report interval; after so many of them without a word it is mute. */
const HEARTBEATS_MISSED = 1.2;

/** How many report intervals pass between two looks at who has been upgraded. */
const REPORTS_PER_LOOK = 2;

/** One controller: answers users at all times, and leads while it holds the leader key. */
export class Controller implements Service {
  readonly jobApi: JobApi;
  private readonly store: Store;
  private readonly election: Election;
  private readonly storeReachability: StoreReachability;
  private readonly catalogue: Catalogue;
  readonly membership: Membership;
  private leader: Leader | null = null;
  private readonly zoneDelegate: ZoneDelegate;
  /** When the leader was last heard; a controller that has just started may find none alive. */
  private heartbeatAt = -Infinity;
  private readonly strayAsked = new Map<string, number>();
  private readonly strayCancelled = new Set<string>();
  private readonly counts = new Map<string, Counts>();

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
    this.election = new Election(
      this.store,
      links.peerTransport,
      runtime,
      settings.member,
      lifetimeMs,
    );
    this.membership = new Membership(
      this.store,
      runtime,
      {
        self: settings.member,
        peers: settings.peers.map((p) => p.member),
        size: settings.size,
      },
      workers.reportMs * REPORTS_PER_LOOK,
    );
    this.storeReachability = new StoreReachability(runtime.clock, settings.workers.reportMs);
    this.zoneDelegate = new ZoneDelegate(
      this.store,
      runtime,
      settings.member,
      settings.zone,
      zoneDelegateRightMs(lifetimeMs),
    );
    this.jobApi = new JobApi(
      this.store,
      this.catalogue,
      settings,
      runtime,
      (id) => (this.leader ? this.leader.counts(id) : (this.counts.get(id) ?? null)),
      (id) => this.tellCancelled(id),
      // Users wait 5 s for a submission and 2 s for a poll.
      { submitMs: 4000, pollMs: 1600 },
    );
  }

  /** The leader hears of a cancellation at once, by the shortest way. */
  private tellCancelled(id: string): void {
    if (this.leader) this.leader.hint(id);
    else
      for (const peer of this.links.peerTransport.peers) {
        this.links.peerTransport.send(peer, { kind: 'cancelled', id });
      }
  }

  private onPeer(message: Message): void {
    if (message.kind === 'cancelled') this.leader?.hint(message.id);
    else if (message.kind === 'heartbeat') {
      this.heartbeatAt = this.runtime.clock.now();
      // The leader is within reach again: the strays go back to it.
      this.strayAsked.clear();
      this.strayCancelled.clear();
      if (message.first) this.counts.clear();
      for (const c of message.counts) this.counts.set(c.id, c);
    }
  }

  /** The leader tells the others how far jobs are, for display. */
  private async heartbeat(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      const role = this.election.role.value;
      if (this.leader && role.kind === 'leader') {
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
        // A new leader has time to be heard before its workers count as strays.
        if (role.leader !== null) this.heartbeatAt = this.runtime.clock.now();
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
        },
        role.term,
        () => this.election.resign(role.term),
      );
      this.leader = leader;
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
    try {
      await Promise.all([
        duty(this.runtime, 'heartbeat', signal, restartMs, (s) => this.heartbeat(s)),
        duty(this.runtime, 'catalogue', signal, restartMs, async (s) => {
          await this.catalogue.load(s);
          await new Promise<void>((resolve) => s.addEventListener('abort', () => resolve()));
        }),
        duty(this.runtime, 'membership', signal, restartMs, async (s) => {
          await this.membership.run(s);
          await new Promise<void>((resolve) => s.addEventListener('abort', () => resolve()));
        }),
        duty(this.runtime, 'election', signal, restartMs, (s) => this.election.run(s)),
      ]);
    } finally {
      subscription.unsubscribe();
      peers.unsubscribe();
    }
  }

  report(report: Report): ReportOutcome | Promise<ReportOutcome> {
    const role = this.election.role.value;
    const now = this.runtime.clock.now();
    if (role.kind === 'follower') {
      const leader = role.leader === this.settings.member ? null : role.leader;
      if (this.isStray(report, role.token, now)) return this.keep(report, role.token, leader);
      return { kind: 'elsewhere', leader: this.leaderIsMute(now) ? null : leader };
    }
    const { term } = role;
    // A worker that has seen a higher token would drop our answer, and wait for another in vain.
    if (!this.leader || !term.active(now) || report.token > term.token) {
      return { kind: 'elsewhere', leader: null };
    }
    const orders = this.leader.report(report);
    if (orders instanceof Promise) return this.whenHeld(term, orders);
    return { kind: 'orders', token: term.token, orders };
  }

  /** The right to answer is looked at again when the answer is given. */
  private async whenHeld(term: Term, later: Promise<Order[]>): Promise<ReportOutcome> {
    const orders = await later;
    return term.active(this.runtime.clock.now())
      ? { kind: 'orders', token: term.token, orders }
      : { kind: 'elsewhere', leader: null };
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

  /** Keeps a stray's lease alive, with no orders but to stop what its user has cancelled. */
  private async keep(report: Report, token: number, leader: string | null): Promise<ReportOutcome> {
    if (!(await this.zoneDelegate.holds(token))) return { kind: 'elsewhere', leader };
    void this.learnCancelled(report);
    const orders: Order[] = report.tasks
      .filter((t) => t.state !== 'exited' && this.strayCancelled.has(t.job))
      .map((t) => ({ op: 'stop', job: t.job, task: t.task, attempt: t.attempt, graceMs: 0 }));
    return { kind: 'orders', token, orders };
  }

  private async learnCancelled(report: Report): Promise<void> {
    const now = this.runtime.clock.now();
    const everyMs = this.settings.workers.cancelMs / 8;
    const ids = new Set<string>();
    for (const t of report.tasks) {
      if (t.state === 'exited' || now - (this.strayAsked.get(t.job) ?? -Infinity) < everyMs)
        continue;
      this.strayAsked.set(t.job, now);
      ids.add(t.job);
    }
    for (const id of await this.jobApi.cancelledAmong(ids)) this.strayCancelled.add(id);
  }

  ready(): boolean {
    return (
      this.catalogue.types.value !== null &&
      !this.storeReachability.aloneCutOff(this.store.failingSince)
    );
  }
}
