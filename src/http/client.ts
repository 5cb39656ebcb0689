/** HTTP client for the store, the cloud, workers and replicas: one request, one JSON reply, one timeout. */
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { parseHostPort } from './host-port.js';

/** A response; `body` is null if it was empty or no JSON. */
export interface Reply {
  status: number;
  body: unknown;
}

/** What is known of a request without a response. */
export interface NoResponseFacts {
  method?: string;
  path?: string;
  /** The timeout that expired, in milliseconds; absent if the request failed otherwise. */
  timeoutMs?: number;
  cause?: Error;
}

/** The request got no response: the other side may have executed it, or may still do so. */
export class NoResponseError extends Error {
  override readonly name = 'NoResponseError';
  readonly method?: string;
  readonly path?: string;
  readonly timeoutMs?: number;

  constructor(message: string, { method, path, timeoutMs, cause }: NoResponseFacts = {}) {
    super(message, cause === undefined ? undefined : { cause });
    this.method = method;
    this.path = path;
    this.timeoutMs = timeoutMs;
  }
}

/** How requests are sent; tests bring one without a network. */
export interface Transport {
  /** Rejects with `NoResponseError` without a response in `timeoutMs` milliseconds. */
  request(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | null,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Reply>;
}

/** What requests to one external service, or to many hosts, may take. */
export interface CallLimits {
  /** Connections at once. */
  sockets: number;
  /** A longer response is abandoned, as if there were none. */
  maxResponseBytes: number;
  /** For how long an idle connection to one of many hosts is kept; absent: not at all. */
  keepIdleMs?: number;
}

/** A transport to one service, which keeps its connections. */
export function httpTransport(address: string, limits: CallLimits): Transport {
  const { sockets, maxResponseBytes } = limits;
  const agent = new Agent({ keepAlive: true, maxSockets: sockets, scheduling: 'lifo' });
  return createTransport(agent, address, maxResponseBytes);
}

/** Transports to many hosts that share `sockets`; connections are kept only for `keepIdleMs`. */
export function httpTransportFactory(limits: CallLimits): (address: string) => Transport {
  const agent = createAgent(limits);
  return (address) => createTransport(agent, address, limits.maxResponseBytes);
}

/**
 * An agent counts idle connections in its total and does not close them in favour of another host, so
 * where they are kept only the caller's rate of requests bounds them.
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
        const req = httpRequest({ host, port, method, path, agent, signal });
        const timer = setTimeout(() => {
          const message = `${method} ${path}: no response in ${timeoutMs} ms`;
          req.destroy(new NoResponseError(message, { method, path, timeoutMs }));
        }, timeoutMs);
        const fail = (error: Error): void => {
          clearTimeout(timer);
          const facts = { method, path, cause: error };
          reject(
            error instanceof NoResponseError ? error : new NoResponseError(error.message, facts),
          );
        };
        req.on('error', fail);
        req.on('response', (res) => {
          readReply(res, maxResponseBytes, {
            succeed: (reply) => {
              clearTimeout(timer);
              resolve(reply);
            },
            fail,
            abandon: (message) => {
              fail(new NoResponseError(`${method} ${path}: ${message}`, { method, path }));
              req.destroy();
            },
          });
        });
        sendPayload(req, payload);
      }),
  };
}

interface ReplyOutcome {
  succeed(reply: Reply): void;
  fail(error: Error): void;
  /** The rest of the response is of no use. */
  abandon(message: string): void;
}

function readReply(res: IncomingMessage, maxBytes: number, outcome: ReplyOutcome): void {
  const parts: Buffer[] = [];
  let bytes = 0;
  res.on('data', (part: Buffer) => {
    bytes += part.length;
    if (bytes <= maxBytes) return void parts.push(part);
    parts.length = 0;
    outcome.abandon(`response of more than ${maxBytes} bytes`);
  });
  res.on('error', (error) => outcome.fail(error));
  res.on('close', () => {
    if (!res.complete) outcome.fail(new Error('connection lost during the response'));
  });
  res.on('end', () => {
    const text = Buffer.concat(parts).toString('utf8');
    outcome.succeed({ status: res.statusCode ?? 0, body: parseBody(text) });
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
    // A body that is not JSON is as good as none; the caller judges by the status.
    return null;
  }
}
