import type { ApiResponse, JobApi } from '../../src/jobs/job-api.js';
import type { FakeClock } from './clock.js';
import type { Action, RuleChecker } from './rule-checker.js';

/** The user-facing endpoint of one controller. */
export interface UserEndpoint {
  readonly name: string;
  /** The API of the running process; null while no process accepts connections. */
  jobApi(): JobApi | null;
  /** Aborted when the current process ends, which breaks its connections. */
  readonly alive: AbortSignal;
  /** The delay of responses. */
  readonly heldMs: number;
  /** Resolves when a frozen process continues. */
  waitWhileFrozen(): Promise<void>;
}

/** Stands for a connection that failed or broke, or brought no response in time. */
const NO_RESPONSE: ApiResponse = { status: 0, body: {} };

/** How long users wait for a response. */
const TIMEOUT_MS: Record<Action, number> = { submit: 5000, query: 2000, abort: 5000 };

/**
 * Passes all user requests to controllers, and reports every request and answer to the rule
 * checker.
 */
export class Users {
  /** Called when a user request has been answered or has failed. */
  onExchange: (node: string, action: Action, request: unknown, answer: ApiResponse) => void = () =>
    undefined;

  constructor(
    private readonly clock: FakeClock,
    private readonly checker: RuleChecker,
    private readonly endpoint: (node: number) => UserEndpoint,
  ) {}

  /** The user API of one controller. */
  at(node: number): {
    submit(body: unknown): Promise<ApiResponse>;
    query(ref: string): Promise<ApiResponse>;
    abort(ref: string): Promise<ApiResponse>;
  } {
    return {
      submit: (body) =>
        this.ask(node, 'submit', refOf(body), (api) => api.submit(structuredClone(body)), body),
      query: (ref) => this.ask(node, 'query', ref, (api) => api.query(ref)),
      abort: (ref) => this.ask(node, 'abort', ref, (api) => api.cancel(ref)),
    };
  }

  private async ask(
    node: number,
    action: Action,
    ref: string,
    request: (api: JobApi) => Promise<ApiResponse>,
    body?: unknown,
  ): Promise<ApiResponse> {
    const endpoint = this.endpoint(node);
    const checkedRequest = this.checker.asked(action, ref, endpoint.name, body);
    const done = new AbortController();
    const timeout = this.clock.sleep(TIMEOUT_MS[action], done.signal).then(() => NO_RESPONSE);
    const answer = await Promise.race([this.send(endpoint, request), timeout]);
    done.abort();
    this.onExchange(endpoint.name, action, body ?? ref, answer);
    const { phase } = answer.body as { phase?: string };
    this.checker.answered(checkedRequest, { status: answer.status, phase: phase ?? null }, body);
    return answer;
  }

  private async send(
    endpoint: UserEndpoint,
    request: (api: JobApi) => Promise<ApiResponse>,
  ): Promise<ApiResponse> {
    const { alive } = endpoint;
    await endpoint.waitWhileFrozen();
    const api = endpoint.jobApi();
    if (!api || alive.aborted) return NO_RESPONSE;
    const answer = await request(api);
    await endpoint.waitWhileFrozen();
    if (endpoint.heldMs > 0) await this.clock.sleep(endpoint.heldMs);
    return alive.aborted ? NO_RESPONSE : answer;
  }
}

/** The job id in a body, which may otherwise be malformed. */
function refOf(body: unknown): string {
  const ref = typeof body === 'object' && body !== null ? (body as { ref?: unknown }).ref : null;
  return typeof ref === 'string' ? ref : '';
}
