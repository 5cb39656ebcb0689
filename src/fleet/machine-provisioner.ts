/** Provisions, lists and releases machines at the cloud. */
import type { Runtime } from '@leverhatch/core/duty';
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

/** Share of the cloud's rate limit that is used. */
const RATE_RATIO = 0.9;

/** Requests may queue for as long as the cloud takes for this many time-outs' worth of calls. */
const PENDING_TIMEOUTS = 4;

/** Divides the time-out of a call into the pause before a provisioning request is first repeated. */
const FIRST_RETRY_TIMEOUT_DIVISOR = 8;

/** Divides the time-out of a call into the pause before a release is repeated. */
const RELEASE_RETRY_TIMEOUT_DIVISOR = 4;

/** Listing lags after which the machines of an answered request are certainly listed. */
const LISTED_LIST_LAGS = 2;

/** Listing lags for which an offer that is out of capacity is backed off at first. */
const BACKOFF_LIST_LAGS = 2;

/** Bound on doublings of that time while the offer stays out of capacity. */
const MAX_BACKOFF_DOUBLINGS = 2;

/** What a reply to a provisioning request means. */
type ProvisioningOutcome = 'provisioned' | 'out of capacity' | 'malformed' | 'unavailable';

/** A request whose machines are not all known yet. */
interface PendingRequest extends ScaleOutRequest {
  request: string;
  /** Monotonic time after which its machines must be listed if there are any. */
  until: number;
}

/** An offer that is out of capacity. */
interface CapacityBackoff {
  /** Monotonic time until which it is not requested. */
  until: number;
  doublings: number;
}

/** What the cloud's answers bring. */
interface ProvisioningEvents {
  provisioned(ids: string[], request: ScaleOutRequest): void;
  /** A complete listing. */
  listed(machines: ListedMachine[]): void;
  /** The cloud has confirmed the release. */
  released(ids: string[]): void;
}

/** The cloud rejected a provisioning request as malformed; repeating it is pointless. */
class MalformedRequestError extends Error {
  constructor(readonly request: string) {
    super(`the cloud rejects provisioning request ${request} as malformed`);
    this.name = 'MalformedRequestError';
  }
}

/** The leader's client of the cloud. */
export class MachineProvisioner {
  private readonly rateLimiter: RateLimiter;
  private readonly records: ProvisioningRecords;
  private readonly pending = new Map<string, PendingRequest>();
  private readonly backoffs = new Map<string, CapacityBackoff>();
  private readonly releaseQueue = new Set<string>();
  private isReleasing = false;
  /** Monotonic time since which the cloud has been unavailable; null while it serves. */
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
    this.rateLimiter = new RateLimiter(runtime.clock, rps * RATE_RATIO, rps);
    this.records = new ProvisioningRecords(store, term);
  }

  /** After a failover: takes over a request whose machines may not be listed yet. */
  restore(entry: Entry): void {
    const restored = this.records.restore(entry);
    if (!restored) return;
    const { clock } = this.runtime;
    this.pending.set(restored.request, {
      ...restored.record,
      request: restored.request,
      until: clock.now() + this.settings.cloud.listLagMs * LISTED_LIST_LAGS,
    });
  }

  /** Requests for machines that are not known by name yet. */
  pendingRequests(now: number): ScaleOutRequest[] {
    for (const [request, pending] of this.pending) {
      if (pending.until < now) {
        this.pending.delete(request);
        // Left behind, the record is harmless: the next leader lets it expire in the same way.
        void this.records.remove(request).catch(() => undefined);
      }
    }
    return [...this.pending.values()];
  }

  /** Whether the offer ran out of capacity lately and is not to be requested now. */
  isBackedOff(type: string, zone: string, spot: boolean): boolean {
    return (this.backoffs.get(offerKey(type, zone, spot))?.until ?? 0) > this.runtime.clock.now();
  }

  /** Requests machines; what exceeds the bound on pending requests is left to a later cycle. */
  provision(scaleOut: ScaleOutRequest): void {
    let remaining = scaleOut.count;
    while (remaining > 0) {
      const count = Math.min(remaining, MAX_MACHINES_PER_REQUEST);
      if (this.pending.size >= this.maxPendingRequests) return;
      remaining -= count;
      const request = this.runtime.random.unique();
      // Pending until it is answered, so that no cycle requests the same again.
      this.pending.set(request, { ...scaleOut, count, request, until: Infinity });
      void this.submitRequest(request, { ...scaleOut, count }).catch((error: unknown) => {
        this.pending.delete(request);
        this.runtime.log.debug({ error: String(error) }, 'provisioning request abandoned');
      });
    }
  }

  /** More requests than the rate limit admits within some time-outs would only queue. */
  private get maxPendingRequests(): number {
    return Math.ceil(((this.settings.cloud.rps * this.timeoutMs) / 1000) * PENDING_TIMEOUTS);
  }

  private async submitRequest(request: string, scaleOut: ScaleOutRequest): Promise<void> {
    const { clock, random } = this.runtime;
    const { signal } = this.term;
    if (!(await this.records.add(request, { ...scaleOut, at: clock.wall() }))) return;
    const body = provisioningBody({ request, ...scaleOut });
    let waitMs = this.timeoutMs / FIRST_RETRY_TIMEOUT_DIVISOR;
    for (;;) {
      let reply: Reply | null = null;
      try {
        reply = await this.call('POST', CLOUD_PATHS.provision, body);
      } catch (error) {
        // The request may have been carried out; repeated under its name it yields the same machines.
        if (!(error instanceof NoResponseError)) throw error;
      }
      switch (outcomeOf(reply)) {
        case 'provisioned':
          this.completeRequest(request, scaleOut, reply?.body);
          // Its machines may not be listed yet, and a successor would provision the same again.
          await clock.sleep(this.settings.cloud.listLagMs * LISTED_LIST_LAGS, signal);
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
          await clock.sleep(jitter(waitMs, random), signal);
          signal.throwIfAborted();
          waitMs = Math.min(waitMs * 2, this.timeoutMs);
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
   * A request that finds no capacity costs the store two writes and the cloud a call. During a shortage
   * of minutes, repeating it at the same pace would delay starts and users' submissions.
   */
  private backOff(scaleOut: ScaleOutRequest): void {
    const key = offerKey(scaleOut.type, scaleOut.zone, scaleOut.spot);
    const doublings = Math.min(
      (this.backoffs.get(key)?.doublings ?? -1) + 1,
      MAX_BACKOFF_DOUBLINGS,
    );
    const pauseMs = this.settings.cloud.listLagMs * BACKOFF_LIST_LAGS * 2 ** doublings;
    const until = this.runtime.clock.now() + jitter(pauseMs, this.runtime.random);
    this.backoffs.set(key, { until, doublings });
    this.runtime.log.debug({ ...scaleOut, pauseMs }, 'offer out of capacity, backing off');
  }

  /** Releases a machine; repeated until the cloud confirms it or the term ends. */
  release(id: string): void {
    this.releaseQueue.add(id);
    if (!this.isReleasing) void this.releaseQueued();
  }

  private async releaseQueued(): Promise<void> {
    this.isReleasing = true;
    while (this.releaseQueue.size > 0 && !this.term.signal.aborted) {
      const ids = [...this.releaseQueue].slice(0, MAX_MACHINES_PER_RELEASE);
      // Whatever kept the call from an answer, the release is repeated.
      const reply = await this.call('POST', CLOUD_PATHS.release, releaseBody(ids)).catch(
        () => null,
      );
      if (reply?.status === 200) {
        for (const id of ids) this.releaseQueue.delete(id);
        // The capacity that they held is available again.
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

  /** Reads the whole listing once; false if any page of it is missing, and then nothing is reported. */
  async listMachines(): Promise<boolean> {
    const machines: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      // A failed call is logged by its outcome; the listing is read again at its next interval.
      const reply = await this.call('GET', listPath(after), null).catch(() => null);
      if (reply?.status !== 200) return false;
      const page = parseMachineList(reply.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) break;
      after = last.id;
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
    // The cloud knows no fencing tokens: a controller that was paused may be unaware of a new leader. It
    // would release machines with placements on them, or provision what has been provisioned already.
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
   * Logs outages: without these lines a fleet that cannot grow looks in the log like one that need not.
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

/** Key of one kind of machine at one price in one zone. */
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
