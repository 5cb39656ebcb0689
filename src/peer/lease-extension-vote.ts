import { Subscription } from 'rxjs';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import type { PeerMessage } from './frames.js';
import type { PeerTransport } from './peer-transport.js';

export interface VoterState {
  /** This controller leads, or an attempt of its own to lead may still be under way. */
  mayBeLeader(): boolean;
  /** Asks the store something now; true if it served. */
  isStoreAvailable(): Promise<boolean>;
  /**
   * True if this process has read the leader key at this version and has not contested since: so no
   * term of its own can have come after that one.
   */
  isLatestKnownToken(fencingToken: number): boolean;
  /** Whether a controller is known to read vouches; an older one would close the connection. */
  supportsReinstatement(peer: string): boolean;
}

/**
 * Promises not to contest the leader's office for a while. The leader of a term that the store can
 * not renew goes on answering workers only while every other controller has given one. A
 * controller that reaches the store gives none, so a leader that is refused alone loses office.
 */
export class LeaseExtensionVote {
  private promisedUntil = -Infinity;
  private lastRequestId = 0;
  private readonly pendingRequests = new Map<
    number,
    { yes: Set<string>; no: boolean; done(): void }
  >();

  constructor(
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly voter: VoterState,
  ) {}

  listen(): Subscription {
    return this.peerTransport.messages.subscribe(
      ({ from, message }) => void this.onMessage(from, message),
    );
  }

  /** How long this controller must not contest. */
  get campaignBlockedForMs(): number {
    return Math.max(0, this.promisedUntil - this.runtime.clock.now());
  }

  /** True if every other controller has promised, within `withinMs`, not to contest for `forMs`. */
  async requestExtension(
    fencingToken: number,
    durationMs: number,
    withinMs: number,
  ): Promise<boolean> {
    return this.requestFromAll(withinMs, (ask) => ({
      kind: 'leaseExtensionRequest',
      requestId: ask,
      fencingToken,
      durationMs,
    }));
  }

  /**
   * True if every other controller has promised the same and vouches besides that it has led no term
   * after that of `token`. Only controllers take office, so nobody has then.
   */
  async requestReinstatement(
    fencingToken: number,
    durationMs: number,
    withinMs: number,
  ): Promise<boolean> {
    if (!this.peerTransport.peers.every((peer) => this.voter.supportsReinstatement(peer)))
      return false;
    return this.requestFromAll(withinMs, (ask) => ({
      kind: 'reinstatementRequest',
      requestId: ask,
      fencingToken,
      durationMs,
    }));
  }

  /** True if every other controller says that it neither leads nor has pledged. */
  async confirmNoPromises(withinMs: number): Promise<boolean> {
    return this.requestFromAll(withinMs, (ask) => ({
      kind: 'promiseCheckRequest',
      requestId: ask,
    }));
  }

  private async requestFromAll(
    withinMs: number,
    message: (requestId: number) => PeerMessage,
  ): Promise<boolean> {
    const { peers } = this.peerTransport;
    if (peers.length === 0) return true;
    const requestId = ++this.lastRequestId;
    const enough = new AbortController();
    const state = { yes: new Set<string>(), no: false, done: () => enough.abort() };
    this.pendingRequests.set(requestId, state);
    for (const peer of peers) this.peerTransport.send(peer, message(requestId));
    await this.runtime.clock.sleep(withinMs, enough.signal);
    this.pendingRequests.delete(requestId);
    return !state.no && peers.every((peer) => state.yes.has(peer));
  }

  private async onMessage(from: string, message: PeerMessage): Promise<void> {
    if (message.kind === 'leaseExtensionVote' || message.kind === 'reinstatementVote')
      this.recordVote(message.requestId, from, message.granted);
    else if (message.kind === 'promiseCheckResponse')
      this.recordVote(message.requestId, from, message.free);
    else if (message.kind === 'promiseCheckRequest') {
      const free = !this.voter.mayBeLeader() && this.campaignBlockedForMs === 0;
      this.peerTransport.send(from, {
        kind: 'promiseCheckResponse',
        requestId: message.requestId,
        free,
      });
    } else if (message.kind === 'leaseExtensionRequest') {
      const granted = await this.voteExtension(message.durationMs);
      this.peerTransport.send(from, {
        kind: 'leaseExtensionVote',
        requestId: message.requestId,
        granted,
      });
    } else if (message.kind === 'reinstatementRequest') {
      const granted = await this.voteReinstatement(message.fencingToken, message.durationMs);
      this.peerTransport.send(from, {
        kind: 'reinstatementVote',
        requestId: message.requestId,
        granted,
      });
    }
  }

  /** Looked at after the promise is made, so that it stays true for as long as that lasts. */
  private async voteReinstatement(fencingToken: number, durationMs: number): Promise<boolean> {
    return (await this.voteExtension(durationMs)) && this.voter.isLatestKnownToken(fencingToken);
  }

  private async voteExtension(durationMs: number): Promise<boolean> {
    if (this.voter.mayBeLeader()) return false;
    // Promised before the store is asked, so that no attempt to lead can begin in between.
    const before = this.promisedUntil;
    const until = this.runtime.clock.now() + durationMs * (1 + MAX_CLOCK_DRIFT);
    this.promisedUntil = Math.max(before, until);
    if (await this.voter.isStoreAvailable()) {
      // Never told, so never relied upon.
      if (this.promisedUntil === until) this.promisedUntil = before;
      return false;
    }
    return !this.voter.mayBeLeader();
  }

  private recordVote(requestId: number, from: string, yes: boolean): void {
    const state = this.pendingRequests.get(requestId);
    if (!state) return;
    if (yes) state.yes.add(from);
    else state.no = true;
    if (state.no || this.peerTransport.peers.every((peer) => state.yes.has(peer))) state.done();
  }
}
