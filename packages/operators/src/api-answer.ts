/** Answers to operators, the same for every part. */
import type { Logger } from '@leverhatch/core/log';
import { InvalidRequestError } from './request.js';

/** When to come back after a refusal, in seconds. */
const RETRY_AFTER_S = 2;

/** Two controllers may change one record at the same moment; each tries again this many times. */
const MAX_ATTEMPTS = 5;

/** An answer to an operator. */
export interface ApiAnswer {
  status: 200 | 201 | 400 | 404 | 409 | 421 | 422 | 503;
  body: object;
  /** When to ask again, in seconds. */
  retryAfter?: number;
}

/** A refusal: one line that says why. */
export const errorAnswer = (status: ApiAnswer['status'], message: string): ApiAnswer => ({
  status,
  body: { error: message },
  ...(status === 503 ? { retryAfter: RETRY_AFTER_S } : {}),
});

/** Turns what goes wrong while an answer is worked out into one. */
export async function answering(log: Logger, answer: () => Promise<ApiAnswer>): Promise<ApiAnswer> {
  try {
    return await answer();
  } catch (failure) {
    if (failure instanceof InvalidRequestError) return errorAnswer(failure.status, failure.message);
    // Whatever keeps the state service from answering: the repeat finds out what became of it.
    log.debug({ error: String(failure) }, "operators' request not served");
    return errorAnswer(503, 'the state service does not serve');
  }
}

/**
 * Reads, decides and writes anew as long as another controller has changed the same records in between.
 *
 * @param attempt the answer; null: its write was refused because of a change
 */
export async function retryingConflicts(
  attempt: () => Promise<ApiAnswer | null>,
): Promise<ApiAnswer> {
  for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
    const answer = await attempt();
    if (answer) return answer;
  }
  return conflictAnswer();
}

/** Another controller has changed the same records meanwhile. */
export const conflictAnswer = (): ApiAnswer => errorAnswer(503, 'changed at the same time');

/** Marks the writes of one part in one process, so that each can be told from all others. */
export class WriteIds {
  private written = 0;

  /**
   * @param processId names the process
   * @param part tells this part's marks from those of others in the process
   */
  constructor(
    private readonly processId: string,
    private readonly part: string,
  ) {}

  next(): string {
    return `${this.processId}/${this.part}${++this.written}`;
  }
}
