/** Asks the other controllers what they told users of cancellations while the store brings no news. */
import type { Subscription } from 'rxjs';
import type { CancellationLog } from '../jobs/cancellation-log.js';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import type { PeerMessage } from './frames.js';
import type { PeerTransport } from './peer-transport.js';

/** The jobs that any controller has told users to be cancelled, without a gap up to `asOf`. */
export interface KnownCancellations {
  /** Monotonic, in milliseconds. */
  asOf: number;
  cancelled: Set<string>;
}

/** The answers to one query. */
interface Collection {
  missing: Set<string>;
  cancelled: Set<string>;
  isRefused: boolean;
  /** No further answer can change the outcome. */
  close(): void;
}

/**
 * Queries all controllers for cancellations. While the store brings no news of the job records, the
 * leader asks every other controller for the full list of jobs that it has told users to be cancelled
 * since the leader last knew all records. A controller whose process is younger than that, or whose
 * log has dropped an entry since, gives none; nor does one that cannot be reached in time. Without
 * all of them nothing is concluded.
 */
export class CancellationQuery {
  private lastRequestId = 0;
  private readonly collections = new Map<number, Collection>();

  constructor(
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly log: CancellationLog,
    /** Whether a controller is known to read these frames; an older one would close the connection. */
    private readonly supportsQuery: (peer: string) => boolean,
  ) {}

  /** Answers the others and takes in their answers until unsubscribed. */
  listen(): Subscription {
    return this.peerTransport.messages.subscribe(({ from, message }) =>
      this.onMessage(from, message),
    );
  }

  /** Null unless every other controller has answered, within `withinMs`, for the time since `from`. */
  async collect(from: number, withinMs: number): Promise<KnownCancellations | null> {
    const { clock } = this.runtime;
    const { peers } = this.peerTransport;
    if (!peers.every((peer) => this.supportsQuery(peer))) return null;
    const asOf = clock.now();
    // The request may travel for as long as its answer is waited for; by the clock of whoever gets
    // it, the time meant must not begin any later for that.
    const sinceMs = Math.ceil(asOf - from + withinMs);
    const requestId = ++this.lastRequestId;
    const answered = new AbortController();
    const collection: Collection = {
      missing: new Set(peers),
      cancelled: new Set(),
      isRefused: false,
      close: () => answered.abort(),
    };
    this.collections.set(requestId, collection);
    try {
      for (const peer of peers)
        this.peerTransport.send(peer, { kind: 'cancellationsRequest', requestId, sinceMs });
      if (peers.length > 0) await clock.sleep(withinMs, answered.signal);
    } finally {
      this.collections.delete(requestId);
    }
    const own = this.log.since(from);
    if (collection.isRefused || collection.missing.size > 0 || own === null) return null;
    // If this process stalled meanwhile, it cannot tell when its request was read.
    if (clock.now() - asOf > withinMs) return null;
    for (const id of own) collection.cancelled.add(id);
    return { asOf, cancelled: collection.cancelled };
  }

  private onMessage(from: string, message: PeerMessage): void {
    if (message.kind === 'cancellationsRequest')
      this.respond(from, message.requestId, message.sinceMs);
    else if (message.kind === 'cancellationsResponse')
      this.recordResponse(from, message.requestId, message.cancelled);
  }

  private respond(to: string, requestId: number, sinceMs: number): void {
    if (!this.supportsQuery(to)) return;
    const since = this.runtime.clock.now() - sinceMs * (1 + MAX_CLOCK_DRIFT);
    this.peerTransport.send(to, {
      kind: 'cancellationsResponse',
      requestId,
      cancelled: this.log.since(since),
    });
  }

  private recordResponse(from: string, requestId: number, cancelled: string[] | null): void {
    const collection = this.collections.get(requestId);
    if (!collection) return;
    if (cancelled === null) collection.isRefused = true;
    else {
      collection.missing.delete(from);
      for (const id of cancelled) collection.cancelled.add(id);
    }
    if (collection.isRefused || collection.missing.size === 0) collection.close();
  }
}
