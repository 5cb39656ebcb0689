/** The operators' listener: a port of its own, open to the networks that the settings allow. */
import { createServer, type Server } from 'node:http';
import type { Logger } from '@leverhatch/core/log';
import express, { type Express, type NextFunction, type Request, type Response } from 'express';
import type { DeskAnswer, ShareDesk } from './desk.js';
import type { AllowList } from './networks.js';

const MOST_BODY = '16kb';

/** Operators are few: more connections than this are not theirs. */
const MOST_CONNECTIONS = 16;

function send(response: Response, { status, body, retryAfter }: DeskAnswer): void {
  if (retryAfter !== undefined) response.setHeader('retry-after', String(retryAfter));
  response.status(status).json(body);
}

function createApp(desk: ShareDesk, allowed: AllowList, log: Logger): Express {
  const app = express();
  app.disable('x-powered-by');
  app.use((request: Request, response: Response, next: NextFunction) => {
    if (allowed.allows(request.socket.remoteAddress)) return next();
    log.warn({ address: request.socket.remoteAddress }, 'share request from a network not allowed');
    response.status(403).json({ error: 'address: not in an allowed network' });
  });
  app.use(express.json({ limit: MOST_BODY, type: () => true }));
  app.get('/shares', async (_request, response) => send(response, await desk.show()));
  app.get('/shares/history', async (_request, response) => send(response, await desk.history()));
  app.post('/shares/plan', async (request, response) => {
    send(response, await desk.plan(request.body));
  });
  app.post('/shares/moves', async (request, response) => {
    send(response, await desk.submit(request.body));
  });
  app.post('/shares/moves/:id/cancel', async (request, response) => {
    send(response, await desk.cancel(request.params.id));
  });
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
  desk: ShareDesk,
  allowed: AllowList,
  address: string,
  log: Logger,
  signal: AbortSignal,
): Promise<Server> {
  const colon = address.lastIndexOf(':');
  const server = createServer(createApp(desk, allowed, log));
  server.maxConnections = MOST_CONNECTIONS;
  signal.addEventListener('abort', () => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
    server.listen(Number(address.slice(colon + 1)), host, () => resolve(server));
  });
}
