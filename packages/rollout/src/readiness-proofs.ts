/** Which replicas are proven to serve, by the probes that they answered. */
import type { Replica } from './ports.js';

/** Consecutive valid answers that make a replica proven. */
const CONSECUTIVE_ANSWERS = 3;

/** How many probe intervals a proof lasts, from when its probe was sent. */
export const FRESH_INTERVALS = 2.5;

interface Proof {
  consecutiveAnswers: number;
  /** When the last answered probe was sent; monotonic, like all times here. */
  sentAt: number;
  /** When its first probe was sent. */
  probedSince: number;
  wasProven: boolean;
}

/** What this leader's probes have shown. */
export class ReadinessProofs {
  private readonly proofs = new Map<string, Proof>();

  constructor(
    /** Interval between probes of one replica, in milliseconds. */
    private readonly intervalMs: number,
  ) {}

  /** A probe sent at `sentAt` got the answer of that very replica in time. */
  answered(replica: Replica, sentAt: number): void {
    const proof = this.proofOf(replica, sentAt);
    if (!this.isFresh(proof, sentAt)) proof.consecutiveAnswers = 0;
    proof.consecutiveAnswers++;
    proof.sentAt = Math.max(proof.sentAt, sentAt);
    proof.wasProven ||= proof.consecutiveAnswers >= CONSECUTIVE_ANSWERS;
  }

  private proofOf(replica: Replica, sentAt: number): Proof {
    const key = replica.key;
    const known = this.proofs.get(key);
    if (known) return known;
    const proof = { consecutiveAnswers: 0, sentAt, probedSince: sentAt, wasProven: false };
    this.proofs.set(key, proof);
    return proof;
  }

  /** A probe got no answer, a late one, or that of another replica. */
  failed(replica: Replica, sentAt: number): void {
    this.proofOf(replica, sentAt).consecutiveAnswers = 0;
  }

  /** Whether a replica is proven to serve now. */
  isProven(replica: Replica, now: number): boolean {
    const proof = this.proofs.get(replica.key);
    if (!proof || !replica.running || replica.stopping) return false;
    return proof.consecutiveAnswers >= CONSECUTIVE_ANSWERS && this.isFresh(proof, now);
  }

  /** Milliseconds since its first probe without being proven once; 0: it was proven, or not probed yet. */
  probedInVainMs(replica: Replica, now: number): number {
    const proof = this.proofs.get(replica.key);
    return !proof || proof.wasProven ? 0 : now - proof.probedSince;
  }

  private isFresh({ sentAt }: Proof, now: number): boolean {
    return now - sentAt <= this.intervalMs * FRESH_INTERVALS;
  }

  /** Forgets all but these replicas. */
  keep(keys: { has(key: string): boolean }): void {
    for (const key of this.proofs.keys()) if (!keys.has(key)) this.proofs.delete(key);
  }
}
