/** Tracks which replicas are proven to serve, based on the probes that they answered. */
import type { Replica } from './ports.js';

/** Number of consecutive valid answers after which a replica is proven. */
const CONSECUTIVE_ANSWERS = 3;

/** Validity of a proof in probe intervals, from when its last probe was sent. */
export const PROOF_LIFETIME_INTERVALS = 2.5;

interface Proof {
  consecutiveAnswers: number;
  /** When the last answered probe was sent, in monotonic milliseconds like all times here. */
  sentAt: number;
  /** When its first probe was sent. */
  probedSince: number;
  wasProven: boolean;
}

/** The readiness of replicas according to this leader's probes. */
export class ReadinessProofs {
  private readonly proofs = new Map<string, Proof>();

  constructor(
    /** Interval between two probes of one replica, in milliseconds. */
    private readonly intervalMs: number,
  ) {}

  /** Records that a probe sent at `sentAt` got a valid answer of exactly this replica in time. */
  recordAnswer(replica: Replica, sentAt: number): void {
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

  /** Records that a probe got no answer, a late or invalid one, or that of another replica. */
  recordFailure(replica: Replica, sentAt: number): void {
    this.proofOf(replica, sentAt).consecutiveAnswers = 0;
  }

  /** Whether a replica is proven to serve now. */
  isProven(replica: Replica, now: number): boolean {
    const proof = this.proofs.get(replica.key);
    if (!proof || !replica.running || replica.stopping) return false;
    return proof.consecutiveAnswers >= CONSECUTIVE_ANSWERS && this.isFresh(proof, now);
  }

  /** Milliseconds since its first probe if it was never proven; 0 if it was, or was not probed yet. */
  probedWithoutProofMs(replica: Replica, now: number): number {
    const proof = this.proofs.get(replica.key);
    return !proof || proof.wasProven ? 0 : now - proof.probedSince;
  }

  private isFresh({ sentAt }: Proof, now: number): boolean {
    return now - sentAt <= this.intervalMs * PROOF_LIFETIME_INTERVALS;
  }

  /** Discards the data of all replicas but these. */
  retainOnly(keys: { has(key: string): boolean }): void {
    for (const key of this.proofs.keys()) if (!keys.has(key)) this.proofs.delete(key);
  }
}
