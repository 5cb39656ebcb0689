/** Validates the bodies of operators' requests; errors name the invalid field. */
import { z } from 'zod/mini';

/** Ids are chosen by clients and make requests idempotent. */
const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

/** Schema of an id chosen by an operator. */
export const requestId = z
  .string()
  .check(z.regex(ID_PATTERN, 'must be 1 to 64 letters, digits, dots, dashes or underscores'));

/** The request is invalid; the message is one line that names the field. */
export class InvalidRequestError extends Error {
  constructor(
    /** 400: malformed. 422: well-formed, but not possible in this cluster. */
    readonly status: 400 | 422,
    readonly field: string,
    message: string,
  ) {
    super(`${field}: ${message}`);
  }
}

/**
 * Validates a request body.
 *
 * @throws InvalidRequestError that names the first field that does not match the schema
 */
export function parseBody<T extends z.ZodMiniType>(schema: T, value: unknown): z.output<T> {
  const result = z.safeParse(schema, value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const unknownField = issue?.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
  const path = [...(issue?.path ?? []), ...(unknownField === undefined ? [] : [unknownField])];
  throw new InvalidRequestError(400, path.join('.') || 'body', issue?.message ?? 'is malformed');
}
