import assert from 'node:assert/strict';
import type { ApiResponse } from '../../src/jobs/job-api.js';
import type { JobTemplate } from './job-factory.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The maximum number of requests per round of `keepAsking`. */
const MAX_REQUESTS_PER_ROUND = 8;

/** How long users retry a request. */
export const RETRY_FOR_MS = 60_000;

/** Users that retry their requests, at any node, until they succeed. */
export class PersistentUsers {
  /** The number of requests that are being retried. */
  private pendingRequests = 0;

  constructor(
    private readonly cluster: SimulatedCluster,
    /** Aborted at the end of the scenario. */
    private readonly closed: AbortSignal,
  ) {}

  /** Whether a request has no final response yet and may still take effect. */
  get busy(): boolean {
    return this.pendingRequests > 0;
  }

  /** Retries a submission until the job is accepted. */
  submitUntilAccepted(template: JobTemplate): Promise<string> {
    return this.submitCreatedUntilAccepted(this.cluster.createSubmission(template));
  }

  /** Like `submitUntilAccepted`, for a submission that was created before. */
  async submitCreatedUntilAccepted({ ref, body }: { ref: string; body: object }): Promise<string> {
    await this.retryCounted(
      () => this.cluster.user(this.anyNode()).submit(body),
      `${ref} accepted`,
    );
    this.cluster.accepted.set(ref, body);
    return ref;
  }

  /** Retries a cancellation until it is confirmed; returns the phase in the response. */
  async cancelUntilConfirmed(ref: string, node?: number): Promise<string> {
    const request = (): Promise<ApiResponse> =>
      this.cluster.user(node ?? this.anyNode()).abort(ref);
    const answer = await this.retryCounted(request, `${ref} cancelled`);
    return (answer.body as { phase: string }).phase;
  }

  /** Queries a job at all nodes, and submits it again, several times within milliseconds. */
  async queryEverywhere(ref: string): Promise<void> {
    for (const waitMs of [0, 2, 10, 50]) {
      await this.cluster.clock.sleep(waitMs);
      for (const [i] of this.cluster.nodes.entries()) {
        void this.cluster.user(i).query(ref);
        if (this.cluster.accepted.has(ref))
          void this.cluster.user(i).submit(this.cluster.accepted.get(ref));
      }
    }
  }

  /** Retries a request every second for up to a minute, and counts it as pending meanwhile. */
  private async retryCounted(
    request: () => Promise<ApiResponse>,
    what: string,
  ): Promise<ApiResponse> {
    this.pendingRequests++;
    try {
      return await this.retryUntilAnswered(request, what);
    } finally {
      this.pendingRequests--;
    }
  }

  private async retryUntilAnswered(
    request: () => Promise<ApiResponse>,
    what: string,
  ): Promise<ApiResponse> {
    for (
      const deadline = this.cluster.clock.now() + RETRY_FOR_MS;
      this.cluster.clock.now() < deadline;
    ) {
      const answer = await request();
      if (answer.status === 200 || answer.status === 201) return answer;
      await this.cluster.clock.sleep(1000, this.closed);
      if (this.closed.aborted) return answer;
    }
    return assert.fail(`not ${what} within a minute`);
  }

  private anyNode(): number {
    if (this.cluster.useLoadBalancer)
      return this.cluster.random.pick(this.cluster.controllers.healthy());
    return Math.floor(this.cluster.random.next() * this.cluster.nodes.length);
  }

  /** Keeps querying random jobs at random nodes, and sometimes submits one again. */
  async keepAsking(everyMs = 1500): Promise<void> {
    const { closed: signal } = this;
    while (!signal.aborted) {
      const jobs = [...this.cluster.accepted];
      for (let i = 0; i < Math.min(jobs.length, MAX_REQUESTS_PER_ROUND); i++) {
        const [ref, body] = this.cluster.random.pick(jobs);
        const user = this.cluster.user(this.anyNode());
        void (this.cluster.random.next() < 0.2 ? user.submit(body) : user.query(ref));
      }
      await this.cluster.clock.sleep(everyMs, signal);
    }
  }
}
