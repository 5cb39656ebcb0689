/**
 * Leader election: campaigns for the leader key in the store, holds it by renewing the leader
 * lease, and resigns when another controller is better placed to lead.
 */
import { RequestPriority } from '@leverhatch/core/store';
import { setMaxListeners } from 'node:events';
import { BehaviorSubject } from 'rxjs';
import { z } from 'zod/mini';
import { NoResponseError } from '../http/client.js';
import type { MessageErrors } from '../runtime/message-errors.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import { LeaseExtensionVote } from '../peer/lease-extension-vote.js';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/supervised-task';
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

/** How long a granted vote extends a term, as a share of the leader lease. */
const VOTE_EXTENSION_RATIO = 0.45;
/**
 * How long after its term has expired a leader keeps renewing while the store does not answer, as a
 * share of the leader lease.
 */
const MAX_EXPIRED_RENEWAL_RATIO = 0.5;
/** How many leader leases a controller waits after resigning before it campaigns again. */
const RESIGN_BACKOFF_LEASES = 3;
/**
 * The same if no other controller is reachable over the peer connections: long enough for one that
 * watches the leader key in the store to acquire it.
 */
const NO_PEERS_RESIGN_BACKOFF_LEASES = 0.25;

/** Number of renewals per lease duration. */
const RENEWALS_PER_LEASE = 5;
/** Number of renewal attempts per vote extension while renewals fail. */
const RETRIES_PER_EXTENSION = 4;
/**
 * Consecutive unanswered renewals after which the store counts as unresponsive; a single one may be
 * caused by a pause of this process.
 */
const MIN_UNANSWERED_RENEWALS = 2;
/** Number of attempts per lease duration to read the leader key while the store is unavailable. */
const READ_RETRIES_PER_LEASE = 16;
/**
 * Number of attempts per lease duration to create the leader key, and to have the peers confirm
 * that no promise is in force.
 */
const CAMPAIGN_RETRIES_PER_LEASE = 20;
/** Number of checks per lease duration whether campaigning is still blocked. */
const CAMPAIGN_BLOCK_CHECKS_PER_LEASE = 10;

/** Campaign delays are counted in units of the leader lease divided by this. */
const CAMPAIGN_DELAY_UNITS_PER_LEASE = 10;
/** Delay if a controller that started later could lead. */
const YOUNGER_PEER_DELAY_UNITS = 1;
/**
 * Delay if workers of this controller could not fail over within their lease, but workers of
 * another controller could.
 */
const NO_BACKUP_DELAY_UNITS = 2;
/** The same if it applies only to workers of other zones during a partition between zones. */
const NO_ZONE_BACKUP_DELAY_UNITS = 0.7;

/** Safety margin for timers, which fire with a resolution of one or a few milliseconds. */
const TIMER_RESOLUTION_MS = 10;

/** The stored value of the leader key. */
const leaderValue = z.object({ term: z.string(), member: z.string() });
type LeaderValue = z.infer<typeof leaderValue>;

/**
 * Whether this controller is the leader; for a follower also the last known leader and its fencing
 * token.
 */
export type Role =
  | { kind: 'leader'; term: Term }
  | { kind: 'follower'; leader: string | null; fencingToken: number };

/** Tracks the outcome of recent renewals of the leader lease. */
class RenewalHealth {
  private consecutiveUnanswered = 0;
  private failing = false;

  get isFailing(): boolean {
    return this.failing;
  }

  /**
   * Whether the store leaves renewals unanswered. An unanswered request may have been applied; a
   * rejected one was not.
   */
  get isUnanswered(): boolean {
    return this.consecutiveUnanswered >= MIN_UNANSWERED_RENEWALS;
  }

  recordSuccess(): void {
    this.failing = false;
    this.consecutiveUnanswered = 0;
  }

  recordFailure(error: unknown): void {
    this.failing = true;
    this.consecutiveUnanswered =
      error instanceof NoResponseError ? this.consecutiveUnanswered + 1 : 0;
  }
}

/** Dependencies and settings of the leader election. */
export interface LeaderElectionOptions {
  store: Store;
  peerTransport: PeerTransport;
  runtime: Runtime;
  /** The name of this controller. */
  member: string;
  /** Duration of the leader lease, in milliseconds. */
  leaderLeaseMs: number;
  successorPolicy: SuccessorPolicy;
  messageErrors: MessageErrors;
  /** Whether a peer is known to support reinstatement requests. */
  supportsReinstatement(peer: string): boolean;
}

/** Campaigns for the leader key and renews its lease while this controller holds it. */
export class LeaderElection {
  readonly role = new BehaviorSubject<Role>({ kind: 'follower', leader: null, fencingToken: 0 });

  private readonly extensionVote: LeaseExtensionVote;
  /** True from the campaign's first write until the store has given a definite answer. */
  private isCampaigning = false;
  /** Earliest time of the next campaign; monotonic, in milliseconds. */
  private campaignNotBefore = 0;
  /**
   * Version of the leader key when this process last read it from the store; null if it has
   * campaigned since. While it is set, no term of this process can have a newer fencing token.
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
    const voter = {
      mayBeLeader: () => this.role.value.kind === 'leader' || this.isCampaigning,
      isStoreAvailable: () => this.isStoreAvailable(),
      isLatestKnownToken: (fencingToken: number) => this.lastReadToken === fencingToken,
      supportsReinstatement: (peer: string) => options.supportsReinstatement(peer),
    };
    const { peerTransport, runtime, messageErrors } = options;
    this.extensionVote = new LeaseExtensionVote(peerTransport, runtime, voter, messageErrors);
  }

  /** Runs the election loop until the signal aborts. */
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

  /** Follows the current leader; returns once the leader key has been deleted. */
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
    const previousRole = this.role.value;
    if (previousRole.kind === 'follower' && previousRole.fencingToken === entry.version) return;
    this.role.next({ kind: 'follower', leader: value.member, fencingToken: entry.version });
  }

  /**
   * Waits while this controller has promised not to campaign. A process that has just started may
   * have made a promise before its restart, so it waits for the maximum duration of a promise, or
   * until all peers confirm that none is in force. Also waits out the backoff after a resignation.
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
      await clock.sleep(
        Math.min(waitMs, this.leaderLeaseMs / CAMPAIGN_BLOCK_CHECKS_PER_LEASE),
        signal,
      );
    }
  }

  /**
   * Gives better placed controllers a head start:
   * - A controller that knows of a younger process waits. During a rolling restart a random choice
   *   of the next leader could cause a change of leader at every restart, whereas a controller that
   *   has already been restarted is the last to be restarted again.
   * - It waits longer if its workers would lose their leases before they reached a responsive
   *   controller, should this one become unresponsive.
   * - It waits a shorter time if only workers of other zones would, should the zones be partitioned
   *   from each other.
   */
  private async delayCampaign(signal: AbortSignal): Promise<void> {
    const { clock, startedAt } = this.runtime;
    const role = this.role.value;
    const lastLeader = role.kind === 'follower' ? role.leader : null;
    const hasYoungerPeer = this.peerTransport.peers.some(
      (peer) =>
        peer !== lastLeader &&
        (this.peerTransport.startedAt(peer) ?? -Infinity) > startedAt + this.leaderLeaseMs,
    );
    const units =
      YOUNGER_PEER_DELAY_UNITS * Number(hasYoungerPeer) +
      NO_BACKUP_DELAY_UNITS * Number(this.successorPolicy.shouldYield(lastLeader)) +
      NO_ZONE_BACKUP_DELAY_UNITS * Number(this.successorPolicy.shouldYieldAcrossZones(lastLeader));
    if (units === 0) return;
    await clock.sleep((units * this.leaderLeaseMs) / CAMPAIGN_DELAY_UNITS_PER_LEASE, signal);
  }

  /**
   * Tries to create the leader key. Returns the new term and the id of its lease, or null if
   * another controller won or this one has promised not to campaign.
   */
  private async campaign(signal: AbortSignal): Promise<{ term: Term; lease: number } | null> {
    const { clock, random } = this.runtime;
    const value = { term: random.unique(), member: this.member };
    const sentAt = clock.now();
    const lease = await this.store.grantLease(this.leaderLeaseMs, signal);
    // From here until the store's definite answer no promise may be made: see `mayBeLeader`.
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

  /**
   * Returns the version of the leader key if this controller has created it, or null if it
   * certainly has not.
   */
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
        // A rejected write was not applied; an unanswered one may still be applied later.
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
      // Whatever the error, this controller could not renew a lease at the store now.
      return false;
    }
  }

  /**
   * Ends the term because another controller is better placed to lead, and waits before campaigning
   * again. A reachable successor campaigns at once. If no peer is reachable there may be no
   * successor, and the wait is short: without a leader, every worker that contacts this controller
   * is rejected.
   */
  resign(term: Term, isSuccessorReachable: boolean): void {
    const backoffLeases = isSuccessorReachable
      ? RESIGN_BACKOFF_LEASES
      : NO_PEERS_RESIGN_BACKOFF_LEASES;
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

  /**
   * Local expiry of a lease that was requested at `sentAt`, with margins for clock drift and timer
   * resolution; both times are monotonic, in milliseconds.
   */
  private leaseExpiry(sentAt: number): number {
    return sentAt + this.leaderLeaseMs * (1 - MAX_CLOCK_DRIFT) - TIMER_RESOLUTION_MS;
  }

  private get readRetryMs(): number {
    return this.leaderLeaseMs / READ_RETRIES_PER_LEASE;
  }

  private get campaignRetryMs(): number {
    return this.leaderLeaseMs / CAMPAIGN_RETRIES_PER_LEASE;
  }

  /**
   * Duration of a vote extension. It is shorter than the lease because a controller that has just
   * started must wait it out before it campaigns.
   */
  private get extensionMs(): number {
    return this.leaderLeaseMs * VOTE_EXTENSION_RATIO;
  }

  /**
   * Whether the term expired so long ago that unanswered renewals must stop. An unanswered renewal
   * may have been applied, so a leader that continues to renew after its lease has expired could
   * keep the key from controllers that do receive the store's answers. A rejected renewal was not
   * applied and blocks no other controller.
   */
  private hasLongExpired(term: Term): boolean {
    return !term.isActive(
      this.runtime.clock.now() - this.leaderLeaseMs * MAX_EXPIRED_RENEWAL_RATIO,
    );
  }

  /**
   * Requests the peers' votes to extend the term. Once the term has expired, promises not to
   * campaign are not enough, since another controller may have led in the meantime: the peers must
   * also attest that none did.
   */
  private async requestVotes(term: Term): Promise<void> {
    const { clock, log } = this.runtime;
    const { fencingToken } = term;
    const sentAt = clock.now();
    const expiresAt = sentAt + this.extensionMs * (1 - MAX_CLOCK_DRIFT) - TIMER_RESOLUTION_MS;
    const timeoutMs = this.extensionMs / 2;
    const isExpired = !term.isActive(sentAt);
    const granted = isExpired
      ? await this.extensionVote.requestReinstatement(fencingToken, this.extensionMs, timeoutMs)
      : await this.extensionVote.requestExtension(fencingToken, this.extensionMs, timeoutMs);
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
   * Renews the lease until the term ends. After the local expiry the term is not active, but if the
   * store still renews the lease, this controller has held the key throughout and the term
   * continues. If the store leaves renewals unanswered for too long, the controller resigns: see
   * `hasLongExpired`.
   */
  private async renewLease(term: Term, lease: number, signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const { fencingToken } = term;
    const intervalMs = this.leaderLeaseMs / RENEWALS_PER_LEASE;
    const retryMs = this.extensionMs / RETRIES_PER_EXTENSION;
    const combinedSignal = AbortSignal.any([signal, term.signal]);
    // Every request of the term adds a listener.
    setMaxListeners(0, combinedSignal);
    const health = new RenewalHealth();
    try {
      while (!signal.aborted) {
        await clock.sleep(jitter(health.isFailing ? retryMs : intervalMs, random), combinedSignal);
        // Not awaited, so that outstanding votes do not delay the renewals.
        if (health.isFailing) void this.requestVotes(term);
        // The term also ends when the leader resigns or finds that the store contradicts its state.
        if (combinedSignal.aborted) break;
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

  /**
   * Revokes the lease so that other controllers can campaign before it expires. A failure is
   * ignored, since the lease then expires by itself.
   */
  private revokeLease(lease: number): Promise<unknown> {
    return this.store.revokeLease(lease).catch(() => undefined);
  }
}
