/** Probes replicas: spread over the interval, bounded in number and rate. */
import type { Clock } from '@leverhatch/core/clock';
import type { Random } from '@leverhatch/core/random';
import { TokenBucket } from '@leverhatch/core/token-bucket';
import { answerOf, type ProbeAnswer, type ReplicaProbe } from './probe.js';
import type { ProbeSettings, Replica } from './ports.js';
import type { ReadinessProofs } from './readiness-proofs.js';

/** A probe is late after this share of the interval. */
const TIMEOUT_SHARE = 1 / 2;

/** It is looked so often in an interval which replicas are due. */
const LOOKS_PER_INTERVAL = 20;

/** It is looked up so often in an interval which replicas there are. */
const REFRESHES_PER_INTERVAL = 4;

/** At most so many seconds' worth of probes are sent at once, and are under way. */
const BURST_SECONDS = 0.5;

/** What the prober rests on. */
export interface ProberOptions {
  clock: Clock;
  random: Random;
  probe: ReplicaProbe;
  settings: ProbeSettings;
  proofs: ReadinessProofs;
  /** Whom to probe now. */
  replicas(): Replica[];
  /** A replica has answered. */
  answered(replica: Replica, answer: ProbeAnswer): void;
}

/** A replica and when it is to be probed next. */
interface Due {
  replica: Replica;
  at: number;
}

/** The probes of one term. */
export class Prober {
  /** All replicas, the one that is due first at the head. */
  private queue: Due[] = [];
  private refreshedAt = -Infinity;
  private readonly underWay = new Set<string>();
  /** Empty at first: a new leader's probes are spread like all others. */
  private readonly rate: TokenBucket;

  constructor(private readonly parts: ProberOptions) {
    const { clock, settings } = parts;
    const burst = Math.max(1, settings.perSecond * BURST_SECONDS);
    this.rate = new TokenBucket(clock, settings.perSecond, burst, 0);
  }

  /** How often each replica is probed: less often where there are too many for the rate. */
  private get intervalMs(): number {
    const { intervalMs, perSecond } = this.parts.settings;
    return Math.max(intervalMs, (this.queue.length / perSecond) * 1000);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.parts;
    while (!signal.aborted) {
      this.look(signal);
      await clock.sleep(settings.intervalMs / LOOKS_PER_INTERVAL, signal);
    }
  }

  private look(signal: AbortSignal): void {
    const now = this.parts.clock.now();
    const refreshMs = this.parts.settings.intervalMs / REFRESHES_PER_INTERVAL;
    if (now - this.refreshedAt >= refreshMs) this.refresh(now);
    this.rate.fill();
    let due = this.queue[0];
    while (due && due.at <= now && this.rate.tokens >= 1 && this.underWay.size < this.rate.burst) {
      this.queue.shift();
      // All intervals are the same, so that nobody is due later than this one.
      this.queue.push({ replica: due.replica, at: now + this.intervalMs });
      if (!this.underWay.has(due.replica.key)) {
        this.rate.spend(1);
        void this.probe(due.replica, signal);
      }
      due = this.queue[0];
    }
  }

  /** Looks up whom to probe. New ones begin at a moment of their own, so that probes are spread. */
  private refresh(now: number): void {
    this.refreshedAt = now;
    const { random, proofs } = this.parts;
    const replicas = new Map(
      this.parts.replicas().map((replica) => [replica.key, replica] as const),
    );
    proofs.keep(replicas);
    const queue: Due[] = [];
    for (const { replica, at } of this.queue) {
      const present = replicas.get(replica.key);
      if (!present) continue;
      queue.push({ replica: present, at });
      replicas.delete(replica.key);
    }
    for (const replica of replicas.values()) {
      queue.push({ replica, at: now + random.next() * this.intervalMs });
    }
    if (replicas.size > 0) queue.sort((a, b) => a.at - b.at);
    this.queue = queue;
  }

  private async probe(replica: Replica, signal: AbortSignal): Promise<void> {
    const { clock, probe, proofs } = this.parts;
    const timeoutMs = this.parts.settings.intervalMs * TIMEOUT_SHARE;
    const sentAt = clock.now();
    this.underWay.add(replica.key);
    try {
      const answer = answerOf(replica, await probe.ask(replica, timeoutMs, signal));
      // Also where the answer waited here, since this controller stood still.
      const late = clock.now() - sentAt > timeoutMs;
      if (answer && !late) {
        proofs.answered(replica, sentAt);
        this.parts.answered(replica, answer);
      } else proofs.failed(replica, sentAt);
    } catch {
      proofs.failed(replica, sentAt);
    } finally {
      this.underWay.delete(replica.key);
    }
  }
}
