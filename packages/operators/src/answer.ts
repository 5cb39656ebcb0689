/** Answers to operators, the same for every part. */
import type { Logger } from '@leverhatch/core/log';
import { BadRequest } from './request.js';

/** When to come back after a refusal, in seconds. */
const RETRY_AFTER_S = 2;

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
    if (failure instanceof BadRequest) return errorAnswer(failure.status, failure.message);
    // Whatever keeps the state service from answering: the repeat finds out what became of it.
    log.debug({ error: String(failure) }, "operators' request not served");
    return errorAnswer(503, 'the state service does not serve');
  }
}
