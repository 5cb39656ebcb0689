/** Which replicas are proven to serve, by the probes that they answered. */
import type { Replica } from './ports.js';

/** So many valid answers in a row make a replica proven. */
export const CONSECUTIVE_ANSWERS = 3;

/** A proof is good for so many intervals, from when its probe was sent. */
export const FRESH_INTERVALS = 2.5;

interface Proof {
  inARow: number;
  /** When the last probe that was answered was sent. */
  sentAt: number;
  /** When its first probe was sent. */
  probedSince: number;
  wasProven: boolean;
}

/** What this leader's probes have shown. */
export class ReadinessProofs {
  private readonly proofs = new Map<string, Proof>();

  constructor(
    /** How often each replica should be probed. */
    private readonly intervalMs: number,
  ) {}

  /** A probe sent at `sentAt` got the answer of that very replica in time. */
  answered(replica: Replica, sentAt: number): void {
    const proof = this.proofOf(replica, sentAt);
    if (!this.isFresh(proof, sentAt)) proof.inARow = 0;
    proof.inARow++;
    proof.sentAt = Math.max(proof.sentAt, sentAt);
    proof.wasProven ||= proof.inARow >= CONSECUTIVE_ANSWERS;
  }

  private proofOf(replica: Replica, sentAt: number): Proof {
    const key = replica.key;
    const known = this.proofs.get(key);
    if (known) return known;
    const proof = { inARow: 0, sentAt, probedSince: sentAt, wasProven: false };
    this.proofs.set(key, proof);
    return proof;
  }

  /** A probe got no answer, a late one, or that of another replica. */
  failed(replica: Replica, sentAt: number): void {
    this.proofOf(replica, sentAt).inARow = 0;
  }

  isProven(replica: Replica, now: number): boolean {
    const proof = this.proofs.get(replica.key);
    if (!proof || !replica.running || replica.stopping) return false;
    return proof.inARow >= CONSECUTIVE_ANSWERS && this.isFresh(proof, now);
  }

  /** For how long it has been probed without being proven once; 0: it was, or was not probed yet. */
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
