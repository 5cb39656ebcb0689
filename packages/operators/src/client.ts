/** Asks controllers over their operators' interface, one after the other until one serves. */

/** How long one controller is waited for before the next is asked, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5000;

/** Statuses with which a controller passes a request on: it does not serve, or it does not lead. */
const NOT_SERVING_STATUSES: ReadonlySet<number> = new Set([503, 421]);

/** What a controller answered. */
export interface Answered {
  /** HTTP status. */
  status: number;
  body: Record<string, unknown>;
}

/** No controller served the request: it did not answer, or its store did not. */
export class UnreachableError extends Error {
  /** @param failures one line for each controller: its address and why it did not serve */
  constructor(readonly failures: readonly string[]) {
    super(failures.join('; '));
  }
}

/**
 * Asks controllers in turn and returns the first answer of one that serves.
 *
 * @param addresses addresses of operators' listeners, `HOST:PORT`
 * @throws UnreachableError if none serves
 */
export async function ask(
  addresses: string[],
  method: string,
  path: string,
  body?: object,
): Promise<Answered> {
  const failures: string[] = [];
  for (const address of addresses) {
    try {
      const response = await sendRequest(address, method, path, body);
      if (!NOT_SERVING_STATUSES.has(response.status)) return response;
      failures.push(`${address}: ${String(response.body.error)}`);
    } catch (error) {
      failures.push(`${address}: ${failureReason(error)}`);
    }
  }
  throw new UnreachableError(failures);
}

async function sendRequest(
  address: string,
  method: string,
  path: string,
  body: object | undefined,
): Promise<Answered> {
  const response = await fetch(`http://${address}${path}`, {
    method,
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    ...(body ? { body: JSON.stringify(body) } : {}),
  });
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

/**
 * Asks for what only the leader knows in full. Returns the answer that says `leading`, or else the first
 * one of a controller that serves.
 *
 * @throws UnreachableError if none serves
 */
export async function askLeader(addresses: string[], path: string): Promise<Answered> {
  let firstResponse: Answered | null = null;
  const failures: string[] = [];
  for (const address of addresses) {
    try {
      const response = await ask([address], 'GET', path);
      if (response.body.leading === true) return response;
      firstResponse ??= response;
    } catch (error) {
      if (!(error instanceof UnreachableError)) throw error;
      failures.push(...error.failures);
    }
  }
  if (firstResponse) return firstResponse;
  throw new UnreachableError(failures);
}

/** `fetch` says only that it failed; the reason is in the cause, sometimes only as its code. */
function failureReason(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const cause: (Error & { code?: unknown }) | null =
    error.cause instanceof Error ? error.cause : null;
  const code = typeof cause?.code === 'string' ? cause.code : '';
  return [cause?.message, code].find(Boolean) ?? error.message;
}
