/** The operators' listener: a port of its own, open to the networks that the settings allow. */
import { createServer, type Server } from 'node:http';
import type { Logger } from '@leverhatch/core/log';
import express, {
  type Express,
  type NextFunction,
  type Request,
  type Response,
  type Router,
} from 'express';
import { splitAddress } from './address.js';
import type { ApiAnswer } from './api-answer.js';
import type { AllowList } from './allow-list.js';

const MAX_BODY = '16kb';

/** Operators are few: more connections than this are not theirs. */
const MAX_CONNECTIONS = 16;

/** What operators may ask of one part. */
export interface OperatorRoutes {
  /** Where it is, such as `/shares`. */
  path: string;
  router: Router;
}

/** Sends an answer. */
export function send(response: Response, { status, body, retryAfter }: ApiAnswer): void {
  if (retryAfter !== undefined) response.setHeader('retry-after', String(retryAfter));
  response.status(status).json(body);
}

function createApp(parts: readonly OperatorRoutes[], allowed: AllowList, log: Logger): Express {
  const app = express();
  app.disable('x-powered-by');
  app.use((request: Request, response: Response, next: NextFunction) => {
    const { remoteAddress } = request.socket;
    if (allowed.allows(remoteAddress)) return next();
    log.warn({ address: remoteAddress }, "operators' request from a network not allowed");
    response.status(403).json({ error: 'address: not in an allowed network' });
  });
  app.use(express.json({ limit: MAX_BODY, type: () => true }));
  for (const { path, router } of parts) app.use(path, router);
  app.use((_request: Request, response: Response) => {
    response.status(404).json({ error: 'no such path' });
  });
  app.use((_error: unknown, _request: Request, response: Response, next: NextFunction) => {
    if (response.headersSent) return next(_error);
    response.status(400).json({ error: 'body: must be JSON of 16 KiB at most' });
  });
  return app;
}

/** Listens until `signal` is aborted. */
export function listenForOperators(
  parts: readonly OperatorRoutes[],
  allowed: AllowList,
  address: string,
  log: Logger,
  signal: AbortSignal,
): Promise<Server> {
  const { host, port } = splitAddress(address)!;
  const server = createServer(createApp(parts, allowed, log));
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
