import type { MachineTypeCatalog } from '../../src/fleet/machine-type-catalog.js';
import type { Transport } from '../../src/http/client.js';
import { JobApi, type ApiResponse } from '../../src/jobs/job-api.js';
import type { Settings } from '../../src/settings/deploy.js';
import { Store } from '../../src/state/store.js';
import { FakeClock } from './clock.js';
import { SUBMISSION, TYPE } from './samples.js';
import { FakeStore, type RequestOutcome } from './store.js';
import { fakeRandom, settings } from './simulated-cluster.js';

/** How long the nodes hold a submission or cancellation, and a query. */
export const SUBMIT_MS = 4000;
export const POLL_MS = 1600;

const log = { error() {}, warn() {}, info() {}, debug() {} };

interface SentRequest {
  node: number;
  path: string;
  body: { when: { k: string }[]; then: { write?: string; value?: unknown }[] } | null;
}

/** Several nodes that answer users from one store, without a leader, workers or a cloud. */
export class Nodes {
  readonly clock = new FakeClock();
  readonly store = new FakeStore(this.clock);
  readonly sent: SentRequest[] = [];
  /** Decides the outcome of a node's request to the store. */
  storeOutcome: (sent: SentRequest) => RequestOutcome = () => 'serve';
  /** The number of open jobs that the leader reports, and the lag of timers. */
  openJobs = 0;
  lagMs = 0;
  private readonly apis: JobApi[] = [];
  private processCount = 0;

  constructor(
    count: number,
    private readonly limits: Partial<Settings['state']> = {},
    /** The number of controllers in the settings. */
    private readonly size = settings().size,
  ) {
    for (let i = 0; i < count; i++) this.restart(i);
  }

  /** Restarts the node with empty memory. */
  restart(node: number): void {
    const sample = settings();
    const changed = { ...sample, size: this.size, state: { ...sample.state, ...this.limits } };
    const random = fakeRandom(`node-${node}.${++this.processCount}`);
    const runtime = { clock: this.clock, random, log, startedAt: 0 };
    const link = this.store.transport((_method, path, body) =>
      this.storeOutcome({ node, path, body: body as SentRequest['body'] }),
    );
    const transport: Transport = {
      request: (method, path, body, ...rest) => {
        this.sent.push({ node, path, body: structuredClone(body) as SentRequest['body'] });
        return link.request(method, path, body, ...rest);
      },
    };
    const store = new Store(transport, runtime, changed, 700);
    const types = { value: new Map([[TYPE.name, TYPE]]) };
    this.apis[node] = new JobApi(
      store,
      { types } as unknown as MachineTypeCatalog,
      changed,
      runtime,
      {
        progressOf: () => null,
        openJobCount: () => this.openJobs,
        lagMs: () => this.lagMs,
        onCancellationAnnounced: () => undefined,
      },
      { submitMs: SUBMIT_MS, pollMs: POLL_MS },
    );
  }

  submit(
    node: number,
    ref: string,
    waitsOn?: unknown,
    overrides: object = {},
  ): Promise<ApiResponse> {
    const body = waitsOn === undefined ? { ...BODY, ref } : { ...BODY, ref, waitsOn };
    return this.advanceUntilSettled(this.apis[node]!.submit({ ...body, ...overrides }));
  }

  abort(node: number, ref: string): Promise<ApiResponse> {
    return this.advanceUntilSettled(this.aborting(node, ref));
  }

  /** Like `submit`, without advancing the clock. */
  submitting(node: number, ref: string): Promise<ApiResponse> {
    return this.apis[node]!.submit({ ...BODY, ref });
  }

  aborting(node: number, ref: string): Promise<ApiResponse> {
    return this.apis[node]!.cancel(ref);
  }

  query(node: number, ref: string): Promise<ApiResponse> {
    return this.apis[node]!.query(ref);
  }

  async phase(node: number, ref: string): Promise<string> {
    const answer = await this.advanceUntilSettled(this.apis[node]!.query(ref));
    return answer.status === 200 ? (answer.body as { phase: string }).phase : String(answer.status);
  }

  /** Writes the record of an ended job, as a leader does. */
  finish(ref: string, phase: 'done' | 'cancelled'): void {
    this.put(`jobs/${ref}`, { w: 'leader', phase, tasks: 1 });
  }

  /** Stores records of accepted, open jobs with one task each. */
  acceptAll(refs: string[]): void {
    for (const ref of refs) this.put(`jobs/${ref}`, { w: 'w', phase: 'open', tasks: 1 });
  }

  put(key: string, value: object): void {
    this.store.write(key, value);
  }

  /** Returns the response, and the milliseconds until it arrived. */
  async measure(pending: Promise<ApiResponse>): Promise<ApiResponse & { afterMs: number }> {
    const from = this.clock.now();
    let response: ApiResponse | null = null;
    void pending.then((a) => (response = a));
    for (let ms = 0; response === null && ms < 10_000; ms += 10) await this.clock.advance(10);
    return { ...response!, afterMs: this.clock.now() - from };
  }

  async advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let over = false;
    void promise.finally(() => (over = true)).catch(() => undefined);
    while (!over) await this.clock.advance(20);
    return promise;
  }
}

const BODY = { ...SUBMISSION, hulls: null, yard: null, dueS: null };
