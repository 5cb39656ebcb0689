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

const leaderValue = z.object({ term: z.string(), member: z.string() });

export type Role =
  | { kind: 'leader'; term: Term }
  | { kind: 'follower'; leader: string | null; fencingToken: number };

/** Holds or contests the leader key for as long as it runs. */
export class LeaderElection {
  readonly role = new BehaviorSubject<Role>({ kind: 'follower', leader: null, fencingToken: 0 });

  private readonly extensionVote: LeaseExtensionVote;
  /** An attempt to take office is under way, or may still be carried out by the store. */
  private isCampaigning = false;
  private campaignNotBefore = 0;
  /**
   * The version at which this process last read the leader key from the store; null once it has
   * contested after that. While it stands, no term of this process can be newer.
   */
  private lastReadToken: number | null = null;

  constructor(
    private readonly store: Store,
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly member: string,
    private readonly leaderLeaseMs: number,
    private readonly succession: SuccessorPolicy,
    /** Whether a controller is known to read vouches. */
    supportsReinstatement: (peer: string) => boolean,
  ) {
    this.extensionVote = new LeaseExtensionVote(peerTransport, runtime, {
      mayBeLeader: () => this.role.value.kind === 'leader' || this.isCampaigning,
      isStoreAvailable: () => this.isStoreAvailable(),
      isLatestKnownToken: (fencingToken) => this.lastReadToken === fencingToken,
      supportsReinstatement,
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const subscription = this.extensionVote.listen();
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true });
    while (!signal.aborted) {
      try {
        const entry = await this.store.get(KEYS.leader, RequestPriority.Critical, signal);
        if (entry) await this.watchLeaderKey(entry, signal);
        await this.waitForPromises(signal);
        await this.delayCampaign(signal);
        const term = await this.campaign(signal);
        if (term) await this.renewLease(term.term, term.lease, signal);
      } catch (error) {
        if (signal.aborted) return;
        log.debug({ error: String(error) }, 'election: the store does not serve');
        await clock.sleep(jitter(this.leaderLeaseMs / 16, random), signal);
      }
    }
  }

  /** Returns once the leader key is gone. */
  private async watchLeaderKey(entry: Entry, signal: AbortSignal): Promise<void> {
    let current: Entry | null = entry;
    let revision = entry.version;
    this.becomeFollower(entry);
    while (current) {
      try {
        const news = await this.store.watch(KEYS.leader, revision, this.leaderLeaseMs * 2, signal);
        revision = news.revision;
        for (const event of news.events) {
          if (event.key !== KEYS.leader) continue;
          current = 'gone' in event ? null : event;
        }
      } catch (error) {
        if (signal.aborted) throw error;
        if (!(error instanceof RevisionCompactedError)) {
          await this.runtime.clock.sleep(
            jitter(this.leaderLeaseMs / 16, this.runtime.random),
            signal,
          );
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
   * Waits while this controller has pledged not to contest. One that has just started may have
   * pledged before its end: it waits as long as any pledge lasts, or until all others say that
   * there is nothing to wait for.
   */
  private async waitForPromises(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    const forgotten = this.runtime.startedAt + this.extensionMs * (1 + MAX_CLOCK_DRIFT);
    while (!signal.aborted && clock.now() < forgotten) {
      if (await this.extensionVote.confirmNoPromises(this.leaderLeaseMs / 20)) break;
      await clock.sleep(this.leaderLeaseMs / 20, signal);
    }
    for (;;) {
      const wait = Math.max(
        this.extensionVote.campaignBlockedForMs,
        this.campaignNotBefore - clock.now(),
      );
      if (wait <= 0 || signal.aborted) return;
      await clock.sleep(Math.min(wait, this.leaderLeaseMs / 10), signal);
    }
  }

  /**
   * Controllers that are restarted one after the other would each end a term if chance chose the next
   * leader: one that has been restarted already is the last to be restarted again. So whoever knows
   * of a younger process than its own waits a moment; twice that whoever should not lead as its
   * workers, if it fell silent, would spend their leases on silent controllers; and a part of it whoever
   * should not as those of another zone would if the zones were cut off from each other.
   */
  private async delayCampaign(signal: AbortSignal): Promise<void> {
    const { clock, startedAt } = this.runtime;
    const role = this.role.value;
    const last = role.kind === 'follower' ? role.leader : null;
    const younger = this.peerTransport.peers.some(
      (peer) =>
        peer !== last &&
        (this.peerTransport.startedAt(peer) ?? -Infinity) > startedAt + this.leaderLeaseMs,
    );
    const waits =
      Number(younger) +
      2 * Number(this.succession.shouldYield(last)) +
      0.7 * Number(this.succession.shouldYieldAcrossZones(last));
    if (waits > 0) await clock.sleep((waits * this.leaderLeaseMs) / 10, signal);
  }

  private async campaign(signal: AbortSignal): Promise<{ term: Term; lease: number } | null> {
    const { clock, random } = this.runtime;
    const value = { term: random.unique(), member: this.member };
    const sentAt = clock.now();
    const lease = await this.store.grantLease(this.leaderLeaseMs, signal);
    // From here on until the store's definite answer nothing may be pledged, and nothing is.
    if (this.extensionVote.campaignBlockedForMs > 0) return null;
    this.isCampaigning = true;
    this.lastReadToken = null;
    try {
      const fencingToken = await this.createLeaderKey(value, lease, signal);
      if (fencingToken !== null)
        return { term: this.becomeLeader(value.term, fencingToken, sentAt), lease };
    } finally {
      this.isCampaigning = false;
    }
    await this.store.revokeLease(lease).catch(() => undefined);
    return null;
  }

  /** The leader key's version if it is now ours; null if it certainly is not. */
  private async createLeaderKey(
    value: { term: string; member: string },
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
        // A refusal was not carried out; a copy without an answer still may be.
        else if (!ambiguous) return null;
      }
      await this.runtime.clock.sleep(jitter(this.leaderLeaseMs / 20, this.runtime.random), signal);
    }
  }

  private async isStoreAvailable(): Promise<boolean> {
    try {
      await this.store.get(KEYS.leader, RequestPriority.Critical);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Gives up office because others can serve better, and lets them go first. Who can take over does
   * so at once; if no other controller is heard there may be none, and an office that stays vacant
   * would turn away every worker that comes here.
   */
  resign(term: Term, isSuccessorReachable: boolean): void {
    const leases = isSuccessorReachable ? RESIGN_BACKOFF_LEASES : LONE_RESIGN_BACKOFF_LEASES;
    this.campaignNotBefore = this.runtime.clock.now() + this.leaderLeaseMs * leases;
    term.end();
  }

  private becomeLeader(id: string, fencingToken: number, sentAt: number): Term {
    const { clock, log } = this.runtime;
    const term = new Term(id, fencingToken, clock.now(), this.leaseExpiry(sentAt));
    log.info({ token: fencingToken }, 'leading');
    this.role.next({ kind: 'leader', term });
    return term;
  }

  /** Until when a lease counts that was asked for at `sentAt`. */
  private leaseExpiry(sentAt: number): number {
    return sentAt + this.leaderLeaseMs * (1 - MAX_CLOCK_DRIFT) - TIMER_RESOLUTION_MS;
  }

  /** Shorter than the lease, since a controller that has just started must wait it out. */
  private get extensionMs(): number {
    return this.leaderLeaseMs * EXTENSION_RATIO;
  }

  /**
   * A request without an answer may have been carried out. A leader whose right has lapsed, and that
   * goes on asking, would keep the key from those who hear the store's answers. A refusal was not
   * carried out, and keeps nothing from anybody.
   */
  private hasLongExpired(term: Term): boolean {
    return !term.isActive(this.runtime.clock.now() - this.leaderLeaseMs * EXPIRED_WAIT_RATIO);
  }

  /**
   * Asks the others for votes. Once the right has lapsed a promise for the time to come is not
   * enough, since another may have come and gone: they have to vouch that none did.
   */
  private async requestVotes(term: Term): Promise<void> {
    const { clock, log } = this.runtime;
    const sentAt = clock.now();
    const until = sentAt + this.extensionMs * (1 - MAX_CLOCK_DRIFT) - TIMER_RESOLUTION_MS;
    const withinMs = this.extensionMs / 2;
    const lapsed = !term.isActive(sentAt);
    const granted = lapsed
      ? await this.extensionVote.requestReinstatement(term.fencingToken, this.extensionMs, withinMs)
      : await this.extensionVote.requestExtension(term.fencingToken, this.extensionMs, withinMs);
    log.debug({ granted, lapsed }, 'asked for votes');
    if (!granted) return;
    if (!lapsed) term.extendByVotes(clock.now(), until);
    else if (!term.signal.aborted) {
      if (!term.isActive(clock.now()))
        log.info({ token: term.fencingToken }, 'lapsed right taken up again');
      term.reinstate(until);
    }
  }

  /**
   * Renews until the lease has ended. Past its bound the term is not active, but if the store then
   * renews the lease after all, the key was ours all the time and the term goes on; but where no
   * answer comes for long it is given up, see `longLapsed`.
   */
  private async renewLease(term: Term, lease: number, signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const everyMs = this.leaderLeaseMs / 5;
    const either = AbortSignal.any([signal, term.signal]);
    setMaxListeners(0, either);
    let failing = false;
    /** So many renewals in a row had no answer: one alone may be due to a stall of our own. */
    let unanswered = 0;
    try {
      while (!signal.aborted) {
        await clock.sleep(jitter(failing ? this.extensionMs / 4 : everyMs, random), either);
        // A silent store must not hold up the asking.
        if (failing) void this.requestVotes(term);
        // The leader gives up by itself when the store contradicts its records.
        if (either.aborted) break;
        const sentAt = clock.now();
        try {
          await this.store.renewLease(lease, everyMs, signal);
          failing = false;
          unanswered = 0;
          term.renewLease(this.leaseExpiry(sentAt));
        } catch (error) {
          if (error instanceof LeaseNotFoundError) {
            log.warn({ token: term.fencingToken }, 'leadership lost');
            return;
          }
          log.debug({ error: String(error) }, 'renewal failed');
          unanswered = error instanceof NoResponseError ? unanswered + 1 : 0;
          if (unanswered > 1 && this.hasLongExpired(term)) {
            log.warn(
              { token: term.fencingToken },
              'leadership given up, the store does not answer',
            );
            break;
          }
          if (!failing) void this.requestVotes(term);
          failing = true;
        }
      }
      await this.store.revokeLease(lease).catch(() => undefined);
    } finally {
      term.end();
      this.role.next({ kind: 'follower', leader: null, fencingToken: term.fencingToken });
    }
  }
}

const EXTENSION_RATIO = 0.45;
/** How long a leader without answers waits for the term to go on, as a share of its lease. */
const EXPIRED_WAIT_RATIO = 0.5;
/** For how many leader leases a controller that resigned does not contest. */
const RESIGN_BACKOFF_LEASES = 3;

/** The same where no other controller is heard: more than one that watches the key needs to take it. */
const LONE_RESIGN_BACKOFF_LEASES = 0.25;

/** Timers fire in steps of one or a few milliseconds. */
const TIMER_RESOLUTION_MS = 10;
