/**
 * Asks the other controllers which cancellations they have confirmed to users. Used while the store
 * delivers no updates.
 */
import type { Subscription } from 'rxjs';
import type { CancellationLog } from '../jobs/cancellation-log.js';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { MessageErrors } from '../runtime/message-errors.js';
import type { PeerMessage } from './frames.js';
import { subscribeToMessages } from './message-subscription.js';
import type { PeerTransport } from './peer-transport.js';

/** The jobs whose cancellation any controller has confirmed to a user; complete up to `asOf`. */
export interface KnownCancellations {
  /** Monotonic, in milliseconds. */
  asOf: number;
  cancelled: Set<string>;
}

/** A query that waits for responses. */
interface PendingQuery {
  unanswered: Set<string>;
  cancelled: Set<string>;
  isRefused: boolean;
  /** Ends the wait early; called once no further response can change the outcome. */
  close(): void;
}

/**
 * Queries all controllers for cancellations. While the store delivers no updates of the job records,
 * the leader asks every other controller for the complete list of jobs whose cancellation it has
 * confirmed to users since the leader last knew all records. A controller that started after that time,
 * whose log has dropped an entry since, or that cannot be reached in time provides no list. Unless
 * every controller provides one, the query has no result.
 */
export class CancellationQuery {
  private lastRequestId = 0;
  private readonly pendingQueries = new Map<number, PendingQuery>();

  constructor(
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly log: CancellationLog,
    /** Whether a peer is known to support these frames; an older version would close the connection. */
    private readonly supportsQuery: (peer: string) => boolean,
    private readonly messageErrors: MessageErrors,
  ) {}

  /** Answers queries of other controllers and collects their responses until unsubscribed. */
  listen(): Subscription {
    return subscribeToMessages(this.peerTransport, this.messageErrors, (from, message) =>
      this.onMessage(from, message),
    );
  }

  /**
   * Collects the cancellations since `from` (monotonic, in milliseconds); null unless every other
   * controller provides its complete list within `timeoutMs`.
   */
  async collect(from: number, timeoutMs: number): Promise<KnownCancellations | null> {
    const { clock } = this.runtime;
    const { peers } = this.peerTransport;
    if (!peers.every((peer) => this.supportsQuery(peer))) return null;
    const asOf = clock.now();
    // A peer subtracts `sinceMs` from the time at which it receives the request, which may be as late
    // as the timeout; adding the timeout keeps that from moving the start of the period past `from`.
    const sinceMs = Math.ceil(asOf - from + timeoutMs);
    const requestId = ++this.lastRequestId;
    const closed = new AbortController();
    const query: PendingQuery = {
      unanswered: new Set(peers),
      cancelled: new Set(),
      isRefused: false,
      close: () => closed.abort(),
    };
    this.pendingQueries.set(requestId, query);
    try {
      for (const peer of peers)
        this.peerTransport.send(peer, { kind: 'cancellationsRequest', requestId, sinceMs });
      if (peers.length > 0) await clock.sleep(timeoutMs, closed.signal);
    } finally {
      this.pendingQueries.delete(requestId);
    }
    const ownCancellations = this.log.since(from);
    if (query.isRefused || query.unanswered.size > 0 || ownCancellations === null) return null;
    // If this process stalled meanwhile, its peers may have received the request after the timeout.
    if (clock.now() - asOf > timeoutMs) return null;
    for (const id of ownCancellations) query.cancelled.add(id);
    return { asOf, cancelled: query.cancelled };
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
    const query = this.pendingQueries.get(requestId);
    if (!query) return;
    if (cancelled === null) query.isRefused = true;
    else {
      query.unanswered.delete(from);
      for (const id of cancelled) query.cancelled.add(id);
    }
    if (query.isRefused || query.unanswered.size === 0) query.close();
  }
}
