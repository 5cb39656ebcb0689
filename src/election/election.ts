import { setMaxListeners } from 'node:events';
import { BehaviorSubject } from 'rxjs';
import { z } from 'zod/mini';
import { NoAnswer } from '../http/client.js';
import type { PeerTransport } from '../peer/peer-transport.js';
import { LeaseExtensionVote } from '../peer/lease-extension-vote.js';
import { DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import { jitter } from '@leverhatch/core/random';
import { KEYS } from '../state/keys.js';
import { HistoryLost, LeaseGone, type Entry, type Store } from '../state/store.js';
import type { Succession } from './succession.js';
import { Term } from './term.js';

const leaderValue = z.object({ term: z.string(), member: z.string() });

export type Role =
  { kind: 'leader'; term: Term } | { kind: 'follower'; leader: string | null; token: number };

/** Holds or contests the leader key for as long as it runs. */
export class Election {
  readonly role = new BehaviorSubject<Role>({ kind: 'follower', leader: null, token: 0 });

  private readonly extensionVote: LeaseExtensionVote;
  /** An attempt to take office is under way, or may still be carried out by the store. */
  private contesting = false;
  private contestFrom = 0;
  /**
   * The version at which this process last read the leader key from the store; null once it has
   * contested after that. While it stands, no term of this process can be newer.
   */
  private seenToken: number | null = null;

  constructor(
    private readonly store: Store,
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly member: string,
    private readonly lifetimeMs: number,
    private readonly succession: Succession,
    /** Whether a controller is known to read vouches. */
    readsVouches: (peer: string) => boolean,
  ) {
    this.extensionVote = new LeaseExtensionVote(peerTransport, runtime, {
      mayLead: () => this.role.value.kind === 'leader' || this.contesting,
      storeServes: () => this.storeServes(),
      knowsNoLater: (token) => this.seenToken === token,
      readsVouches,
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const subscription = this.extensionVote.listen();
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true });
    while (!signal.aborted) {
      try {
        const entry = await this.store.get(KEYS.leader, 0, signal);
        if (entry) await this.follow(entry, signal);
        await this.untilFree(signal);
        await this.letOthersFirst(signal);
        const term = await this.contest(signal);
        if (term) await this.hold(term.term, term.lease, signal);
      } catch (error) {
        if (signal.aborted) return;
        log.debug({ error: String(error) }, 'election: the store does not serve');
        await clock.sleep(jitter(this.lifetimeMs / 16, random), signal);
      }
    }
  }

  /** Returns once the leader key is gone. */
  private async follow(entry: Entry, signal: AbortSignal): Promise<void> {
    let current: Entry | null = entry;
    let revision = entry.version;
    this.announce(entry);
    while (current) {
      try {
        const news = await this.store.watch(KEYS.leader, revision, this.lifetimeMs * 2, signal);
        revision = news.revision;
        for (const event of news.events) {
          if (event.key !== KEYS.leader) continue;
          current = 'gone' in event ? null : event;
        }
      } catch (error) {
        if (signal.aborted) throw error;
        if (!(error instanceof HistoryLost)) {
          await this.runtime.clock.sleep(jitter(this.lifetimeMs / 16, this.runtime.random), signal);
        }
        current = await this.store.get(KEYS.leader, 0, signal);
        if (current) revision = current.version;
      }
      if (current) this.announce(current);
    }
  }

  private announce(entry: Entry): void {
    const value = z.parse(leaderValue, entry.value);
    this.seenToken = entry.version;
    const before = this.role.value;
    if (before.kind === 'follower' && before.token === entry.version) return;
    this.role.next({ kind: 'follower', leader: value.member, token: entry.version });
  }

  /**
   * Waits while this controller has pledged not to contest. One that has just started may have
   * pledged before its end: it waits as long as any pledge lasts, or until all others say that
   * there is nothing to wait for.
   */
  private async untilFree(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    const forgotten = this.runtime.startedAt + this.pledgeMs * (1 + DRIFT);
    while (!signal.aborted && clock.now() < forgotten) {
      if (await this.extensionVote.allFree(this.lifetimeMs / 20)) break;
      await clock.sleep(this.lifetimeMs / 20, signal);
    }
    for (;;) {
      const wait = Math.max(this.extensionVote.heldForMs, this.contestFrom - clock.now());
      if (wait <= 0 || signal.aborted) return;
      await clock.sleep(Math.min(wait, this.lifetimeMs / 10), signal);
    }
  }

  /**
   * Controllers that are restarted one after the other would each end a term if chance chose the next
   * leader: one that has been restarted already is the last to be restarted again. So whoever knows
   * of a younger process than its own waits a moment; twice that whoever should not lead as its
   * workers, if it fell silent, would spend their leases on silent controllers; and a part of it whoever
   * should not as those of another zone would if the zones were cut off from each other.
   */
  private async letOthersFirst(signal: AbortSignal): Promise<void> {
    const { clock, startedAt } = this.runtime;
    const role = this.role.value;
    const last = role.kind === 'follower' ? role.leader : null;
    const younger = this.peerTransport.peers.some(
      (p) =>
        p !== last && (this.peerTransport.startedAt(p) ?? -Infinity) > startedAt + this.lifetimeMs,
    );
    const waits =
      Number(younger) +
      2 * Number(this.succession.othersFirst(last)) +
      0.7 * Number(this.succession.othersFirstAcrossZones(last));
    if (waits > 0) await clock.sleep((waits * this.lifetimeMs) / 10, signal);
  }

  private async contest(signal: AbortSignal): Promise<{ term: Term; lease: number } | null> {
    const { clock, random } = this.runtime;
    const value = { term: random.unique(), member: this.member };
    const sentAt = clock.now();
    const lease = await this.store.grant(this.lifetimeMs, signal);
    // From here on until the store's definite answer nothing may be pledged, and nothing is.
    if (this.extensionVote.heldForMs > 0) return null;
    this.contesting = true;
    this.seenToken = null;
    try {
      const token = await this.create(value, lease, signal);
      if (token !== null) return { term: this.take(value.term, token, sentAt), lease };
    } finally {
      this.contesting = false;
    }
    await this.store.revoke(lease).catch(() => undefined);
    return null;
  }

  /** The leader key's version if it is now ours; null if it certainly is not. */
  private async create(
    value: { term: string; member: string },
    lease: number,
    signal: AbortSignal,
  ): Promise<number | null> {
    let doubtful = false;
    for (;;) {
      signal.throwIfAborted();
      try {
        const outcome = await this.store.txn(
          [{ key: KEYS.leader, version: 0 }],
          [{ put: KEYS.leader, value, lease }],
          0,
          signal,
        );
        if (outcome.ok) return outcome.revision;
        if (!doubtful) return null;
        const entry = await this.store.read(KEYS.leader, signal);
        if (!entry) continue;
        return z.parse(leaderValue, entry.value).term === value.term ? entry.version : null;
      } catch (error) {
        if (error instanceof LeaseGone) return null;
        if (error instanceof NoAnswer) doubtful = true;
        // A refusal was not carried out; a copy without an answer still may be.
        else if (!doubtful) return null;
      }
      await this.runtime.clock.sleep(jitter(this.lifetimeMs / 20, this.runtime.random), signal);
    }
  }

  private async storeServes(): Promise<boolean> {
    try {
      await this.store.get(KEYS.leader, 0);
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
  resign(term: Term, successorHeard: boolean): void {
    const leases = successorHeard ? RESIGNED_LEASES : ALONE_LEASES;
    this.contestFrom = this.runtime.clock.now() + this.lifetimeMs * leases;
    term.end();
  }

  private take(id: string, token: number, sentAt: number): Term {
    const { clock, log } = this.runtime;
    const term = new Term(id, token, clock.now(), this.bound(sentAt));
    log.info({ token }, 'leading');
    this.role.next({ kind: 'leader', term });
    return term;
  }

  /** Until when a lease counts that was asked for at `sentAt`. */
  private bound(sentAt: number): number {
    return sentAt + this.lifetimeMs * (1 - DRIFT) - TICK_MS;
  }

  /** Shorter than the lease, since a controller that has just started must wait it out. */
  private get pledgeMs(): number {
    return this.lifetimeMs * PLEDGE_SHARE;
  }

  /**
   * A request without an answer may have been carried out. A leader whose right has lapsed, and that
   * goes on asking, would keep the key from those who hear the store's answers. A refusal was not
   * carried out, and keeps nothing from anybody.
   */
  private longLapsed(term: Term): boolean {
    return !term.active(this.runtime.clock.now() - this.lifetimeMs * LAPSED_SHARE);
  }

  /**
   * Asks the others for votes. Once the right has lapsed a promise for the time to come is not
   * enough, since another may have come and gone: they have to vouch that none did.
   */
  private async askVotes(term: Term): Promise<void> {
    const { clock, log } = this.runtime;
    const sentAt = clock.now();
    const until = sentAt + this.pledgeMs * (1 - DRIFT) - TICK_MS;
    const withinMs = this.pledgeMs / 2;
    const lapsed = !term.active(sentAt);
    const granted = lapsed
      ? await this.extensionVote.collectVouches(term.token, this.pledgeMs, withinMs)
      : await this.extensionVote.collect(term.token, this.pledgeMs, withinMs);
    log.debug({ granted, lapsed }, 'asked for votes');
    if (!granted) return;
    if (!lapsed) term.pledged(clock.now(), until);
    else if (!term.signal.aborted) {
      if (!term.active(clock.now())) log.info({ token: term.token }, 'lapsed right taken up again');
      term.vouched(until);
    }
  }

  /**
   * Renews until the lease has ended. Past its bound the term is not active, but if the store then
   * renews the lease after all, the key was ours all the time and the term goes on; but where no
   * answer comes for long it is given up, see `longLapsed`.
   */
  private async hold(term: Term, lease: number, signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const everyMs = this.lifetimeMs / 5;
    const either = AbortSignal.any([signal, term.signal]);
    setMaxListeners(0, either);
    let failing = false;
    /** So many renewals in a row had no answer: one alone may be due to a stall of our own. */
    let unanswered = 0;
    try {
      while (!signal.aborted) {
        await clock.sleep(jitter(failing ? this.pledgeMs / 4 : everyMs, random), either);
        // A silent store must not hold up the asking.
        if (failing) void this.askVotes(term);
        // The leader gives up by itself when the store contradicts its records.
        if (either.aborted) break;
        const sentAt = clock.now();
        try {
          await this.store.renew(lease, everyMs, signal);
          failing = false;
          unanswered = 0;
          term.extend(this.bound(sentAt));
        } catch (error) {
          if (error instanceof LeaseGone) {
            log.warn({ token: term.token }, 'leadership lost');
            return;
          }
          log.debug({ error: String(error) }, 'renewal failed');
          unanswered = error instanceof NoAnswer ? unanswered + 1 : 0;
          if (unanswered > 1 && this.longLapsed(term)) {
            log.warn({ token: term.token }, 'leadership given up, the store does not answer');
            break;
          }
          if (!failing) void this.askVotes(term);
          failing = true;
        }
      }
      await this.store.revoke(lease).catch(() => undefined);
    } finally {
      term.end();
      this.role.next({ kind: 'follower', leader: null, token: term.token });
    }
  }
}

const PLEDGE_SHARE = 0.45;
/** How long a leader without answers waits for the term to go on, as a share of its lease. */
const LAPSED_SHARE = 0.5;
/** For how many leader leases a controller that resigned does not contest. */
const RESIGNED_LEASES = 3;

/** The same where no other controller is heard: more than one that watches the key needs to take it. */
const ALONE_LEASES = 0.25;

/** Timers fire in steps of one or a few milliseconds. */
const TICK_MS = 10;
