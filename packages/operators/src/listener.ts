/** The operators' HTTP listener, on a separate port that only accepts requests from the allowed networks. */
import { createServer, type Server } from 'node:http';
import type { Logger } from '@leverhatch/core/log';
import express, {
  type Express,
  type NextFunction,
  type Request,
  type Response,
  type Router,
} from 'express';
import { InvalidAddressError, splitAddress } from './address.js';
import type { OperatorResponse } from './operator-response.js';
import type { AllowList } from './allow-list.js';

const MAX_BODY = '16kb';

/** Connections beyond this are refused; there are only a few operators. */
const MAX_CONNECTIONS = 16;

/** The HTTP routes of one extension. */
export interface OperatorRoutes {
  /** Path prefix of the routes, such as `/shares`. */
  path: string;
  router: Router;
}

/** Sends a response. */
export function send(response: Response, { status, body, retryAfter }: OperatorResponse): void {
  if (retryAfter !== undefined) response.setHeader('retry-after', String(retryAfter));
  response.status(status).json(body);
}

function createApp(
  extensions: readonly OperatorRoutes[],
  allowed: AllowList,
  log: Logger,
): Express {
  const app = express();
  app.disable('x-powered-by');
  app.use((request: Request, response: Response, next: NextFunction) => {
    const { remoteAddress } = request.socket;
    if (allowed.allows(remoteAddress)) return next();
    log.warn({ address: remoteAddress }, 'operator request rejected, network not allowed');
    response.status(403).json({ error: 'address: not in an allowed network' });
  });
  app.use(express.json({ limit: MAX_BODY, type: () => true }));
  for (const { path, router } of extensions) app.use(path, router);
  app.use((_request: Request, response: Response) => {
    response.status(404).json({ error: 'no such path' });
  });
  app.use((error: unknown, _request: Request, response: Response, next: NextFunction) => {
    if (response.headersSent) return next(error);
    response.status(400).json({ error: 'body: must be JSON of 16 KiB at most' });
  });
  return app;
}

/**
 * Starts the listener, which runs until `signal` is aborted; resolves once it accepts connections.
 *
 * @param address `HOST:PORT`, validated when the settings were read
 */
export function listenForOperators(
  extensions: readonly OperatorRoutes[],
  allowed: AllowList,
  address: string,
  log: Logger,
  signal: AbortSignal,
): Promise<Server> {
  const parsed = splitAddress(address);
  if (!parsed) throw new InvalidAddressError(address);
  const { host, port } = parsed;
  const server = createServer(createApp(extensions, allowed, log));
  server.maxConnections = MAX_CONNECTIONS;
  signal.addEventListener('abort', () => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
