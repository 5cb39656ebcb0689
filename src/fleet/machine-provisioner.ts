/** Provisions, lists and releases machines through the API of the cloud. */
import type { Runtime } from '@leverhatch/core/supervised-task';
import { jitter } from '@leverhatch/core/random';
import { RequestPriority } from '@leverhatch/core/store';
import type { Term } from '../election/term.js';
import { NoResponseError, type Reply, type Transport } from '../http/client.js';
import type { ScaleOutRequest } from '../scheduler/scheduling-model.js';
import type { Settings } from '../settings/deploy.js';
import { RateLimiter } from '../state/rate-limiter.js';
import type { Entry, Store } from '../state/store.js';
import {
  CLOUD_PATHS,
  listPath,
  MAX_MACHINES_PER_RELEASE,
  MAX_MACHINES_PER_REQUEST,
  parseMachineList,
  parseProvisioned,
  provisioningBody,
  releaseBody,
  type ListedMachine,
} from '../wire/cloud.js';
import { ProvisioningRecords } from './provisioning-records.js';

/** Share of the cloud's rate limit that is used on average. */
const RATE_LIMIT_SHARE = 0.9;

/** Bound on pending requests: as many as the rate limit admits within this many call time-outs. */
const MAX_PENDING_TIMEOUTS = 4;

/** The first retry of a provisioning request is delayed by the call time-out divided by this. */
const PROVISION_RETRY_TIMEOUT_DIVISOR = 8;

/** A retry of a release is delayed by the call time-out divided by this. */
const RELEASE_RETRY_TIMEOUT_DIVISOR = 4;

/** Number of listing lags after which the machines of a request are certainly listed. */
const LISTING_COMPLETE_LIST_LAGS = 2;

/** Initial backoff for an offer that is out of capacity, in listing lags. */
const INITIAL_BACKOFF_LIST_LAGS = 2;

/** Maximum number of doublings of the backoff while the offer stays out of capacity. */
const MAX_BACKOFF_DOUBLINGS = 2;

/** The outcome of a provisioning request according to the reply. */
type ProvisioningOutcome = 'provisioned' | 'out of capacity' | 'malformed' | 'unavailable';

/** A provisioning request whose machines are not known by id yet. */
interface PendingRequest extends ScaleOutRequest {
  request: string;
  /** Monotonic time after which its machines, if any, are certainly listed. */
  until: number;
}

/** Backoff state of an offer that is out of capacity. */
interface CapacityBackoff {
  /** Monotonic time until which the offer is not requested. */
  until: number;
  doublings: number;
}

/** Callbacks for results from the cloud. */
interface ProvisioningEvents {
  provisioned(ids: string[], request: ScaleOutRequest): void;
  /** All machines of a complete listing. */
  listed(machines: ListedMachine[]): void;
  /** The cloud has confirmed the release. */
  released(ids: string[]): void;
}

/** The cloud rejected a provisioning request as malformed; it is not retried. */
class MalformedRequestError extends Error {
  constructor(readonly request: string) {
    super(`the cloud rejects provisioning request ${request} as malformed`);
    this.name = 'MalformedRequestError';
  }
}

/** The leader's client of the cloud API. */
export class MachineProvisioner {
  private readonly rateLimiter: RateLimiter;
  private readonly records: ProvisioningRecords;
  private readonly pending = new Map<string, PendingRequest>();
  private readonly backoffs = new Map<string, CapacityBackoff>();
  private readonly releaseQueue = new Set<string>();
  private isReleasing = false;
  /** Monotonic time since which the cloud has been unavailable; null while it is available. */
  unavailableSince: number | null = null;

  constructor(
    private readonly cloud: Transport,
    store: Store,
    private readonly runtime: Runtime,
    private readonly settings: Settings,
    private readonly term: Term,
    /** Time-out of one call, in milliseconds. */
    private readonly timeoutMs: number,
    private readonly events: ProvisioningEvents,
  ) {
    const { rps } = settings.cloud;
    this.rateLimiter = new RateLimiter(runtime.clock, rps * RATE_LIMIT_SHARE, rps);
    this.records = new ProvisioningRecords(store, term);
  }

  /** Restores a request of an earlier leader whose machines may not be listed yet. */
  restore(entry: Entry): void {
    const restored = this.records.restore(entry);
    if (!restored) return;
    const { clock } = this.runtime;
    this.pending.set(restored.request, {
      ...restored.record,
      request: restored.request,
      until: clock.now() + this.settings.cloud.listLagMs * LISTING_COMPLETE_LIST_LAGS,
    });
  }

  /** Returns the requests whose machines are not known by id yet, and drops expired ones. */
  pendingRequests(now: number): ScaleOutRequest[] {
    for (const [request, pending] of this.pending) {
      if (pending.until < now) {
        this.pending.delete(request);
        // If the deletion fails, the record is harmless: the next leader lets it expire as well.
        void this.records.remove(request).catch(() => undefined);
      }
    }
    return [...this.pending.values()];
  }

  /** Whether the offer was recently out of capacity and must not be requested now. */
  isBackedOff(type: string, zone: string, spot: boolean): boolean {
    return (this.backoffs.get(offerKey(type, zone, spot))?.until ?? 0) > this.runtime.clock.now();
  }

  /** Requests machines. Those beyond the bound on pending requests are left to a later cycle. */
  provision(scaleOut: ScaleOutRequest): void {
    let remaining = scaleOut.count;
    while (remaining > 0) {
      const count = Math.min(remaining, MAX_MACHINES_PER_REQUEST);
      if (this.pending.size >= this.maxPendingRequests) return;
      remaining -= count;
      const request = this.runtime.random.unique();
      // Pending until it is answered, so that no cycle requests the same machines again.
      this.pending.set(request, { ...scaleOut, count, request, until: Infinity });
      void this.submitRequest(request, { ...scaleOut, count }).catch((error: unknown) => {
        this.pending.delete(request);
        this.runtime.log.debug({ error: String(error) }, 'provisioning request abandoned');
      });
    }
  }

  /** More requests than the rate limit admits within a few time-outs would only wait in a queue. */
  private get maxPendingRequests(): number {
    return Math.ceil(((this.settings.cloud.rps * this.timeoutMs) / 1000) * MAX_PENDING_TIMEOUTS);
  }

  private async submitRequest(request: string, scaleOut: ScaleOutRequest): Promise<void> {
    const { clock, random } = this.runtime;
    const { signal } = this.term;
    if (!(await this.records.add(request, { ...scaleOut, at: clock.wall() }))) return;
    const body = provisioningBody({ request, ...scaleOut });
    let retryDelayMs = this.timeoutMs / PROVISION_RETRY_TIMEOUT_DIVISOR;
    for (;;) {
      let reply: Reply | null = null;
      try {
        reply = await this.call('POST', CLOUD_PATHS.provision, body);
      } catch (error) {
        // The request may have been carried out. A retry with the same id returns the same
        // machines.
        if (!(error instanceof NoResponseError)) throw error;
      }
      switch (outcomeOf(reply)) {
        case 'provisioned':
          this.completeRequest(request, scaleOut, reply?.body);
          // The machines may not be listed yet; without the record a new leader would provision the
          // same machines again.
          await clock.sleep(this.settings.cloud.listLagMs * LISTING_COMPLETE_LIST_LAGS, signal);
          await this.records.remove(request);
          return;
        case 'out of capacity':
          this.backOff(scaleOut);
          this.pending.delete(request);
          await this.records.remove(request);
          return;
        case 'malformed':
          await this.records.remove(request);
          throw new MalformedRequestError(request);
        case 'unavailable':
          await clock.sleep(jitter(retryDelayMs, random), signal);
          signal.throwIfAborted();
          retryDelayMs = Math.min(retryDelayMs * 2, this.timeoutMs);
      }
    }
  }

  private completeRequest(request: string, scaleOut: ScaleOutRequest, body: unknown): void {
    const ids = parseProvisioned(body);
    this.runtime.log.debug({ ...scaleOut, provisioned: ids.length }, 'machines provisioned');
    this.backoffs.delete(offerKey(scaleOut.type, scaleOut.zone, scaleOut.spot));
    if (ids.length < scaleOut.count) this.backOff(scaleOut);
    this.events.provisioned(ids, scaleOut);
    this.pending.delete(request);
  }

  /**
   * Backs off from an offer that is out of capacity. Each request without capacity costs two store
   * writes and one cloud call. At a constant rate, retries during a shortage that lasts minutes
   * would delay starts and users' submissions.
   */
  private backOff(scaleOut: ScaleOutRequest): void {
    const key = offerKey(scaleOut.type, scaleOut.zone, scaleOut.spot);
    const doublings = Math.min(
      (this.backoffs.get(key)?.doublings ?? -1) + 1,
      MAX_BACKOFF_DOUBLINGS,
    );
    const pauseMs = this.settings.cloud.listLagMs * INITIAL_BACKOFF_LIST_LAGS * 2 ** doublings;
    const until = this.runtime.clock.now() + jitter(pauseMs, this.runtime.random);
    this.backoffs.set(key, { until, doublings });
    this.runtime.log.debug({ ...scaleOut, pauseMs }, 'offer out of capacity, backing off');
  }

  /** Releases a machine. The call is retried until the cloud confirms it or the term ends. */
  release(id: string): void {
    this.releaseQueue.add(id);
    if (!this.isReleasing) void this.releaseQueued();
  }

  private async releaseQueued(): Promise<void> {
    this.isReleasing = true;
    while (this.releaseQueue.size > 0 && !this.term.signal.aborted) {
      const ids = [...this.releaseQueue].slice(0, MAX_MACHINES_PER_RELEASE);
      // The release is retried whatever the error.
      const reply = await this.call('POST', CLOUD_PATHS.release, releaseBody(ids)).catch(
        () => null,
      );
      if (reply?.status === 200) {
        for (const id of ids) this.releaseQueue.delete(id);
        // The capacity of the released machines may be available again.
        this.backoffs.clear();
        this.events.released(ids);
      } else {
        await this.runtime.clock.sleep(
          jitter(this.timeoutMs / RELEASE_RETRY_TIMEOUT_DIVISOR, this.runtime.random),
          this.term.signal,
        );
      }
    }
    this.isReleasing = false;
  }

  /**
   * Reads the complete listing once. Returns false and reports nothing if any page could not be
   * read.
   */
  async listMachines(): Promise<boolean> {
    const machines: ListedMachine[] = [];
    let lastId: string | null = null;
    for (;;) {
      // `recordOutcome` logs outages; the listing is read again after the usual interval.
      const reply = await this.call('GET', listPath(lastId), null).catch(() => null);
      if (reply?.status !== 200) return false;
      const page = parseMachineList(reply.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) break;
      lastId = last.id;
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
    // The cloud API has no fencing tokens, and a controller that was paused may not know of a new
    // leader yet. It could release machines that have placements, or provision machines a second
    // time.
    if (method === 'POST' && !this.term.isActive(this.runtime.clock.now())) {
      throw new NoResponseError('leadership has lapsed');
    }
    try {
      const reply = await this.cloud.request(method, path, body, this.timeoutMs, signal);
      const isServed =
        reply.status === 200 || (reply.status === 503 && isOutOfCapacity(reply.body));
      this.recordOutcome(isServed);
      return reply;
    } catch (error) {
      this.recordOutcome(false);
      throw error;
    }
  }

  /**
   * Tracks and logs outages of the cloud. Without these log lines, a fleet that cannot grow looks
   * like one that does not need to.
   */
  private recordOutcome(isServed: boolean): void {
    const { clock, log } = this.runtime;
    if (!isServed) {
      if (this.unavailableSince === null) log.info({}, 'cloud unavailable');
      this.unavailableSince ??= clock.now();
      return;
    }
    if (this.unavailableSince !== null) {
      const forMs = Math.round(clock.now() - this.unavailableSince);
      log.info({ forMs }, 'cloud available again');
    }
    this.unavailableSince = null;
  }
}

/** Key of an offer: a machine type in one zone, spot or on demand. */
const offerKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;

const isOutOfCapacity = (body: unknown): boolean =>
  typeof body === 'object' &&
  body !== null &&
  (body as { error?: unknown }).error === 'no capacity';

function outcomeOf(reply: Reply | null): ProvisioningOutcome {
  if (reply?.status === 200) return 'provisioned';
  if (reply?.status === 503 && isOutOfCapacity(reply.body)) return 'out of capacity';
  return reply?.status === 400 ? 'malformed' : 'unavailable';
}
