import { setMaxListeners } from 'node:events';
import { BehaviorSubject } from 'rxjs';
import { z } from 'zod/mini';
import { DRIFT } from '../runtime/clock.js';
import type { Runtime } from '../runtime/duty.js';
import { jitter } from '../runtime/random.js';
import { KEYS } from '../state/keys.js';
import { HistoryLost, LeaseGone, type Entry, type Store } from '../state/store.js';
import { Term } from './term.js';

const leaderValue = z.object({ term: z.string(), member: z.string() });

export type Role =
  { kind: 'leader'; term: Term } | { kind: 'follower'; leader: string | null; token: number };

/** Holds or contests the leader key for as long as it runs. */
export class Election {
  readonly role = new BehaviorSubject<Role>({ kind: 'follower', leader: null, token: 0 });

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly member: string,
    private readonly lifetimeMs: number,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    while (!signal.aborted) {
      try {
        const entry = await this.store.get(KEYS.leader, 0, signal);
        if (entry) await this.follow(entry, signal);
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
    const before = this.role.value;
    if (before.kind === 'follower' && before.token === entry.version) return;
    this.role.next({ kind: 'follower', leader: value.member, token: entry.version });
  }

  private async contest(signal: AbortSignal): Promise<{ term: Term; lease: number } | null> {
    const { clock, random } = this.runtime;
    const value = { term: random.unique(), member: this.member };
    const sentAt = clock.now();
    const lease = await this.store.grant(this.lifetimeMs, signal);
    const change = { put: KEYS.leader, value, lease };
    let doubtful: boolean;
    try {
      const outcome = await this.store.commit(
        [{ key: KEYS.leader, version: 0 }],
        [change],
        0,
        signal,
      );
      if (outcome.ok) {
        return { term: this.take(value.term, outcome.revision, sentAt), lease };
      }
      doubtful = outcome.doubtful;
    } catch (error) {
      if (!(error instanceof LeaseGone)) throw error;
      return null;
    }
    if (doubtful) {
      const entry = await this.store.get(KEYS.leader, 0, signal);
      if (entry && z.parse(leaderValue, entry.value).term === value.term) {
        return { term: this.take(value.term, entry.version, sentAt), lease };
      }
    }
    await this.store.revoke(lease).catch(() => undefined);
    return null;
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

  /**
   * Renews until the lease has ended. Past its bound the term is not active, but if the store then
   * renews the lease after all, the key was ours all the time and the term goes on.
   */
  private async hold(term: Term, lease: number, signal: AbortSignal): Promise<void> {
    const { clock, random, log } = this.runtime;
    const everyMs = this.lifetimeMs / 5;
    const either = AbortSignal.any([signal, term.signal]);
    setMaxListeners(0, either);
    try {
      while (!signal.aborted) {
        await clock.sleep(jitter(everyMs, random), either);
        // The leader gives up by itself when the store contradicts its records.
        if (either.aborted) break;
        const sentAt = clock.now();
        try {
          await this.store.renew(lease, everyMs * 2, signal);
          term.extend(this.bound(sentAt));
        } catch (error) {
          if (error instanceof LeaseGone) {
            log.warn({ token: term.token }, 'leadership lost');
            return;
          }
          log.debug({ error: String(error) }, 'renewal failed');
        }
      }
      await this.store.revoke(lease).catch(() => undefined);
    } finally {
      term.end();
      this.role.next({ kind: 'follower', leader: null, token: term.token });
    }
  }
}

/** Timers fire in steps of one or a few milliseconds. */
const TICK_MS = 10;
