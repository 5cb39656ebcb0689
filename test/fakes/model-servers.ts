import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Replica, ReplicaProbe } from '@leverhatch/rollout';
import type { FakeWorker, FakeTask } from './worker.js';

/** How the replicas of one job serve. */
export interface Model {
  /** From when it runs until it answers; Infinity: it never does. */
  readyMs: number;
  /** The median latency, by how many replicas of its job serve beside it. */
  latencyMs(serving: number): number;
  /** Of its requests, the share that fails. */
  errorRate: number;
}

/** What becomes of a probe. */
export type ProbeFate = 'answer' | 'silence' | 'late' | 'malformed' | 'former attempt';

/** The shape of every distribution of latencies, as multiples of its median. */
const LATENCY_MULTIPLES = [0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.3, 1.6, 2.2];

const US_PER_MS = 1000;
const HEALTHY_MODEL: Model = { readyMs: 500, latencyMs: () => 100, errorRate: 0 };

/** For so long it is not counted again who shares them. */
const LOAD_CACHE_MS = 250;

/** Where the fake model servers run: what the simulation knows of replicas. */
export interface ModelHost {
  now(): number;
  sleep(ms: number): Promise<void>;
  /** The machine of that name; undefined: there is none. */
  worker(id: string): FakeWorker | undefined;
  workers(): Iterable<FakeWorker>;
  image(job: string): string;
}

/** Model servers beside the fake workers: they answer probes for the tasks that run there. */
export class ModelServers {
  /** How the replicas of a job serve, where that is not well. */
  readonly models = new Map<string, Model>();
  /** What becomes of probes; the first that is not `answer` counts. */
  readonly faults = new Set<(replica: Replica) => ProbeFate>();
  /** Probes that were sent. */
  probesSent = 0;
  /** Requests of users to all replicas together. */
  requestsPerSecond = 400;
  private readonly answeredAt = new Map<string, number>();
  private load = { at: -Infinity, byJob: new Map<string, number>() };

  constructor(private readonly host: ModelHost) {}

  modelOf(job: string): Model {
    return this.models.get(job) ?? HEALTHY_MODEL;
  }

  /** Whether requests of users to this replica are answered now. */
  isServing(worker: FakeWorker, piece: FakeTask): boolean {
    if (worker.dead || worker.hung || worker.expired || piece.phase !== 'running') return false;
    return this.host.now() - piece.since >= this.modelOf(piece.job).readyMs;
  }

  /** How many replicas of a job serve now. */
  serving(job: string): number {
    let count = 0;
    for (const worker of this.host.workers()) {
      for (const piece of worker.pieces) {
        if (piece.job === job && this.isServing(worker, piece)) count++;
      }
    }
    return count;
  }

  /** The way of one controller to the replicas. */
  probe(reaches: (worker: FakeWorker) => boolean): ReplicaProbe {
    return {
      ask: async (replica, timeoutMs) => {
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

  private outcomeOf(replica: Replica): ProbeFate {
    for (const fault of this.faults) {
      const outcome = fault(replica);
      if (outcome !== 'answer') return outcome;
    }
    return 'answer';
  }

  /** What the model server says of the task that runs there under that number; null: nothing. */
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

  /** How many replicas of each job serve, as it was counted lately. */
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
