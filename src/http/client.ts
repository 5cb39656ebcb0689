/**
 * HTTP client for the store, the cloud, workers and replicas: one request, one JSON reply, one timeout.
 */
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { parseHostPort } from './host-port.js';

/** An HTTP response; `body` is null if the body was empty or not valid JSON. */
export interface Reply {
  status: number;
  body: unknown;
}

/** Details of a request that got no response. */
export interface NoResponseDetails {
  method?: string;
  path?: string;
  /** The timeout that expired, in milliseconds; absent if the request failed for another reason. */
  timeoutMs?: number;
  cause?: Error;
}

/** A request got no response: the server may have executed it, or may still execute it. */
export class NoResponseError extends Error {
  override readonly name = 'NoResponseError';
  readonly method?: string;
  readonly path?: string;
  readonly timeoutMs?: number;

  constructor(message: string, { method, path, timeoutMs, cause }: NoResponseDetails = {}) {
    super(message, cause === undefined ? undefined : { cause });
    this.method = method;
    this.path = path;
    this.timeoutMs = timeoutMs;
  }
}

/** Sends requests; tests provide an implementation that needs no network. */
export interface Transport {
  /** Rejects with `NoResponseError` if no response arrives within `timeoutMs` milliseconds. */
  request(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | null,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Reply>;
}

/** Resource limits for requests to one external service or to a group of hosts. */
export interface CallLimits {
  /** The maximum number of concurrent connections; not enforced with `keepIdleMs`. */
  sockets: number;
  /** A longer response is discarded, and the request counts as having got none. */
  maxResponseBytes: number;
  /**
   * How long an idle connection to one of a group of hosts is kept open, in milliseconds; absent:
   * connections are not reused.
   */
  keepIdleMs?: number;
}

/** Creates a transport to one service; its connections are kept alive and reused. */
export function httpTransport(address: string, limits: CallLimits): Transport {
  const { sockets, maxResponseBytes } = limits;
  const agent = new Agent({ keepAlive: true, maxSockets: sockets, scheduling: 'lifo' });
  return createTransport(agent, address, maxResponseBytes);
}

/**
 * Returns a factory of transports to many hosts. Without `keepIdleMs` they share the limit `sockets`
 * and do not reuse connections; otherwise idle connections are kept open for `keepIdleMs`.
 */
export function httpTransportFactory(limits: CallLimits): (address: string) => Transport {
  const agent = createAgent(limits);
  return (address) => createTransport(agent, address, limits.maxResponseBytes);
}

/**
 * With `keepIdleMs` there is one connection to each host, but no limit on the total number of sockets:
 * the agent counts idle connections in the total and does not close them to connect to another host.
 * Only the caller's request rate bounds the number of connections then.
 */
function createAgent({ sockets, keepIdleMs }: CallLimits): Agent {
  if (keepIdleMs === undefined) return new Agent({ keepAlive: false, maxTotalSockets: sockets });
  return new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1, timeout: keepIdleMs });
}

function createTransport(agent: Agent, address: string, maxResponseBytes: number): Transport {
  const { host, port } = parseHostPort(address);
  return {
    request: (method, path, body, timeoutMs, signal) =>
      new Promise<Reply>((resolve, reject) => {
        const payload = body === null ? null : Buffer.from(JSON.stringify(body));
        const request = httpRequest({ host, port, method, path, agent, signal });
        const timer = setTimeout(() => {
          const message = `${method} ${path}: no response in ${timeoutMs} ms`;
          request.destroy(new NoResponseError(message, { method, path, timeoutMs }));
        }, timeoutMs);
        const fail = (error: Error): void => {
          clearTimeout(timer);
          const details = { method, path, cause: error };
          reject(
            error instanceof NoResponseError ? error : new NoResponseError(error.message, details),
          );
        };
        request.on('error', fail);
        request.on('response', (res) => {
          readReply(res, maxResponseBytes, {
            succeed: (reply) => {
              clearTimeout(timer);
              resolve(reply);
            },
            fail,
            abandon: (message) => {
              fail(new NoResponseError(`${method} ${path}: ${message}`, { method, path }));
              request.destroy();
            },
          });
        });
        sendPayload(request, payload);
      }),
  };
}

interface ReplyCallbacks {
  succeed(reply: Reply): void;
  fail(error: Error): void;
  /** Rejects the request and discards the rest of the response. */
  abandon(message: string): void;
}

function readReply(res: IncomingMessage, maxBytes: number, callbacks: ReplyCallbacks): void {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  res.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes <= maxBytes) return void chunks.push(chunk);
    chunks.length = 0;
    callbacks.abandon(`response of more than ${maxBytes} bytes`);
  });
  res.on('error', (error) => callbacks.fail(error));
  res.on('close', () => {
    if (!res.complete) callbacks.fail(new Error('connection lost during the response'));
  });
  res.on('end', () => {
    const text = Buffer.concat(chunks).toString('utf8');
    callbacks.succeed({ status: res.statusCode ?? 0, body: parseBody(text) });
  });
}

function sendPayload(req: ClientRequest, payload: Buffer | null): void {
  if (payload === null) return void req.end();
  req.setHeader('content-type', 'application/json');
  req.setHeader('content-length', payload.length);
  req.end(payload);
}

function parseBody(text: string): unknown {
  try {
    return text === '' ? null : JSON.parse(text);
  } catch {
    // A body that is not JSON counts as empty; callers decide by the status.
    return null;
  }
}
