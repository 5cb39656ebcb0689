import { RequestPriority } from '@leverhatch/core/store';
import { NoResponseError, type Reply, type Transport } from '../http/client.js';
import type { Runtime } from '@leverhatch/core/duty';
import { jitter } from '@leverhatch/core/random';
import type { Settings } from '../settings/deploy.js';
import { RateLimiter } from '../state/rate-limiter.js';
import type { Entry, Store } from '../state/store.js';
import type { Term } from '../election/term.js';
import type { ScaleOutRequest } from '../scheduler/scheduling-model.js';
import { ProvisioningRecords } from './provisioning-records.js';
import {
  listPath,
  MAX_MACHINES_PER_REQUEST,
  MAX_MACHINES_PER_RELEASE,
  parseMachineList,
  parseProvisioned,
  CLOUD_PATHS,
  provisioningBody,
  releaseBody,
  type ListedMachine,
} from '../wire/cloud.js';

/** A rental whose machines are not all known yet. */
interface PendingRequest extends ScaleOutRequest {
  request: string;
  /** Steady time after which its machines must be in the list if there are any. */
  until: number;
}

/** An offer for which the cloud had no room. */
interface CapacityBackoff {
  /** Steady time until which it is left alone. */
  until: number;
  doublings: number;
}

export interface ProvisioningEvents {
  provisioned(ids: string[], request: ScaleOutRequest): void;
  listed(machines: ListedMachine[]): void;
  released(ids: string[]): void;
}

/** The leader's dealings with the cloud. */
export class MachineProvisioner {
  private readonly rateLimiter: RateLimiter;
  private readonly records: ProvisioningRecords;
  private readonly pending = new Map<string, PendingRequest>();
  private readonly backoffs = new Map<string, CapacityBackoff>();
  private readonly releaseQueue = new Set<string>();
  private isReleasing = false;
  /** Since when the cloud has refused or been silent; null while it serves. */
  unavailableSince: number | null = null;

  constructor(
    private readonly cloud: Transport,
    store: Store,
    private readonly runtime: Runtime,
    private readonly settings: Settings,
    private readonly term: Term,
    private readonly timeoutMs: number,
    private readonly events: ProvisioningEvents,
  ) {
    const { rps } = settings.cloud;
    this.rateLimiter = new RateLimiter(runtime.clock, rps * 0.9, rps);
    this.records = new ProvisioningRecords(store, term);
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
  pendingRequests(now: number): ScaleOutRequest[] {
    for (const [request, pending] of this.pending) {
      if (pending.until < now) {
        this.pending.delete(request);
        void this.records.remove(request).catch(() => undefined);
      }
    }
    return [...this.pending.values()];
  }

  isBackedOff(type: string, zone: string, spot: boolean): boolean {
    return (this.backoffs.get(offerKey(type, zone, spot))?.until ?? 0) > this.runtime.clock.now();
  }

  provision(rent: ScaleOutRequest): void {
    let left = rent.count;
    while (left > 0) {
      const count = Math.min(left, MAX_MACHINES_PER_REQUEST);
      // The rest is asked for by a later round, which sees what these have brought.
      if (this.pending.size >= this.maxPendingRequests) return;
      left -= count;
      const request = this.runtime.random.unique();
      // Until its answer comes it counts as ordered, so that no round orders the same again.
      this.pending.set(request, { ...rent, count, request, until: Infinity });
      void this.submitRequest(request, { ...rent, count }).catch((error: unknown) => {
        this.pending.delete(request);
        this.runtime.log.debug({ error: String(error) }, 'rental given up');
      });
    }
  }

  /** More orders than the cloud takes calls within some of its time-outs would only wait. */
  private get maxPendingRequests(): number {
    return Math.ceil(((this.settings.cloud.rps * this.timeoutMs) / 1000) * PENDING_TIMEOUTS);
  }

  private async submitRequest(request: string, rent: ScaleOutRequest): Promise<void> {
    const { clock, random, log } = this.runtime;
    const { signal } = this.term;
    if (!(await this.records.add({ w: request, ...rent, at: clock.wall() }))) return;
    let wait = this.timeoutMs / 8;
    for (;;) {
      let reply: Reply | null = null;
      try {
        reply = await this.call(
          'POST',
          CLOUD_PATHS.provision,
          provisioningBody({ request, ...rent }),
        );
      } catch (error) {
        if (!(error instanceof NoResponseError)) throw error;
      }
      if (reply?.status === 200) {
        const ids = parseProvisioned(reply.body);
        log.debug({ ...rent, got: ids.length }, 'rented');
        this.backoffs.delete(offerKey(rent.type, rent.zone, rent.spot));
        if (ids.length < rent.count) this.backOff(rent);
        this.events.provisioned(ids, rent);
        this.pending.delete(request);
        // The record stays until the list shows the machines, so that a successor does not order
        // the same again.
        await clock.sleep(this.settings.cloud.listLagMs * 2, signal);
        await this.records.remove(request);
        return;
      }
      if (reply && reply.status === 503 && isOutOfCapacity(reply.body)) {
        this.backOff(rent);
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
  private backOff(rent: ScaleOutRequest): void {
    const key = offerKey(rent.type, rent.zone, rent.spot);
    const doublings = Math.min(
      (this.backoffs.get(key)?.doublings ?? -1) + 1,
      MAX_BACKOFF_DOUBLINGS,
    );
    const pauseMs = this.settings.cloud.listLagMs * BACKOFF_LIST_LAGS * 2 ** doublings;
    const until = this.runtime.clock.now() + jitter(pauseMs, this.runtime.random);
    this.backoffs.set(key, { until, doublings });
    this.runtime.log.debug({ ...rent, pauseMs }, 'rental refused');
  }

  release(id: string): void {
    this.releaseQueue.add(id);
    if (!this.isReleasing) void this.releaseQueued();
  }

  private async releaseQueued(): Promise<void> {
    this.isReleasing = true;
    while (this.releaseQueue.size > 0 && !this.term.signal.aborted) {
      const ids = [...this.releaseQueue].slice(0, MAX_MACHINES_PER_RELEASE);
      const reply = await this.call('POST', CLOUD_PATHS.release, releaseBody(ids)).catch(
        () => null,
      );
      if (reply?.status === 200) {
        for (const id of ids) this.releaseQueue.delete(id);
        // Its room can be had again.
        this.backoffs.clear();
        this.events.released(ids);
      } else {
        await this.runtime.clock.sleep(
          jitter(this.timeoutMs / 4, this.runtime.random),
          this.term.signal,
        );
      }
    }
    this.isReleasing = false;
  }

  /** Reads the whole list once. */
  async listMachines(): Promise<boolean> {
    const machines: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      const reply = await this.call('GET', listPath(after), null).catch(() => null);
      if (reply?.status !== 200) return false;
      const page = parseMachineList(reply.body);
      machines.push(...page.machines);
      if (!page.more || page.machines.length === 0) break;
      after = page.machines[page.machines.length - 1]!.id;
    }
    this.events.listed(machines);
    return true;
  }

  private async call(method: 'GET' | 'POST', path: string, body: object | null): Promise<Reply> {
    const { signal } = this.term;
    await this.rateLimiter.acquire(
      1,
      path === CLOUD_PATHS.release ? RequestPriority.Critical : RequestPriority.High,
      signal,
    );
    // Nothing in the cloud is fenced: a controller that stood still may by now be the last to know
    // that another leads. It would return machines with work on them, or rent some for what was
    // rented for already.
    if (method === 'POST' && !this.term.isActive(this.runtime.clock.now())) {
      throw new NoResponseError('office has lapsed');
    }
    try {
      const reply = await this.cloud.request(method, path, body, this.timeoutMs, signal);
      const served = reply.status === 200 || (reply.status === 503 && isOutOfCapacity(reply.body));
      this.recordOutcome(served);
      return reply;
    } catch (error) {
      this.recordOutcome(false);
      throw error;
    }
  }

  /**
   * Without these lines a log cannot tell a fleet that stays small because the cloud does not serve
   * from one that nothing was rented for.
   */
  private recordOutcome(served: boolean): void {
    const { clock, log } = this.runtime;
    if (!served) {
      if (this.unavailableSince === null) log.info({}, 'the cloud does not serve');
      this.unavailableSince ??= clock.now();
      return;
    }
    if (this.unavailableSince !== null) {
      const forMs = Math.round(clock.now() - this.unavailableSince);
      log.info({ forMs }, 'the cloud serves again');
    }
    this.unavailableSince = null;
  }
}

/** For how many of the cloud's time-outs orders may queue. */
const PENDING_TIMEOUTS = 4;

/** For how many times the list's lag an offer that was refused is left alone at first. */
const BACKOFF_LIST_LAGS = 2;

/** How often that pause is doubled at most while the offer is refused again and again. */
const MAX_BACKOFF_DOUBLINGS = 2;

const offerKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;

const isOutOfCapacity = (body: unknown): boolean =>
  typeof body === 'object' &&
  body !== null &&
  (body as { error?: unknown }).error === 'no capacity';
