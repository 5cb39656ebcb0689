/** Votes between controllers that let a leader go on while the store serves nobody. */
import type { Subscription } from 'rxjs';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import type { PeerMessage, PeerMessages } from './messages.js';
import type { PeerTransport } from './peer-transport.js';

/** What a controller's vote depends on. */
export interface VoterState {
  /** This controller leads, or an attempt of its own to lead may still be under way. */
  mayBeLeader(): boolean;
  /** Asks the store something now; true if it served. */
  isStoreAvailable(): Promise<boolean>;
  /**
   * True if this process has read the leader key at this version and has not campaigned since: so no
   * term of its own can have come after that one.
   */
  isLatestKnownToken(fencingToken: number): boolean;
  /** Whether a controller is known to read reinstatement frames; an older one would close the connection. */
  supportsReinstatement(peer: string): boolean;
}

/** What this controller is asked for. */
type VoteRequest = PeerMessages[
  'promiseCheckRequest' | 'leaseExtensionRequest' | 'reinstatementRequest'];

/** The votes on one request. */
interface Ballot {
  inFavour: Set<string>;
  isRefused: boolean;
  /** No further vote can change the outcome. */
  close(): void;
}

/**
 * Promises not to campaign for a while. The leader of a term that the store cannot renew goes on
 * answering workers only while every other controller has given one. A controller that reaches the
 * store gives none, so a leader that the store refuses alone loses its term.
 */
export class LeaseExtensionVote {
  /** Monotonic, in milliseconds. */
  private promisedUntil = -Infinity;
  private lastRequestId = 0;
  private readonly pendingBallots = new Map<number, Ballot>();

  constructor(
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly voter: VoterState,
  ) {}

  /** Answers the others and counts their votes until unsubscribed. */
  listen(): Subscription {
    return this.peerTransport.messages.subscribe(
      ({ from, message }) => void this.onMessage(from, message),
    );
  }

  /** How long this controller must not campaign. */
  get campaignBlockedForMs(): number {
    return Math.max(0, this.promisedUntil - this.runtime.clock.now());
  }

  /** True if every other controller has promised, within `withinMs`, not to campaign for `durationMs`. */
  async requestExtension(
    fencingToken: number,
    durationMs: number,
    withinMs: number,
  ): Promise<boolean> {
    return this.requestFromAll(withinMs, (requestId) => ({
      kind: 'leaseExtensionRequest',
      requestId,
      fencingToken,
      durationMs,
    }));
  }

  /**
   * True if every other controller has promised the same and attests besides that it has led no term
   * after that of `fencingToken`. Only controllers lead, so nobody has then.
   */
  async requestReinstatement(
    fencingToken: number,
    durationMs: number,
    withinMs: number,
  ): Promise<boolean> {
    if (!this.peerTransport.peers.every((peer) => this.voter.supportsReinstatement(peer)))
      return false;
    return this.requestFromAll(withinMs, (requestId) => ({
      kind: 'reinstatementRequest',
      requestId,
      fencingToken,
      durationMs,
    }));
  }

  /** True if every other controller says that it neither leads nor has promised not to campaign. */
  async confirmNoPromises(withinMs: number): Promise<boolean> {
    return this.requestFromAll(withinMs, (requestId) => ({
      kind: 'promiseCheckRequest',
      requestId,
    }));
  }

  private async requestFromAll(
    withinMs: number,
    messageOf: (requestId: number) => PeerMessage,
  ): Promise<boolean> {
    const { peers } = this.peerTransport;
    if (peers.length === 0) return true;
    const requestId = ++this.lastRequestId;
    const closed = new AbortController();
    const ballot: Ballot = {
      inFavour: new Set(),
      isRefused: false,
      close: () => closed.abort(),
    };
    this.pendingBallots.set(requestId, ballot);
    try {
      for (const peer of peers) this.send(peer, messageOf(requestId));
      await this.runtime.clock.sleep(withinMs, closed.signal);
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

  /** The token is compared after the promise is made, so that the answer holds for as long as that lasts. */
  private async voteReinstatement(fencingToken: number, durationMs: number): Promise<boolean> {
    return (await this.voteExtension(durationMs)) && this.voter.isLatestKnownToken(fencingToken);
  }

  private async voteExtension(durationMs: number): Promise<boolean> {
    if (this.voter.mayBeLeader()) return false;
    // Promised before the store is asked, so that no campaign of ours can begin in between.
    const promisedBefore = this.promisedUntil;
    const until = this.runtime.clock.now() + durationMs * (1 + MAX_CLOCK_DRIFT);
    this.promisedUntil = Math.max(promisedBefore, until);
    if (await this.voter.isStoreAvailable()) {
      // The promise was not sent, so nobody relies on it.
      if (this.promisedUntil === until) this.promisedUntil = promisedBefore;
      return false;
    }
    return !this.voter.mayBeLeader();
  }

  private recordVote(requestId: number, from: string, isInFavour: boolean): void {
    const ballot = this.pendingBallots.get(requestId);
    if (!ballot) return;
    if (isInFavour) ballot.inFavour.add(from);
    else ballot.isRefused = true;
    if (ballot.isRefused || this.isGranted(ballot)) ballot.close();
  }

  private isGranted({ inFavour, isRefused }: Ballot): boolean {
    return !isRefused && this.peerTransport.peers.every((peer) => inFavour.has(peer));
  }
}
