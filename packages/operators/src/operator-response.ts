/** Responses to operators, and error and conflict handling shared by all extensions. */
import type { Logger } from '@leverhatch/core/log';
import { InvalidRequestError } from './request.js';

/** `Retry-After` of responses with status 503, in seconds. */
const RETRY_AFTER_SECONDS = 2;

/** Maximum number of attempts of a transaction that conflicts with those of other controllers. */
const MAX_ATTEMPTS = 5;

/** A response to an operator. */
export interface OperatorResponse {
  /** HTTP status code. */
  status: 200 | 201 | 400 | 404 | 409 | 421 | 422 | 503;
  body: object;
  /** Delay in seconds after which to retry. */
  retryAfter?: number;
}

/** An error response with a one-line message. */
export const errorResponse = (
  status: OperatorResponse['status'],
  message: string,
): OperatorResponse => ({
  status,
  body: { error: message },
  ...(status === 503 ? { retryAfter: RETRY_AFTER_SECONDS } : {}),
});

/**
 * Runs `handler` and converts errors into responses: an invalid request has its own status, all other errors
 * give 503.
 */
export async function withErrorResponses(
  log: Logger,
  handler: () => Promise<OperatorResponse>,
): Promise<OperatorResponse> {
  try {
    return await handler();
  } catch (error) {
    if (error instanceof InvalidRequestError) return errorResponse(error.status, error.message);
    // The store failed, so a write may be ambiguous. Requests are idempotent, so the client can retry.
    log.debug({ error: String(error) }, 'operator request failed');
    return errorResponse(503, 'the state service does not serve');
  }
}

/**
 * Retries while the write conflicts with one of another controller, up to `MAX_ATTEMPTS` attempts in total.
 *
 * @param attempt reads, decides and writes; null: the conditions of its write no longer held
 */
export async function retryingConflicts(
  attempt: () => Promise<OperatorResponse | null>,
): Promise<OperatorResponse> {
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    const answer = await attempt();
    if (answer) return answer;
  }
  return conflictResponse();
}

/** The response after a conflict: another controller changed the same records in the meantime. */
export const conflictResponse = (): OperatorResponse =>
  errorResponse(503, 'changed at the same time');

/** Generates write ids, unique among all processes and extensions. */
export class WriteIds {
  private count = 0;

  /**
   * @param processId identifies the process
   * @param extension distinguishes the write ids of extensions within the process
   */
  constructor(
    private readonly processId: string,
    private readonly extension: string,
  ) {}

  /** Returns the id of the next write. */
  next(): string {
    this.count++;
    return `${this.processId}/${this.extension}${this.count}`;
  }
}
