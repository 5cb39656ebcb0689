/** HTTP client for the operators' interface: tries controllers one after the other until one serves. */

/** Timeout of a request to one controller before the next is tried, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5000;

/** Statuses after which the next controller is tried: 503, it does not serve, and 421, it is not the leader. */
const NOT_SERVING_STATUSES: ReadonlySet<number> = new Set([503, 421]);

/** The response of a controller. */
export interface ControllerResponse {
  /** HTTP status code. */
  status: number;
  body: Record<string, unknown>;
}

/** No controller served the request: each did not respond, or answered with one of `NOT_SERVING_STATUSES`. */
export class UnreachableError extends Error {
  /** @param failures one line per controller: its address and why it did not serve */
  constructor(readonly failures: readonly string[]) {
    super(failures.join('; '));
  }
}

/**
 * Tries controllers in turn and returns the response of the first one that serves.
 *
 * @param addresses addresses of operators' listeners, each `HOST:PORT`
 * @throws UnreachableError if none serves
 */
export async function requestFromAny(
  addresses: string[],
  method: string,
  path: string,
  body?: object,
): Promise<ControllerResponse> {
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
): Promise<ControllerResponse> {
  const response = await fetch(`http://${address}${path}`, {
    method,
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    ...(body ? { body: JSON.stringify(body) } : {}),
  });
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

/**
 * Requests information that only the leader has in full. Returns the response with `leading` set, or else
 * the first response of a controller that serves.
 *
 * @throws UnreachableError if none serves
 */
export async function requestFromLeader(
  addresses: string[],
  path: string,
): Promise<ControllerResponse> {
  let firstResponse: ControllerResponse | null = null;
  const failures: string[] = [];
  for (const address of addresses) {
    try {
      const response = await requestFromAny([address], 'GET', path);
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

/** Errors of `fetch` carry the reason only in their cause, sometimes only as its code. */
function failureReason(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const cause: (Error & { code?: unknown }) | null =
    error.cause instanceof Error ? error.cause : null;
  const code = typeof cause?.code === 'string' ? cause.code : '';
  return [cause?.message, code].find(Boolean) ?? error.message;
}
