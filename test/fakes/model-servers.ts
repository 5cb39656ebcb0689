import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Replica, ReplicaProbe } from '@leverhatch/rollout';
import type { FakeWorker, FakeTask } from './worker.js';

/** How the replicas of one job behave. */
export interface Model {
  /** The time from the start of a replica until it answers; Infinity means never. */
  readyMs: number;
  /** The median latency, given the number of replicas of the job that serve. */
  latencyMs(serving: number): number;
  /** The fraction of requests that fail. */
  errorRate: number;
}

/** The outcome of a probe. */
export type ProbeOutcome = 'answer' | 'silence' | 'late' | 'malformed' | 'former attempt';

/** The latency distribution of every model, as multiples of its median. */
const LATENCY_MULTIPLES = [0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.3, 1.6, 2.2];

const US_PER_MS = 1000;
const HEALTHY_MODEL: Model = { readyMs: 500, latencyMs: () => 100, errorRate: 0 };

/** How long the count of serving replicas is cached. */
const LOAD_CACHE_MS = 250;

/** What the model servers need to know about the simulation that they run in. */
export interface ModelHost {
  now(): number;
  sleep(ms: number): Promise<void>;
  /** The worker of a machine; undefined if there is none. */
  worker(id: string): FakeWorker | undefined;
  workers(): Iterable<FakeWorker>;
  image(job: string): string;
}

/** Fake model servers, which answer probes for the tasks that run on the fake workers. */
export class ModelServers {
  /** The models of jobs that do not use the healthy default. */
  readonly models = new Map<string, Model>();
  /** Faults of probes; the first result other than `answer` applies. */
  readonly faults = new Set<(replica: Replica) => ProbeOutcome>();
  /** The number of probes sent. */
  probesSent = 0;
  /** User requests per second over all replicas. */
  requestsPerSecond = 400;
  private readonly answeredAt = new Map<string, number>();
  private load = { at: -Infinity, byJob: new Map<string, number>() };

  constructor(private readonly host: ModelHost) {}

  modelOf(job: string): Model {
    return this.models.get(job) ?? HEALTHY_MODEL;
  }

  /** Whether this replica answers user requests now. */
  isServing(worker: FakeWorker, piece: FakeTask): boolean {
    if (worker.dead || worker.hung || worker.expired || piece.phase !== 'running') return false;
    return this.host.now() - piece.since >= this.modelOf(piece.job).readyMs;
  }

  /** The number of replicas of a job that serve now. */
  serving(job: string): number {
    let count = 0;
    for (const worker of this.host.workers()) {
      for (const piece of worker.pieces) {
        if (piece.job === job && this.isServing(worker, piece)) count++;
      }
    }
    return count;
  }

  /** The probe that one controller uses, given which workers it can reach. */
  probe(reaches: (worker: FakeWorker) => boolean): ReplicaProbe {
    return {
      send: async (replica, timeoutMs) => {
        this.probesSent++;
        const outcome = this.outcomeOf(replica);
        await this.host.sleep(outcome === 'late' ? timeoutMs + 5 : 5);
        const worker = this.host.worker(replica.machine);
        const answer = worker && reaches(worker) ? this.answer(worker, replica) : null;
        if (answer === null || outcome === 'silence') {
          await this.host.sleep(timeoutMs);
          throw new Error('no answer');
        }
        if (outcome === 'malformed') return { ...answer, latencies: 'nonsense', errors: -1 };
        if (outcome === 'former attempt') return { ...answer, attempt: replica.attempt - 1 };
        return answer;
      },
    };
  }

  private outcomeOf(replica: Replica): ProbeOutcome {
    for (const fault of this.faults) {
      const outcome = fault(replica);
      if (outcome !== 'answer') return outcome;
    }
    return 'answer';
  }

  /** The response of the model server of one task attempt; null means none. */
  answer(
    worker: FakeWorker,
    { job, task, attempt }: Pick<Replica, 'job' | 'task' | 'attempt'>,
  ): object | null {
    const piece = worker.pieces.find(
      (piece) => piece.job === job && piece.task === task && piece.attempt === attempt,
    );
    if (!piece || !this.isServing(worker, piece)) return null;
    const { latencyMs, errorRate } = this.modelOf(job);
    const key = `${worker.id} ${job}/${task}/${attempt}`;
    const now = this.host.now();
    const since = this.answeredAt.get(key) ?? piece.since;
    this.answeredAt.set(key, now);
    const requests = Math.round(((now - since) / 1000) * this.ratePerReplica());
    const errors = Math.round(requests * errorRate);
    return {
      ...{ job, task, attempt, session: worker.shift, version: this.host.image(job) },
      ...{ requests, errors },
      latencies: latenciesOf(requests - errors, latencyMs(this.cachedLoad.get(job) ?? 0)),
    };
  }

  /** The number of serving replicas of each job, at most `LOAD_CACHE_MS` old. */
  private get cachedLoad(): ReadonlyMap<string, number> {
    const now = this.host.now();
    if (now - this.load.at < LOAD_CACHE_MS) return this.load.byJob;
    const byJob = new Map<string, number>();
    for (const worker of this.host.workers()) {
      for (const piece of worker.pieces) {
        if (!this.isServing(worker, piece)) continue;
        byJob.set(piece.job, (byJob.get(piece.job) ?? 0) + 1);
      }
    }
    this.load = { at: now, byJob };
    return byJob;
  }

  private ratePerReplica(): number {
    const serving = [...this.cachedLoad.values()].reduce((a, b) => a + b, 0);
    return this.requestsPerSecond / Math.max(1, serving);
  }
}

function latenciesOf(requests: number, medianMs: number): string | null {
  if (requests <= 0) return null;
  const histogram = build({ numberOfSignificantValueDigits: 2 });
  for (let i = 0; i < requests; i++) {
    const multiple = LATENCY_MULTIPLES[i % LATENCY_MULTIPLES.length]!;
    histogram.recordValue(Math.round(medianMs * US_PER_MS * multiple));
  }
  return encodeIntoCompressedBase64(histogram);
}
