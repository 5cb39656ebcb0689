/** Answers to operators and how they are worked out, the same for every extension. */
import type { Logger } from '@leverhatch/core/log';
import { InvalidRequestError } from './request.js';

/** After how many seconds to retry when a controller does not serve. */
const RETRY_AFTER_SECONDS = 2;

/** Attempts at a transaction that conflicts with those of other controllers. */
const MAX_ATTEMPTS = 5;

/** An answer to an operator. */
export interface ApiAnswer {
  /** HTTP status. */
  status: 200 | 201 | 400 | 404 | 409 | 421 | 422 | 503;
  body: object;
  /** After how many seconds to ask again. */
  retryAfter?: number;
}

/** A refusal with one line that says why. */
export const errorAnswer = (status: ApiAnswer['status'], message: string): ApiAnswer => ({
  status,
  body: { error: message },
  ...(status === 503 ? { retryAfter: RETRY_AFTER_SECONDS } : {}),
});

/** Runs `answer` and turns what it throws into an answer: its own status for a bad request, or else 503. */
export async function answering(
  log: Logger,
  handler: () => Promise<ApiAnswer>,
): Promise<ApiAnswer> {
  try {
    return await handler();
  } catch (error) {
    if (error instanceof InvalidRequestError) return errorAnswer(error.status, error.message);
    // The store failed, so a write may be ambiguous; requests are idempotent, and a repeat finds out.
    log.debug({ error: String(error) }, 'operator request failed');
    return errorAnswer(503, 'the state service does not serve');
  }
}

/**
 * Repeats an attempt while its write conflicts with one of another controller, `MAX_ATTEMPTS` times in all.
 *
 * @param attempt reads, decides and writes; null: its conditions no longer held
 */
export async function retryingConflicts(
  attempt: () => Promise<ApiAnswer | null>,
): Promise<ApiAnswer> {
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    const answer = await attempt();
    if (answer) return answer;
  }
  return conflictAnswer();
}

/** The answer after a conflict: another controller has changed the same records meanwhile. */
export const conflictAnswer = (): ApiAnswer => errorAnswer(503, 'changed at the same time');

/** Generates write ids, unique among all processes and extensions. */
export class WriteIds {
  private count = 0;

  /**
   * @param processId identifies the process
   * @param extension distinguishes the write ids of one extension from those of others in the process
   */
  constructor(
    private readonly processId: string,
    private readonly extension: string,
  ) {}

  /** The id of the next write. */
  next(): string {
    this.count++;
    return `${this.processId}/${this.extension}${this.count}`;
  }
}
