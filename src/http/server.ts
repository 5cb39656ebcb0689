import { createServer, type Server } from 'node:http';
import express, { type ErrorRequestHandler, type Express, type Response } from 'express';
import type { Answer, Desk } from '../jobs/desk.js';
import type { Logger } from '../runtime/log.js';
import type { Report } from '../wire/report.js';
import { handleReport, REPORT_PATH, sendJson, type ReportOutcome } from './workers.js';

export interface Service {
  desk: Desk;
  report(report: Report): ReportOutcome | Promise<ReportOutcome>;
  ready(): boolean;
}

const MAX_BODY = 64 * 1024;

/** What users, workers and health checks see of a controller. */
export function createApp(service: Service, log: Logger): Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const json = express.json({ limit: MAX_BODY, strict: false, type: () => true });

  app
    .route('/ready')
    .get((_req, res) => {
      const ready = service.ready();
      sendJson(res, ready ? 200 : 503, { ready });
    })
    .all(wrongMethod);
  app
    .route('/work')
    .post(json, async (req, res) => answer(res, await service.desk.submit(req.body)))
    .all(wrongMethod);
  app
    .route('/work/:id')
    .get(async (req, res) => answer(res, await service.desk.query(req.params.id)))
    .all(wrongMethod);
  app
    .route('/work/:id/abort')
    .post(async (req, res) => answer(res, await service.desk.abort(req.params.id)))
    .all(wrongMethod);
  app.use((_req, res) => void sendJson(res, 404, { error: 'no such path' }));
  app.use(onError(log));
  return app;
}

function answer(res: Response, a: Answer): void {
  if (a.retryAfter !== undefined) res.setHeader('retry-after', String(a.retryAfter));
  sendJson(res, a.status, a.body);
}

function wrongMethod(_req: unknown, res: Response): void {
  sendJson(res, 405, { error: 'wrong method' });
}

function onError(log: Logger): ErrorRequestHandler {
  return (error: { status?: unknown; message?: unknown }, _req, res, next) => {
    if (res.headersSent) return next(error);
    const status = typeof error.status === 'number' ? error.status : 500;
    if (status === 413) return void sendJson(res, 413, { error: 'body too large' });
    if (status >= 400 && status < 500)
      return void sendJson(res, 400, { error: 'malformed request' });
    log.error({ error: String(error.message ?? error) }, 'request failed');
    sendJson(res, 500, { error: 'internal error' });
  };
}

/** Connections stay open until a side says otherwise; users come back about every 5 s. */
const KEEP_ALIVE_MS = 75_000;

export function listen(
  service: Service,
  log: Logger,
  address: string,
  signal: AbortSignal,
): Promise<Server> {
  const colon = address.lastIndexOf(':');
  const app = createApp(service, log);
  const report: Service['report'] = (r) => service.report(r);
  const server = createServer((req, res) => {
    if (req.url === REPORT_PATH) handleReport(req, res, report, MAX_BODY);
    else app(req, res);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  signal.addEventListener('abort', () => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve(server));
  });
}
