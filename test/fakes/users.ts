import type { ApiResponse, JobApi } from '../../src/jobs/job-api.js';
import type { FakeClock } from './clock.js';
import type { Action, RuleChecker } from './rule-checker.js';

/** One controller as its users see it. */
export interface UserEndpoint {
  readonly name: string;
  /** Null while no process accepts connections there. */
  jobApi(): JobApi | null;
  /** Ends when the process that takes the request now ends, and its connections with it. */
  readonly alive: AbortSignal;
  /** For how long answers are held up on their way. */
  readonly heldMs: number;
  /** Resolves when a process that stands still goes on. */
  waitWhileFrozen(): Promise<void>;
}

/** What a user gets who gets nothing: the connection failed, broke or brought no answer in time. */
const NO_RESPONSE: ApiResponse = { status: 0, body: {} };

/** How long users wait for an answer. */
const TIMEOUT_MS: Record<Action, number> = { submit: 5000, query: 2000, abort: 5000 };

/**
 * The only way of users to controllers: what they are told, when and at which node goes to the
 * checker of the rules.
 */
export class Users {
  /** A request of a user has had its answer, or will get none. */
  onExchange: (node: string, action: Action, request: unknown, answer: ApiResponse) => void = () =>
    undefined;

  constructor(
    private readonly clock: FakeClock,
    private readonly checker: RuleChecker,
    private readonly endpoint: (node: number) => UserEndpoint,
  ) {}

  /** The users' interface of one controller. */
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
    const checked = this.checker.asked(action, ref, endpoint.name, body);
    const done = new AbortController();
    const timeout = this.clock.sleep(TIMEOUT_MS[action], done.signal).then(() => NO_RESPONSE);
    const answer = await Promise.race([this.send(endpoint, request), timeout]);
    done.abort();
    this.onExchange(endpoint.name, action, body ?? ref, answer);
    const { phase } = answer.body as { phase?: string };
    this.checker.answered(checked, { status: answer.status, phase: phase ?? null }, body);
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

/** The job that a body names; whatever else it says. */
function refOf(body: unknown): string {
  const ref = typeof body === 'object' && body !== null ? (body as { ref?: unknown }).ref : null;
  return typeof ref === 'string' ? ref : '';
}
