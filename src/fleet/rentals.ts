import { NoAnswer, type Reply, type Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/duty';
import { jitter } from '@leverhatch/core/random';
import type { Settings } from '../settings/deploy.js';
import { Budget } from '../state/budget.js';
import type { Entry, Store } from '../state/store.js';
import type { Term } from '../election/term.js';
import type { Rent } from '../scheduler/model.js';
import { RentalRecords } from './rental-records.js';
import {
  listPath,
  MAX_RENT,
  MAX_RETURN,
  parseList,
  parseRented,
  PATHS,
  rentBody,
  returnBody,
  type Listed,
} from '../wire/cloud.js';

/** A rental whose machines are not all known yet. */
interface Pending extends Rent {
  request: string;
  /** Steady time after which its machines must be in the list if there are any. */
  until: number;
}

/** An offer for which the cloud had no room. */
interface Refusal {
  /** Steady time until which it is left alone. */
  until: number;
  doublings: number;
}

export interface RentalEvents {
  rented(ids: string[], rent: Rent): void;
  listed(machines: Listed[]): void;
  returned(ids: string[]): void;
}

/** The leader's dealings with the cloud. */
export class Rentals {
  private readonly budget: Budget;
  private readonly records: RentalRecords;
  private readonly pending = new Map<string, Pending>();
  private readonly refusals = new Map<string, Refusal>();
  private readonly returns = new Set<string>();
  private returning = false;
  /** Since when the cloud has refused or been silent; null while it serves. */
  troubleSince: number | null = null;

  constructor(
    private readonly cloud: Transport,
    store: Store,
    private readonly runtime: Runtime,
    private readonly settings: Settings,
    private readonly term: Term,
    private readonly timeoutMs: number,
    private readonly events: RentalEvents,
  ) {
    const { rps } = settings.cloud;
    this.budget = new Budget(runtime.clock, rps * 0.9, rps);
    this.records = new RentalRecords(store, term);
  }

  /** After a takeover: requests whose machines may not be in the list yet. */
  restore(entry: Entry): void {
    const left = this.records.restore(entry);
    if (!left) return;
    const { clock } = this.runtime;
    this.pending.set(left.request, {
      ...left.record,
      request: left.request,
      until: clock.now() + this.settings.cloud.listLagMs * 2,
    });
  }

  /** Machines on order that are not known by name yet. */
  onOrder(now: number): Rent[] {
    for (const [request, p] of this.pending) {
      if (p.until < now) {
        this.pending.delete(request);
        void this.records.remove(request).catch(() => undefined);
      }
    }
    return [...this.pending.values()];
  }

  refused(type: string, zone: string, spot: boolean): boolean {
    return (this.refusals.get(offerKey(type, zone, spot))?.until ?? 0) > this.runtime.clock.now();
  }

  rent(rent: Rent): void {
    let left = rent.count;
    while (left > 0) {
      const count = Math.min(left, MAX_RENT);
      // The rest is asked for by a later round, which sees what these have brought.
      if (this.pending.size >= this.mostOrders) return;
      left -= count;
      const request = this.runtime.random.unique();
      // Until its answer comes it counts as ordered, so that no round orders the same again.
      this.pending.set(request, { ...rent, count, request, until: Infinity });
      void this.order(request, { ...rent, count }).catch((error: unknown) => {
        this.pending.delete(request);
        this.runtime.log.debug({ error: String(error) }, 'rental given up');
      });
    }
  }

  /** More orders than the cloud takes calls within some of its time-outs would only wait. */
  private get mostOrders(): number {
    return Math.ceil(((this.settings.cloud.rps * this.timeoutMs) / 1000) * ORDER_TIMEOUTS);
  }

  private async order(request: string, rent: Rent): Promise<void> {
    const { clock, random, log } = this.runtime;
    const { signal } = this.term;
    if (!(await this.records.add({ w: request, ...rent, at: clock.wall() }))) return;
    let wait = this.timeoutMs / 8;
    for (;;) {
      let reply: Reply | null = null;
      try {
        reply = await this.call('POST', PATHS.rent, rentBody({ request, ...rent }));
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
      }
      if (reply?.status === 200) {
        const ids = parseRented(reply.body);
        log.debug({ ...rent, got: ids.length }, 'rented');
        this.refusals.delete(offerKey(rent.type, rent.zone, rent.spot));
        if (ids.length < rent.count) this.refuse(rent);
        this.events.rented(ids, rent);
        this.pending.delete(request);
        // The record stays until the list shows the machines, so that a successor does not order
        // the same again.
        await clock.sleep(this.settings.cloud.listLagMs * 2, signal);
        await this.records.remove(request);
        return;
      }
      if (reply && reply.status === 503 && noCapacity(reply.body)) {
        this.refuse(rent);
        this.pending.delete(request);
        await this.records.remove(request);
        return;
      }
      if (reply && reply.status === 400) {
        await this.records.remove(request);
        throw new Error('the cloud calls the request malformed');
      }
      await clock.sleep(jitter(wait, random), signal);
      signal.throwIfAborted();
      wait = Math.min(wait * 2, this.timeoutMs);
    }
  }

  /**
   * An order that is refused costs the store two changes and the cloud a call. Where room is short
   * for minutes, asking for it at the same pace would hold up the starts and the users' submissions.
   */
  private refuse(rent: Rent): void {
    const key = offerKey(rent.type, rent.zone, rent.spot);
    const doublings = Math.min(
      (this.refusals.get(key)?.doublings ?? -1) + 1,
      MOST_REFUSAL_DOUBLINGS,
    );
    const pauseMs = this.settings.cloud.listLagMs * REFUSED_LAGS * 2 ** doublings;
    const until = this.runtime.clock.now() + jitter(pauseMs, this.runtime.random);
    this.refusals.set(key, { until, doublings });
    this.runtime.log.debug({ ...rent, pauseMs }, 'rental refused');
  }

  giveBack(id: string): void {
    this.returns.add(id);
    if (!this.returning) void this.returnAll();
  }

  private async returnAll(): Promise<void> {
    this.returning = true;
    while (this.returns.size > 0 && !this.term.signal.aborted) {
      const ids = [...this.returns].slice(0, MAX_RETURN);
      const reply = await this.call('POST', PATHS.giveBack, returnBody(ids)).catch(() => null);
      if (reply?.status === 200) {
        for (const id of ids) this.returns.delete(id);
        // Its room can be had again.
        this.refusals.clear();
        this.events.returned(ids);
      } else {
        await this.runtime.clock.sleep(
          jitter(this.timeoutMs / 4, this.runtime.random),
          this.term.signal,
        );
      }
    }
    this.returning = false;
  }

  /** Reads the whole list once. */
  async list(): Promise<boolean> {
    const machines: Listed[] = [];
    let after: string | null = null;
    for (;;) {
      const reply = await this.call('GET', listPath(after), null).catch(() => null);
      if (reply?.status !== 200) return false;
      const page = parseList(reply.body);
      machines.push(...page.machines);
      if (!page.more || page.machines.length === 0) break;
      after = page.machines[page.machines.length - 1]!.id;
    }
    this.events.listed(machines);
    return true;
  }

  private async call(method: 'GET' | 'POST', path: string, body: object | null): Promise<Reply> {
    const { signal } = this.term;
    await this.budget.take(1, path === PATHS.giveBack ? 0 : 1, signal);
    // Nothing in the cloud is fenced: a controller that stood still may by now be the last to know
    // that another leads. It would return machines with work on them, or rent some for what was
    // rented for already.
    if (method === 'POST' && !this.term.active(this.runtime.clock.now())) {
      throw new NoAnswer('office has lapsed');
    }
    try {
      const reply = await this.cloud.request(method, path, body, this.timeoutMs, signal);
      const served = reply.status === 200 || (reply.status === 503 && noCapacity(reply.body));
      this.note(served);
      return reply;
    } catch (error) {
      this.note(false);
      throw error;
    }
  }

  /**
   * Without these lines a log cannot tell a fleet that stays small because the cloud does not serve
   * from one that nothing was rented for.
   */
  private note(served: boolean): void {
    const { clock, log } = this.runtime;
    if (!served) {
      if (this.troubleSince === null) log.info({}, 'the cloud does not serve');
      this.troubleSince ??= clock.now();
      return;
    }
    if (this.troubleSince !== null) {
      const forMs = Math.round(clock.now() - this.troubleSince);
      log.info({ forMs }, 'the cloud serves again');
    }
    this.troubleSince = null;
  }
}

/** For how many of the cloud's time-outs orders may queue. */
const ORDER_TIMEOUTS = 4;

/** For how many times the list's lag an offer that was refused is left alone at first. */
const REFUSED_LAGS = 2;

/** How often that pause is doubled at most while the offer is refused again and again. */
const MOST_REFUSAL_DOUBLINGS = 2;

const offerKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;

const noCapacity = (body: unknown): boolean =>
  typeof body === 'object' &&
  body !== null &&
  (body as { error?: unknown }).error === 'no capacity';
