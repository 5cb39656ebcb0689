/** Asks a replica whether it serves, and how it has served since it was last asked. */
import { z } from 'zod/mini';
import type { Replica } from './ports.js';

/** Longer histograms than this are not taken. */
const MOST_HISTOGRAM_BYTES = 16 * 1024;

const count = z.int().check(z.nonnegative());

const probeAnswer = z.object({
  job: z.string(),
  task: count,
  attempt: count,
  session: count,
  /** The image that it serves. */
  version: z.string(),
  /** Requests since its last answer, and how many of them failed. */
  requests: count,
  errors: count,
  /** Latencies in microseconds since its last answer: an HDR histogram, compressed, as base64. */
  latencies: z.nullable(z.string().check(z.maxLength(MOST_HISTOGRAM_BYTES))),
});

/** What a replica answers. */
export type ProbeAnswer = z.infer<typeof probeAnswer>;

/** Null for anything but the answer of this very replica. */
export function answerOf(replica: Replica, value: unknown): ProbeAnswer | null {
  const result = z.safeParse(probeAnswer, value);
  if (!result.success) return null;
  const answer = result.data;
  const same =
    answer.job === replica.job &&
    answer.task === replica.task &&
    answer.attempt === replica.attempt &&
    answer.session === replica.agentEpoch &&
    answer.version === replica.image;
  return same && answer.errors <= answer.requests ? answer : null;
}

/** The way to replicas. */
export interface ReplicaProbe {
  /** What the replica answers, unchecked; rejects if nothing comes within `timeoutMs`. */
  ask(replica: Replica, timeoutMs: number, signal: AbortSignal): Promise<unknown>;
}

/** A client that keeps its connections. */
export type ProbeTransport = (address: string) => {
  request(
    method: 'GET',
    path: string,
    body: null,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<{ status: number; body: unknown }>;
};

/** An address template is wrong. */
export class InvalidTemplateError extends Error {}

const VARIABLE = /\{([a-z]+)\}/g;
const OK = 200;

/** Where a replica is asked, as operators describe it. */
export class AddressTemplate {
  /** @param text such as `http://{host}:9100/replicas/{job}/{task}/{attempt}` */
  constructor(private readonly text: string) {
    const sample = this.fill({ address: '127.0.0.1:9000', job: 'job', task: 0, attempt: 1 });
    if (!sample.startsWith('http://') || !URL.canParse(sample)) {
      throw new InvalidTemplateError('must be an http address');
    }
    if (new URL(sample).port === '') throw new InvalidTemplateError('must name a port');
  }

  /** The address of a replica whose worker takes commands at `address`. */
  of(replica: Replica & { address: string }): URL {
    return new URL(this.fill(replica));
  }

  private fill({
    address,
    job,
    task,
    attempt,
  }: Pick<Replica, 'job' | 'task' | 'attempt'> & { address: string }): string {
    const host = address.slice(0, address.lastIndexOf(':'));
    const values: Record<string, string> = {
      ...{ host, address, job: encodeURIComponent(job) },
      ...{ task: String(task), attempt: String(attempt) },
    };
    return this.text.replace(VARIABLE, (_all, name: string) => {
      if (!Object.hasOwn(values, name))
        throw new InvalidTemplateError(`unknown variable {${name}}`);
      return values[name]!;
    });
  }
}

/** Asks over HTTP. */
export class HttpReplicaProbe implements ReplicaProbe {
  constructor(
    private readonly template: AddressTemplate,
    private readonly transport: ProbeTransport,
  ) {}

  async ask(replica: Replica, timeoutMs: number, signal: AbortSignal): Promise<unknown> {
    const { address } = replica;
    if (address === null) throw new Error('its worker has no address');
    const url = this.template.of({ ...replica, address });
    const path = `${url.pathname}${url.search}`;
    const reply = await this.transport(url.host).request('GET', path, null, timeoutMs, signal);
    if (reply.status !== OK) throw new Error(`answered ${reply.status}`);
    return reply.body;
  }
}
