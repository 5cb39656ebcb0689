/** Probes replicas over HTTP at addresses built from a configured template. */
import type { Replica, ReplicaProbe } from './ports.js';

/** Creates a keep-alive HTTP client for an address `HOST:PORT`; timeouts are in milliseconds. */
export type ProbeTransport = (address: string) => {
  request(
    method: 'GET',
    path: string,
    body: null,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<{ status: number; body: unknown }>;
};

/** The configured address template is invalid. */
export class InvalidTemplateError extends Error {
  constructor(
    readonly template: string,
    message: string,
  ) {
    super(message);
  }
}

/** A replica has no known address, or its response status was not 200. */
export class ProbeFailedError extends Error {
  constructor(
    readonly replica: string,
    message: string,
  ) {
    super(message);
  }
}

const VARIABLE = /\{([a-z]+)\}/g;
const OK = 200;

/** The template of the URL at which a replica is probed. */
export class AddressTemplate {
  /** @param text such as `http://{host}:9100/replicas/{job}/{task}/{attempt}` */
  constructor(private readonly text: string) {
    const sample = this.fill({ address: '127.0.0.1:9000', job: 'job', task: 0, attempt: 1 });
    if (!sample.startsWith('http://') || !URL.canParse(sample)) {
      throw new InvalidTemplateError(this.text, 'must be an http address');
    }
    if (new URL(sample).port === '') throw new InvalidTemplateError(this.text, 'must name a port');
  }

  /** The probe URL of a replica whose worker receives commands at `address`. */
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
    const values = new Map([
      ['host', host],
      ['address', address],
      ['job', encodeURIComponent(job)],
      ['task', String(task)],
      ['attempt', String(attempt)],
    ]);
    return this.text.replace(VARIABLE, (_all, name: string) => {
      const value = values.get(name);
      if (value === undefined)
        throw new InvalidTemplateError(this.text, `unknown variable {${name}}`);
      return value;
    });
  }
}

/** Probes over HTTP. */
export class HttpReplicaProbe implements ReplicaProbe {
  constructor(
    private readonly template: AddressTemplate,
    private readonly transport: ProbeTransport,
  ) {}

  async send(replica: Replica, timeoutMs: number, signal: AbortSignal): Promise<unknown> {
    const { address } = replica;
    if (address === null)
      throw new ProbeFailedError(replica.key, 'the address of its worker is unknown');
    const url = this.template.of({ ...replica, address });
    const path = `${url.pathname}${url.search}`;
    const reply = await this.transport(url.host).request('GET', path, null, timeoutMs, signal);
    if (reply.status !== OK)
      throw new ProbeFailedError(replica.key, `unexpected response status ${reply.status}`);
    return reply.body;
  }
}
