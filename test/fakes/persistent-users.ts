import assert from 'node:assert/strict';
import type { ApiResponse } from '../../src/jobs/job-api.js';
import type { JobTemplate } from './job-factory.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** For how many jobs users ask at once. */
const MOST_ASKED = 8;

/** For how long users repeat a request, in milliseconds. */
export const PERSIST_MS = 60_000;

/** Users that repeat their requests, at any node, until they are answered. */
export class PersistentUsers {
  /** How many requests are being repeated now. */
  private underWay = 0;

  constructor(
    private readonly world: SimulatedCluster,
    /** Ends with the scenario. */
    private readonly end: AbortSignal,
  ) {}

  /** Some request has no final answer yet: what it asks for may still come about. */
  get busy(): boolean {
    return this.underWay > 0;
  }

  /** A user submits until the job is accepted. */
  accepting(template: JobTemplate): Promise<string> {
    return this.acceptingWished(this.world.wish(template));
  }

  /** The same of a job that has its id already. */
  async acceptingWished({ ref, body }: { ref: string; body: object }): Promise<string> {
    await this.persist(() => this.world.user(this.anyNode()).submit(body), `${ref} accepted`);
    this.world.accepted.set(ref, body);
    return ref;
  }

  /** A user cancels until it is confirmed; answers what the job is called then. */
  async cancelling(ref: string, node?: number): Promise<string> {
    const request = (): Promise<ApiResponse> => this.world.user(node ?? this.anyNode()).abort(ref);
    const answer = await this.persist(request, `${ref} cancelled`);
    return (answer.body as { phase: string }).phase;
  }

  /** Users ask at all nodes for a job, and submit it again, within milliseconds. */
  async queryEverywhere(ref: string): Promise<void> {
    for (const waitMs of [0, 2, 10, 50]) {
      await this.world.clock.sleep(waitMs);
      for (const [i] of this.world.nodes.entries()) {
        void this.world.user(i).query(ref);
        if (this.world.accepted.has(ref))
          void this.world.user(i).submit(this.world.accepted.get(ref));
      }
    }
  }

  /** Repeats a request every second as users do, for up to a minute. */
  private async persist(request: () => Promise<ApiResponse>, what: string): Promise<ApiResponse> {
    this.underWay++;
    try {
      return await this.repeat(request, what);
    } finally {
      this.underWay--;
    }
  }

  private async repeat(request: () => Promise<ApiResponse>, what: string): Promise<ApiResponse> {
    for (const until = this.world.clock.now() + PERSIST_MS; this.world.clock.now() < until;) {
      const answer = await request();
      if (answer.status === 200 || answer.status === 201) return answer;
      await this.world.clock.sleep(1000, this.end);
      if (this.end.aborted) return answer;
    }
    return assert.fail(`not ${what} within a minute`);
  }

  private anyNode(): number {
    if (this.world.balanced) return this.world.random.pick(this.world.controllers.healthy());
    return Math.floor(this.world.random.next() * this.world.nodes.length);
  }

  /** Users go on asking for jobs, at any node, and now and then submit one again. */
  async keepAsking(everyMs = 1500): Promise<void> {
    const { end: signal } = this;
    while (!signal.aborted) {
      const jobs = [...this.world.accepted];
      for (let i = 0; i < Math.min(jobs.length, MOST_ASKED); i++) {
        const [ref, body] = this.world.random.pick(jobs);
        const user = this.world.user(this.anyNode());
        void (this.world.random.next() < 0.2 ? user.submit(body) : user.query(ref));
      }
      await this.world.clock.sleep(everyMs, signal);
    }
  }
}
