/** Votes among controllers that let a leader keep leading while the store is unavailable to all. */
import type { Subscription } from 'rxjs';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/supervised-task';
import type { MessageErrors } from '../runtime/message-errors.js';
import { subscribeToMessages } from './message-subscription.js';
import type { PeerMessage, PeerMessages } from './messages.js';
import type { PeerTransport } from './peer-transport.js';

/** The state of this controller on which its votes depend. */
export interface VoterState {
  /** Whether this controller leads or may still have a campaign in progress. */
  mayBeLeader(): boolean;
  /** Sends a request to the store; true if the store executed it. */
  isStoreAvailable(): Promise<boolean>;
  /**
   * True if this process has read the leader key at this version and has not campaigned since, so that
   * it cannot have led a later term.
   */
  isLatestKnownToken(fencingToken: number): boolean;
  /**
   * Whether a peer is known to support reinstatement frames; an older version would close the
   * connection.
   */
  supportsReinstatement(peer: string): boolean;
}

/** A request for a vote of this controller. */
type VoteRequest = PeerMessages[
  'promiseCheckRequest' | 'leaseExtensionRequest' | 'reinstatementRequest'];

/** The votes received for one request. */
interface Ballot {
  grantedBy: Set<string>;
  isRefused: boolean;
  /** Ends the wait early; called once no further vote can change the outcome. */
  close(): void;
}

/**
 * Requests and gives promises not to campaign for a limited time. A leader whose lease the store cannot
 * renew continues to answer workers only while every other controller has given such a promise. A
 * controller that reaches the store gives none, so a leader that alone is cut off from the store loses
 * its term.
 */
export class LeaseExtensionVote {
  /** This controller must not campaign before this time (monotonic, in milliseconds). */
  private promisedUntil = -Infinity;
  private lastRequestId = 0;
  private readonly pendingBallots = new Map<number, Ballot>();

  constructor(
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly voter: VoterState,
    private readonly messageErrors: MessageErrors,
  ) {}

  /** Answers requests of other controllers and counts their votes until unsubscribed. */
  listen(): Subscription {
    return subscribeToMessages(this.peerTransport, this.messageErrors, (from, message) =>
      this.onMessage(from, message),
    );
  }

  /** For how much longer this controller must not campaign, in milliseconds. */
  get campaignBlockedForMs(): number {
    return Math.max(0, this.promisedUntil - this.runtime.clock.now());
  }

  /** True if every other controller promises, within `timeoutMs`, not to campaign for `durationMs`. */
  async requestExtension(
    fencingToken: number,
    durationMs: number,
    timeoutMs: number,
  ): Promise<boolean> {
    return this.requestFromAll(timeoutMs, (requestId) => ({
      kind: 'leaseExtensionRequest',
      requestId,
      fencingToken,
      durationMs,
    }));
  }

  /**
   * True if every other controller gives the same promise and also confirms that it has led no term
   * after that of `fencingToken`. Since only controllers lead, there has been no later term then.
   */
  async requestReinstatement(
    fencingToken: number,
    durationMs: number,
    timeoutMs: number,
  ): Promise<boolean> {
    if (!this.peerTransport.peers.every((peer) => this.voter.supportsReinstatement(peer)))
      return false;
    return this.requestFromAll(timeoutMs, (requestId) => ({
      kind: 'reinstatementRequest',
      requestId,
      fencingToken,
      durationMs,
    }));
  }

  /** True if every other controller confirms that it neither leads nor has promised not to campaign. */
  async confirmNoPromises(timeoutMs: number): Promise<boolean> {
    return this.requestFromAll(timeoutMs, (requestId) => ({
      kind: 'promiseCheckRequest',
      requestId,
    }));
  }

  private async requestFromAll(
    timeoutMs: number,
    createRequest: (requestId: number) => PeerMessage,
  ): Promise<boolean> {
    const { peers } = this.peerTransport;
    if (peers.length === 0) return true;
    const requestId = ++this.lastRequestId;
    const closed = new AbortController();
    const ballot: Ballot = {
      grantedBy: new Set(),
      isRefused: false,
      close: () => closed.abort(),
    };
    this.pendingBallots.set(requestId, ballot);
    try {
      for (const peer of peers) this.send(peer, createRequest(requestId));
      await this.runtime.clock.sleep(timeoutMs, closed.signal);
    } finally {
      this.pendingBallots.delete(requestId);
    }
    return this.isGranted(ballot);
  }

  private async onMessage(from: string, message: PeerMessage): Promise<void> {
    if (message.kind === 'leaseExtensionVote' || message.kind === 'reinstatementVote')
      this.recordVote(message.requestId, from, message.granted);
    else if (message.kind === 'promiseCheckResponse')
      this.recordVote(message.requestId, from, message.free);
    else if (
      message.kind === 'promiseCheckRequest' ||
      message.kind === 'leaseExtensionRequest' ||
      message.kind === 'reinstatementRequest'
    )
      await this.respond(from, message);
  }

  private async respond(to: string, request: VoteRequest): Promise<void> {
    const { requestId } = request;
    switch (request.kind) {
      case 'promiseCheckRequest': {
        const free = !this.voter.mayBeLeader() && this.campaignBlockedForMs === 0;
        return this.send(to, { kind: 'promiseCheckResponse', requestId, free });
      }
      case 'leaseExtensionRequest': {
        const granted = await this.voteExtension(request.durationMs);
        return this.send(to, { kind: 'leaseExtensionVote', requestId, granted });
      }
      case 'reinstatementRequest': {
        const granted = await this.voteReinstatement(request.fencingToken, request.durationMs);
        return this.send(to, { kind: 'reinstatementVote', requestId, granted });
      }
    }
  }

  private send(to: string, message: PeerMessage): void {
    this.peerTransport.send(to, message);
  }

  /** Compares the token after making the promise, so that the vote holds for as long as the promise. */
  private async voteReinstatement(fencingToken: number, durationMs: number): Promise<boolean> {
    return (await this.voteExtension(durationMs)) && this.voter.isLatestKnownToken(fencingToken);
  }

  private async voteExtension(durationMs: number): Promise<boolean> {
    if (this.voter.mayBeLeader()) return false;
    // The promise precedes the request to the store, so that no campaign can start in between.
    const previousPromise = this.promisedUntil;
    const until = this.runtime.clock.now() + durationMs * (1 + MAX_CLOCK_DRIFT);
    this.promisedUntil = Math.max(previousPromise, until);
    if (await this.voter.isStoreAvailable()) {
      // The promise was never sent, so no controller relies on it.
      if (this.promisedUntil === until) this.promisedUntil = previousPromise;
      return false;
    }
    return !this.voter.mayBeLeader();
  }

  private recordVote(requestId: number, from: string, isGrant: boolean): void {
    const ballot = this.pendingBallots.get(requestId);
    if (!ballot) return;
    if (isGrant) ballot.grantedBy.add(from);
    else ballot.isRefused = true;
    if (ballot.isRefused || this.isGranted(ballot)) ballot.close();
  }

  private isGranted({ grantedBy, isRefused }: Ballot): boolean {
    return !isRefused && this.peerTransport.peers.every((peer) => grantedBy.has(peer));
  }
}
