import { Agent, request as httpRequest } from 'node:http';

export interface Reply {
  status: number;
  body: unknown;
}

/** The request got no answer: the other side may have carried it out, or may still do so. */
export class NoResponseError extends Error {}

export interface Transport {
  request(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | null,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Reply>;
}

/** What calls to one partner, or to many, may take. */
export interface CallLimits {
  sockets: number;
  /** An answer of more bytes than this is given up, as if there were none. */
  maxResponseBytes: number;
  /** For how long an idle connection to one of many hosts is kept; without it not at all. */
  keepIdleMs?: number;
}

export function httpTransport(address: string, limits: CallLimits): Transport {
  const { sockets, maxResponseBytes: maxResponseBytes } = limits;
  const agent = new Agent({ keepAlive: true, maxSockets: sockets, scheduling: 'lifo' });
  return createTransport(agent, address, maxResponseBytes);
}

/** For many hosts, which share so many sockets; none is kept unless the limits say so. */
export function httpTransportFactory(limits: CallLimits): (address: string) => Transport {
  const agent = createAgent(limits);
  return (address) => createTransport(agent, address, limits.maxResponseBytes);
}

/**
 * Idle connections count against the total of an agent and are not given up for another host's sake, so
 * where they are kept it is the caller's rate of calls that bounds them.
 */
function createAgent({ sockets, keepIdleMs }: CallLimits): Agent {
  if (keepIdleMs === undefined) return new Agent({ keepAlive: false, maxTotalSockets: sockets });
  return new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1, timeout: keepIdleMs });
}

function createTransport(agent: Agent, address: string, maxResponseBytes: number): Transport {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return {
    request: (method, path, body, timeoutMs, signal) =>
      new Promise<Reply>((resolve, reject) => {
        const payload = body === null ? null : Buffer.from(JSON.stringify(body));
        const req = httpRequest({ host, port, method, path, agent, signal });
        const timer = setTimeout(
          () => req.destroy(new NoResponseError(`${method} ${path}: no answer in ${timeoutMs} ms`)),
          timeoutMs,
        );
        const fail = (error: Error): void => {
          clearTimeout(timer);
          reject(error instanceof NoResponseError ? error : new NoResponseError(error.message));
        };
        req.on('error', fail);
        req.on('response', (res) => {
          const parts: Buffer[] = [];
          let bytes = 0;
          res.on('data', (part: Buffer) => {
            bytes += part.length;
            if (bytes <= maxResponseBytes) return void parts.push(part);
            parts.length = 0;
            fail(
              new NoResponseError(
                `${method} ${path}: an answer of more than ${maxResponseBytes} bytes`,
              ),
            );
            req.destroy();
          });
          res.on('error', fail);
          res.on('close', () => {
            if (!res.complete)
              fail(new NoResponseError('connection lost in the middle of an answer'));
          });
          res.on('end', () => {
            clearTimeout(timer);
            const text = Buffer.concat(parts).toString('utf8');
            resolve({ status: res.statusCode ?? 0, body: parse(text) });
          });
        });
        if (payload) {
          req.setHeader('content-type', 'application/json');
          req.setHeader('content-length', payload.length);
          req.end(payload);
        } else {
          req.end();
        }
      }),
  };
}

/** A body that is not JSON carries nothing that could be believed. */
function parse(text: string): unknown {
  try {
    return text === '' ? null : JSON.parse(text);
  } catch {
    return null;
  }
}
