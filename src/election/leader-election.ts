/**
 * Leader election: campaigns for the leader key of the store, keeps it by renewing the leader lease, and
 * gives it up when others can lead better.
 */
import { RequestPriority } from '@leverhatch/core/store';
import { setMaxListeners } from 'node:events';
import { BehaviorSubject } from 'rxjs';
import { z } from 'zod/mini';
import { NoResponseError } from '../http/client.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import { LeaseExtensionVote } from '../peer/lease-extension-vote.js';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import { jitter } from '@leverhatch/core/random';
import { KEYS } from '../state/keys.js';
import {
  RevisionCompactedError,
  LeaseNotFoundError,
  type Entry,
  type Store,
} from '../state/store.js';
import type { SuccessorPolicy } from './successor-policy.js';
import { Term } from './term.js';

/** How long a vote extends a term, as a share of the leader lease. */
const EXTENSION_RATIO = 0.45;
/** How long past its expiry a leader whose renewals are unanswered goes on, as a share of its lease. */
const EXPIRED_WAIT_RATIO = 0.5;
/** For how many leader leases a controller that resigned does not campaign. */
const RESIGN_BACKOFF_LEASES = 3;
/** The same where no other controller is heard: enough for one that does watch the key to take it. */
const LONE_RESIGN_BACKOFF_LEASES = 0.25;

/** How often the leader lease is renewed within its duration. */
const RENEWALS_PER_LEASE = 5;
/** How often renewal is tried within an extension while it fails. */
const RETRIES_PER_EXTENSION = 4;
/** Unanswered renewals in a row that count; a single one may be due to a stall of this process. */
const MIN_UNANSWERED_RENEWALS = 2;
/** Tries within a leader lease to read the leader key while the store does not serve. */
const READ_RETRIES_PER_LEASE = 16;
/** Tries within a leader lease to create the leader key, and to have others confirm their promises. */
const CAMPAIGN_RETRIES_PER_LEASE = 20;
/** Looks within a leader lease at whether the campaign is still blocked. */
const BLOCK_CHECKS_PER_LEASE = 10;

/** The unit of the delay before a campaign is the leader lease divided by this. */
const CAMPAIGN_DELAY_UNITS_PER_LEASE = 10;
/** Units of delay where a controller that started later could lead. */
const YOUNGER_PEER_DELAY = 1;
/** Units of delay where this controller has no backup in time and another has. */
const NO_BACKUP_DELAY = 2;
/** Units of delay where the same holds for workers of other zones alone. */
const NO_ZONE_BACKUP_DELAY = 0.7;

/** Timers fire in steps of one or a few milliseconds. */
const TIMER_RESOLUTION_MS = 10;

/** The stored value of the leader key. */
const leaderValue = z.object({ term: z.string(), member: z.string() });
type LeaderValue = z.infer<typeof leaderValue>;

/** Whether this controller leads and, if not, whom it last knew as leader and by which fencing token. */
export type Role =
  | { kind: 'leader'; term: Term }
  | { kind: 'follower'; leader: string | null; fencingToken: number };

/** How the renewals of the current leader lease fare. */
class RenewalHealth {
  private unansweredInARow = 0;
  private failing = false;

  get isFailing(): boolean {
    return this.failing;
  }

  /** An unanswered request may have been carried out; a refused one was not. */
  get isUnanswered(): boolean {
    return this.unansweredInARow >= MIN_UNANSWERED_RENEWALS;
  }

  recordSuccess(): void {
    this.failing = false;
    this.unansweredInARow = 0;
  }

  recordFailure(error: unknown): void {
    this.failing = true;
    this.unansweredInARow = error instanceof NoResponseError ? this.unansweredInARow + 1 : 0;
  }
}

/** What an election rests on. */
export interface LeaderElectionOptions {
  store: Store;
  peerTransport: PeerTransport;
  runtime: Runtime;
  /** The name of this controller. */
  member: string;
  /** How long the leader lease lasts, in milliseconds. */
  leaderLeaseMs: number;
  successorPolicy: SuccessorPolicy;
  /** Whether a controller is known to understand requests for reinstatement. */
  supportsReinstatement(peer: string): boolean;
}

/** Holds the leader key or campaigns for it, for as long as it runs. */
export class LeaderElection {
  readonly role = new BehaviorSubject<Role>({ kind: 'follower', leader: null, fencingToken: 0 });

  private readonly extensionVote: LeaseExtensionVote;
  /** A campaign is under way, or its write may still be carried out by the store. */
  private isCampaigning = false;
  /** Monotonic, in milliseconds. */
  private campaignNotBefore = 0;
  /**
   * The version at which this process last read the leader key from the store; null once it has
   * campaigned after that. While it is set, no term of this process can be newer.
   */
  private lastReadToken: number | null = null;

  private readonly store: Store;
  private readonly peerTransport: PeerTransport;
  private readonly runtime: Runtime;
  private readonly member: string;
  private readonly leaderLeaseMs: number;
  private readonly successorPolicy: SuccessorPolicy;

  constructor(options: LeaderElectionOptions) {
    this.store = options.store;
    this.peerTransport = options.peerTransport;
    this.runtime = options.runtime;
    this.member = options.member;
    this.leaderLeaseMs = options.leaderLeaseMs;
    this.successorPolicy = options.successorPolicy;
    this.extensionVote = new LeaseExtensionVote(options.peerTransport, options.runtime, {
      mayBeLeader: () => this.role.value.kind === 'leader' || this.isCampaigning,
      isStoreAvailable: () => this.isStoreAvailable(),
      isLatestKnownToken: (fencingToken) => this.lastReadToken === fencingToken,
      supportsReinstatement: (peer) => options.supportsReinstatement(peer),
    });
  }

  /** Takes part in elections until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const subscription = this.extensionVote.listen();
    const stopListening = (): void => subscription.unsubscribe();
    signal.addEventListener('abort', stopListening, { once: true });
    try {
      while (!signal.aborted) {
        try {
          const entry = await this.store.get(KEYS.leader, RequestPriority.Critical, signal);
          if (entry) await this.watchLeaderKey(entry, signal);
          await this.waitForPromises(signal);
          await this.delayCampaign(signal);
          const won = await this.campaign(signal);
          if (won) await this.renewLease(won.term, won.lease, signal);
        } catch (error) {
          if (signal.aborted) return;
          log.debug({ error: String(error) }, 'election retried: store unavailable');
          await clock.sleep(jitter(this.readRetryMs, random), signal);
        }
      }
    } finally {
      signal.removeEventListener('abort', stopListening);
      stopListening();
    }
  }

  /** Returns once the leader key is gone. */
  private async watchLeaderKey(entry: Entry, signal: AbortSignal): Promise<void> {
    let current: Entry | null = entry;
    let revision = entry.version;
    this.becomeFollower(entry);
    while (current) {
      try {
        const changes = await this.store.watch(
          KEYS.leader,
          revision,
          this.leaderLeaseMs * 2,
          signal,
        );
        revision = changes.revision;
        for (const event of changes.events) {
          if (event.key !== KEYS.leader) continue;
          current = 'gone' in event ? null : event;
        }
      } catch (error) {
        if (signal.aborted) throw error;
        if (!(error instanceof RevisionCompactedError)) {
          const { clock, random } = this.runtime;
          await clock.sleep(jitter(this.readRetryMs, random), signal);
        }
        current = await this.store.get(KEYS.leader, RequestPriority.Critical, signal);
        if (current) revision = current.version;
      }
      if (current) this.becomeFollower(current);
    }
  }

  private becomeFollower(entry: Entry): void {
    const value = z.parse(leaderValue, entry.value);
    this.lastReadToken = entry.version;
    const before = this.role.value;
    if (before.kind === 'follower' && before.fencingToken === entry.version) return;
    this.role.next({ kind: 'follower', leader: value.member, fencingToken: entry.version });
  }

  /**
   * Waits while this controller has promised not to campaign. One that has just started may have
   * promised so before it was restarted: it waits as long as any promise lasts, or until all others
   * confirm that none is in force.
   */
  private async waitForPromises(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    const promisesExpireAt = this.runtime.startedAt + this.extensionMs * (1 + MAX_CLOCK_DRIFT);
    while (!signal.aborted && clock.now() < promisesExpireAt) {
      if (await this.extensionVote.confirmNoPromises(this.campaignRetryMs)) break;
      await clock.sleep(this.campaignRetryMs, signal);
    }
    for (;;) {
      const waitMs = Math.max(
        this.extensionVote.campaignBlockedForMs,
        this.campaignNotBefore - clock.now(),
      );
      if (waitMs <= 0 || signal.aborted) return;
      await clock.sleep(Math.min(waitMs, this.leaderLeaseMs / BLOCK_CHECKS_PER_LEASE), signal);
    }
  }

  /**
   * Gives better placed controllers a head start. In a rolling restart every controller would end a
   * term if chance chose the next leader, whereas one that has been restarted already is the last to
   * be restarted again: whoever knows of a younger process waits. It waits longer if its workers,
   * should it become unresponsive, would lose their leases before they found a responsive controller;
   * and less long if only those of other zones would, should the zones be cut off from each other.
   */
  private async delayCampaign(signal: AbortSignal): Promise<void> {
    const { clock, startedAt } = this.runtime;
    const role = this.role.value;
    const lastLeader = role.kind === 'follower' ? role.leader : null;
    const isYoungerKnown = this.peerTransport.peers.some(
      (peer) =>
        peer !== lastLeader &&
        (this.peerTransport.startedAt(peer) ?? -Infinity) > startedAt + this.leaderLeaseMs,
    );
    const units =
      YOUNGER_PEER_DELAY * Number(isYoungerKnown) +
      NO_BACKUP_DELAY * Number(this.successorPolicy.shouldYield(lastLeader)) +
      NO_ZONE_BACKUP_DELAY * Number(this.successorPolicy.shouldYieldAcrossZones(lastLeader));
    if (units === 0) return;
    await clock.sleep((units * this.leaderLeaseMs) / CAMPAIGN_DELAY_UNITS_PER_LEASE, signal);
  }

  /** The new term and the id of its lease; null if another controller won or this one must not. */
  private async campaign(signal: AbortSignal): Promise<{ term: Term; lease: number } | null> {
    const { clock, random } = this.runtime;
    const value = { term: random.unique(), member: this.member };
    const sentAt = clock.now();
    const lease = await this.store.grantLease(this.leaderLeaseMs, signal);
    // Until the store's definite answer this controller must not promise to abstain: see `mayBeLeader`.
    if (this.extensionVote.campaignBlockedForMs > 0) return null;
    this.isCampaigning = true;
    this.lastReadToken = null;
    try {
      const fencingToken = await this.createLeaderKey(value, lease, signal);
      if (fencingToken !== null) {
        return { term: this.becomeLeader(value.term, fencingToken, sentAt), lease };
      }
    } finally {
      this.isCampaigning = false;
    }
    await this.revokeLease(lease);
    return null;
  }

  /** The leader key's version if it is now ours; null if it certainly is not. */
  private async createLeaderKey(
    value: LeaderValue,
    lease: number,
    signal: AbortSignal,
  ): Promise<number | null> {
    let ambiguous = false;
    for (;;) {
      signal.throwIfAborted();
      try {
        const outcome = await this.store.tryCommit(
          [{ key: KEYS.leader, version: 0 }],
          [{ put: KEYS.leader, value, lease }],
          RequestPriority.Critical,
          signal,
        );
        if (outcome.ok) return outcome.revision;
        if (!ambiguous) return null;
        const entry = await this.store.readWithRetry(KEYS.leader, signal);
        if (!entry) continue;
        return z.parse(leaderValue, entry.value).term === value.term ? entry.version : null;
      } catch (error) {
        if (error instanceof LeaseNotFoundError) return null;
        if (error instanceof NoResponseError) ambiguous = true;
        // A refused write was not applied; one without an answer still may be.
        else if (!ambiguous) return null;
      }
      await this.runtime.clock.sleep(jitter(this.campaignRetryMs, this.runtime.random), signal);
    }
  }

  private async isStoreAvailable(): Promise<boolean> {
    try {
      await this.store.get(KEYS.leader, RequestPriority.Critical);
      return true;
    } catch {
      // Whatever the cause, the store cannot renew a lease for this controller now.
      return false;
    }
  }

  /**
   * Resigns because others can serve better, and lets them campaign first. A reachable successor does
   * so at once; if no other controller is heard there may be none, and without a leader every worker
   * that comes here would be turned away.
   */
  resign(term: Term, isSuccessorReachable: boolean): void {
    const backoffLeases = isSuccessorReachable ? RESIGN_BACKOFF_LEASES : LONE_RESIGN_BACKOFF_LEASES;
    this.campaignNotBefore = this.runtime.clock.now() + this.leaderLeaseMs * backoffLeases;
    term.end();
  }

  private becomeLeader(id: string, fencingToken: number, sentAt: number): Term {
    const { clock, log } = this.runtime;
    const term = new Term(id, fencingToken, clock.now(), this.leaseExpiry(sentAt));
    log.info({ fencingToken }, 'leadership acquired');
    this.role.next({ kind: 'leader', term });
    return term;
  }

  /** Until when a lease counts that was requested at `sentAt`; both monotonic, in milliseconds. */
  private leaseExpiry(sentAt: number): number {
    return sentAt + this.leaderLeaseMs * (1 - MAX_CLOCK_DRIFT) - TIMER_RESOLUTION_MS;
  }

  private get readRetryMs(): number {
    return this.leaderLeaseMs / READ_RETRIES_PER_LEASE;
  }

  private get campaignRetryMs(): number {
    return this.leaderLeaseMs / CAMPAIGN_RETRIES_PER_LEASE;
  }

  /** Shorter than the lease, since a controller that has just started must wait it out. */
  private get extensionMs(): number {
    return this.leaderLeaseMs * EXTENSION_RATIO;
  }

  /**
   * A renewal without an answer may have been applied. A leader whose lease has expired, and that goes
   * on renewing, would keep the key from those who do hear the store's answers. A refused renewal was
   * not applied, and keeps nothing from anybody.
   */
  private hasLongExpired(term: Term): boolean {
    return !term.isActive(this.runtime.clock.now() - this.leaderLeaseMs * EXPIRED_WAIT_RATIO);
  }

  /**
   * Requests votes from the others. Once the lease has expired a promise for the time to come is not
   * enough, since another leader may have come and gone: they have to attest that none did.
   */
  private async requestVotes(term: Term): Promise<void> {
    const { clock, log } = this.runtime;
    const { fencingToken } = term;
    const sentAt = clock.now();
    const expiresAt = sentAt + this.extensionMs * (1 - MAX_CLOCK_DRIFT) - TIMER_RESOLUTION_MS;
    const withinMs = this.extensionMs / 2;
    const isExpired = !term.isActive(sentAt);
    const granted = isExpired
      ? await this.extensionVote.requestReinstatement(fencingToken, this.extensionMs, withinMs)
      : await this.extensionVote.requestExtension(fencingToken, this.extensionMs, withinMs);
    log.debug({ fencingToken, granted, isExpired }, 'votes requested');
    if (!granted) return;
    if (!isExpired) {
      term.extendByVotes(clock.now(), expiresAt);
    } else if (!term.signal.aborted) {
      if (!term.isActive(clock.now())) log.info({ fencingToken }, 'leadership reinstated by vote');
      term.reinstate(expiresAt);
    }
  }

  /**
   * Renews until the lease has ended. Past its expiry the term is not active, but if the store then
   * renews the lease after all, the key was ours all the time and the term goes on; where no answer
   * comes for long it is given up, see `hasLongExpired`.
   */
  private async renewLease(term: Term, lease: number, signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const { fencingToken } = term;
    const intervalMs = this.leaderLeaseMs / RENEWALS_PER_LEASE;
    const retryMs = this.extensionMs / RETRIES_PER_EXTENSION;
    const eitherSignal = AbortSignal.any([signal, term.signal]);
    // Every request of the term listens to it.
    setMaxListeners(0, eitherSignal);
    const health = new RenewalHealth();
    try {
      while (!signal.aborted) {
        await clock.sleep(jitter(health.isFailing ? retryMs : intervalMs, random), eitherSignal);
        // Not awaited: an unresponsive store must not hold up the renewals.
        if (health.isFailing) void this.requestVotes(term);
        // The leader ends the term by itself when the store contradicts its records.
        if (eitherSignal.aborted) break;
        const sentAt = clock.now();
        try {
          await this.store.renewLease(lease, intervalMs, signal);
          health.recordSuccess();
          term.renewLease(this.leaseExpiry(sentAt));
        } catch (error) {
          if (error instanceof LeaseNotFoundError) {
            log.warn({ fencingToken }, 'leadership lost: lease gone from the store');
            return;
          }
          log.debug({ fencingToken, error: String(error) }, 'lease renewal failed');
          const wasFailing = health.isFailing;
          health.recordFailure(error);
          if (health.isUnanswered && this.hasLongExpired(term)) {
            log.warn({ fencingToken }, 'leadership resigned: store unresponsive');
            break;
          }
          if (!wasFailing) void this.requestVotes(term);
        }
      }
      await this.revokeLease(lease);
    } finally {
      term.end();
      this.role.next({ kind: 'follower', leader: null, fencingToken });
    }
  }

  /** Lets others campaign without waiting for the lease to expire, which it does if this fails. */
  private revokeLease(lease: number): Promise<unknown> {
    return this.store.revokeLease(lease).catch(() => undefined);
  }
}
