/** Probes replicas at random offsets within the interval, with bounded rate and concurrency. */
import type { Clock } from '@leverhatch/core/clock';
import type { Random } from '@leverhatch/core/random';
import { TokenBucket } from '@leverhatch/core/token-bucket';
import { parseProbeAnswer, type ProbeAnswer } from './probe.js';
import type { ProbeSettings, Replica, ReplicaProbe } from './ports.js';
import type { ReadinessProofs } from './readiness-proofs.js';

/** Timeout of a probe as a share of the probe interval. */
const TIMEOUT_RATIO = 1 / 2;

/** Polls of the queue for due probes per probe interval. */
const POLLS_PER_INTERVAL = 20;

/** Refreshes of the list of replicas per probe interval. */
const REFRESHES_PER_INTERVAL = 4;

/** Maximum burst, and maximum number of probes in flight, as seconds at the configured rate. */
const BURST_SECONDS = 0.5;

/** Dependencies and callbacks of a prober. */
export interface ProberOptions {
  clock: Clock;
  random: Random;
  probe: ReplicaProbe;
  settings: ProbeSettings;
  proofs: ReadinessProofs;
  /** Returns the replicas to probe now. */
  replicas(): Replica[];
  /** Called with each valid answer that arrived in time. */
  onAnswer(replica: Replica, answer: ProbeAnswer): void;
}

/** A replica and the time of its next probe. */
interface ScheduledProbe {
  replica: Replica;
  at: number;
}

/** Sends the probes of one term. */
export class Prober {
  /** All replicas, ordered by the time of their next probe. */
  private queue: ScheduledProbe[] = [];
  private refreshedAt = -Infinity;
  private readonly inFlight = new Set<string>();
  /** Starts without burst tokens, so that the first probes of a new leader are spread too. */
  private readonly rate: TokenBucket;

  constructor(private readonly options: ProberOptions) {
    const { clock, settings } = options;
    const burst = Math.max(1, settings.perSecond * BURST_SECONDS);
    this.rate = new TokenBucket(clock, settings.perSecond, burst, 0);
  }

  /** Interval between probes of one replica, extended if the rate does not suffice for all replicas. */
  private get intervalMs(): number {
    const { intervalMs, perSecond } = this.options.settings;
    return Math.max(intervalMs, (this.queue.length / perSecond) * 1000);
  }

  /** Probes until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.options;
    while (!signal.aborted) {
      this.sendDue(signal);
      await clock.sleep(settings.intervalMs / POLLS_PER_INTERVAL, signal);
    }
  }

  private sendDue(signal: AbortSignal): void {
    const now = this.options.clock.now();
    const refreshMs = this.options.settings.intervalMs / REFRESHES_PER_INTERVAL;
    if (now - this.refreshedAt >= refreshMs) this.refresh(now);
    this.rate.refill();
    let due = this.queue[0];
    while (due && due.at <= now && this.rate.tokens >= 1 && this.inFlight.size < this.rate.burst) {
      this.queue.shift();
      // All replicas have the same interval, so appending keeps the queue sorted.
      this.queue.push({ replica: due.replica, at: now + this.intervalMs });
      if (!this.inFlight.has(due.replica.key)) {
        this.rate.spend(1);
        void this.probe(due.replica, signal);
      }
      due = this.queue[0];
    }
  }

  /** Refreshes the list of replicas. New ones get a random first probe time, which spreads the load. */
  private refresh(now: number): void {
    this.refreshedAt = now;
    const { random, proofs } = this.options;
    const replicas = new Map(
      this.options.replicas().map((replica) => [replica.key, replica] as const),
    );
    proofs.retainOnly(replicas);
    const queue: ScheduledProbe[] = [];
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
    const { clock, probe, proofs } = this.options;
    const timeoutMs = this.options.settings.intervalMs * TIMEOUT_RATIO;
    const sentAt = clock.now();
    this.inFlight.add(replica.key);
    try {
      const answer = parseProbeAnswer(replica, await probe.send(replica, timeoutMs, signal));
      // The timeout does not detect an answer that waited here while this controller was stalled.
      const isLate = clock.now() - sentAt > timeoutMs;
      if (answer && !isLate) {
        proofs.recordAnswer(replica, sentAt);
        this.options.onAnswer(replica, answer);
      } else proofs.recordFailure(replica, sentAt);
    } catch {
      // Any error counts as a failed probe.
      proofs.recordFailure(replica, sentAt);
    } finally {
      this.inFlight.delete(replica.key);
    }
  }
}
