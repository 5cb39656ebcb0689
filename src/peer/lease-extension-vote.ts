import { Subscription } from 'rxjs';
import { DRIFT } from '@leverhatch/core/clock';
import type { Runtime } from '@leverhatch/core/duty';
import type { Message } from './frames.js';
import type { PeerTransport } from './peer-transport.js';

export interface PledgeFacts {
  /** This controller leads, or an attempt of its own to lead may still be under way. */
  mayLead(): boolean;
  /** Asks the store something now; true if it served. */
  storeServes(): Promise<boolean>;
  /**
   * True if this process has read the leader key at this version and has not contested since: so no
   * term of its own can have come after that one.
   */
  knowsNoLater(token: number): boolean;
  /** Whether a controller is known to read vouches; an older one would close the connection. */
  readsVouches(peer: string): boolean;
}

/**
 * Promises not to contest the leader's office for a while. The leader of a term that the store can
 * not renew goes on answering workers only while every other controller has given one. A
 * controller that reaches the store gives none, so a leader that is refused alone loses office.
 */
export class LeaseExtensionVote {
  private pledgedUntil = -Infinity;
  private asks = 0;
  private readonly waiting = new Map<number, { yes: Set<string>; no: boolean; done(): void }>();

  constructor(
    private readonly peerTransport: PeerTransport,
    private readonly runtime: Runtime,
    private readonly facts: PledgeFacts,
  ) {}

  listen(): Subscription {
    return this.peerTransport.heard.subscribe(({ from, message }) => void this.on(from, message));
  }

  /** How long this controller must not contest. */
  get heldForMs(): number {
    return Math.max(0, this.pledgedUntil - this.runtime.clock.now());
  }

  /** True if every other controller has promised, within `withinMs`, not to contest for `forMs`. */
  async collect(token: number, forMs: number, withinMs: number): Promise<boolean> {
    return this.askAll(withinMs, (ask) => ({ kind: 'askPledge', ask, token, forMs }));
  }

  /**
   * True if every other controller has promised the same and vouches besides that it has led no term
   * after that of `token`. Only controllers take office, so nobody has then.
   */
  async collectVouches(token: number, forMs: number, withinMs: number): Promise<boolean> {
    if (!this.peerTransport.peers.every((peer) => this.facts.readsVouches(peer))) return false;
    return this.askAll(withinMs, (ask) => ({ kind: 'askVouch', ask, token, forMs }));
  }

  /** True if every other controller says that it neither leads nor has pledged. */
  async allFree(withinMs: number): Promise<boolean> {
    return this.askAll(withinMs, (ask) => ({ kind: 'askFree', ask }));
  }

  private async askAll(withinMs: number, message: (ask: number) => Message): Promise<boolean> {
    const { peers } = this.peerTransport;
    if (peers.length === 0) return true;
    const ask = ++this.asks;
    const enough = new AbortController();
    const state = { yes: new Set<string>(), no: false, done: () => enough.abort() };
    this.waiting.set(ask, state);
    for (const peer of peers) this.peerTransport.send(peer, message(ask));
    await this.runtime.clock.sleep(withinMs, enough.signal);
    this.waiting.delete(ask);
    return !state.no && peers.every((p) => state.yes.has(p));
  }

  private async on(from: string, m: Message): Promise<void> {
    if (m.kind === 'pledge' || m.kind === 'vouch') this.count(m.ask, from, m.granted);
    else if (m.kind === 'free') this.count(m.ask, from, m.free);
    else if (m.kind === 'askFree') {
      const free = !this.facts.mayLead() && this.heldForMs === 0;
      this.peerTransport.send(from, { kind: 'free', ask: m.ask, free });
    } else if (m.kind === 'askPledge') {
      const granted = await this.grant(m.forMs);
      this.peerTransport.send(from, { kind: 'pledge', ask: m.ask, granted });
    } else if (m.kind === 'askVouch') {
      const granted = await this.vouch(m.token, m.forMs);
      this.peerTransport.send(from, { kind: 'vouch', ask: m.ask, granted });
    }
  }

  /** Looked at after the promise is made, so that it stays true for as long as that lasts. */
  private async vouch(token: number, forMs: number): Promise<boolean> {
    return (await this.grant(forMs)) && this.facts.knowsNoLater(token);
  }

  private async grant(forMs: number): Promise<boolean> {
    if (this.facts.mayLead()) return false;
    // Promised before the store is asked, so that no attempt to lead can begin in between.
    const before = this.pledgedUntil;
    const until = this.runtime.clock.now() + forMs * (1 + DRIFT);
    this.pledgedUntil = Math.max(before, until);
    if (await this.facts.storeServes()) {
      // Never told, so never relied upon.
      if (this.pledgedUntil === until) this.pledgedUntil = before;
      return false;
    }
    return !this.facts.mayLead();
  }

  private count(ask: number, from: string, yes: boolean): void {
    const state = this.waiting.get(ask);
    if (!state) return;
    if (yes) state.yes.add(from);
    else state.no = true;
    if (state.no || this.peerTransport.peers.every((p) => state.yes.has(p))) state.done();
  }
}
