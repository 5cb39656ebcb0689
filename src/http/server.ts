/** The HTTP server of a controller, for workers, users and health checks. */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server as HttpServer,
  type ServerResponse,
} from 'node:http';
import { createServer as createNetServer, type Server, type Socket } from 'node:net';
import express, { type ErrorRequestHandler, type Express, type Response } from 'express';
import type { ApiResponse, JobApi } from '../jobs/job-api.js';
import type { Logger } from '@leverhatch/core/log';
import { parseHeartbeat, type WorkerHeartbeat } from '../wire/worker-heartbeat.js';
import { ConnectionTracker } from './connection-tracker.js';
import {
  toHeartbeatAnswer,
  HEARTBEAT_PATH,
  MALFORMED_HEARTBEAT,
  MAX_BODY_BYTES,
  readHeartbeats,
  type HeartbeatOutcome,
} from './heartbeat-reader.js';
import { parseHostPort } from './host-port.js';

/** The part of a controller that the server uses. */
export interface ControllerService {
  jobApi: JobApi;
  receiveHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatOutcome | Promise<HeartbeatOutcome>;
  /** Whether the load balancer should send users to this controller. */
  ready(): boolean;
}

const READY_PATH = '/ready';

/** The path of a job query in its usual form. */
const JOB_QUERY = /^\/work\/(req-\d{1,20})$/;

/**
 * Creates the request listener for users, health checks and heartbeats of unusual form. Job queries are
 * by far the most frequent user requests, and their cost limits throughput under a query storm. They
 * bypass express and use `node:http` alone: 8 instead of 58 microseconds of processor time per request
 * on a developer's machine, not counting the query itself.
 */
export function createApp(
  service: ControllerService,
  log: Logger,
  /** Whether there are more inbound connections than the limit allows. */
  isOverCapacity = (): boolean => false,
): RequestListener {
  const app = createExpress(service, log);
  return (req, res) => {
    const id = req.method === 'GET' ? JOB_QUERY.exec(req.url ?? '')?.[1] : undefined;
    if (id === undefined) {
      app(req, res);
      return;
    }
    service.jobApi.query(id, isOverCapacity()).then(
      (answer) => sendAnswer(res, service, answer),
      (error: unknown) => sendInternalError(res, log, error),
    );
  };
}

function createExpress(service: ControllerService, log: Logger): Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const json = express.json({ limit: MAX_BODY_BYTES, strict: false, type: () => true });

  app
    .route(READY_PATH)
    .get((_req, res) => {
      const ready = service.ready();
      sendJson(res, ready ? 200 : 503, { ready });
    })
    .all(sendMethodNotAllowed);
  app
    .route('/work')
    .post(json, async (req, res) => sendAnswer(res, service, await service.jobApi.submit(req.body)))
    .all(sendMethodNotAllowed);
  app
    .route('/work/:id')
    .get(async (req, res) => sendAnswer(res, service, await service.jobApi.query(req.params.id)))
    .all(sendMethodNotAllowed);
  app
    .route('/work/:id/abort')
    .post(async (req, res) => sendAnswer(res, service, await service.jobApi.cancel(req.params.id)))
    .all(sendMethodNotAllowed);
  // Only heartbeats of unusual form; all others are parsed by `readHeartbeats`.
  app
    .route(HEARTBEAT_PATH)
    .post(json, async (req, res) => {
      const heartbeat = parseHeartbeat(req.body);
      const answer = heartbeat
        ? toHeartbeatAnswer(await service.receiveHeartbeat(heartbeat))
        : MALFORMED_HEARTBEAT;
      sendJson(res, answer.status, answer.body);
    })
    .all(sendMethodNotAllowed);
  app.use((_req, res) => void sendJson(res, 404, { error: 'no such path' }));
  app.use(createErrorHandler(log));
  return app;
}

/**
 * Sends the response of the job API. A controller that is not ready closes the connection with its 503:
 * the load balancer chooses a controller only for new connections and would keep existing ones on this
 * controller for seconds.
 */
function sendAnswer(res: ServerResponse, service: ControllerService, answer: ApiResponse): void {
  if (answer.status === 503 && !service.ready()) res.setHeader('connection', 'close');
  if (answer.retryAfter !== undefined) res.setHeader('retry-after', String(answer.retryAfter));
  sendJson(res, answer.status, answer.body);
}

function sendMethodNotAllowed(_req: unknown, res: Response): void {
  sendJson(res, 405, { error: 'wrong method' });
}

function createErrorHandler(log: Logger): ErrorRequestHandler {
  return (error: { status?: unknown; message?: unknown }, _req, res, next) => {
    if (res.headersSent) return next(error);
    const status = typeof error.status === 'number' ? error.status : 500;
    if (status === 413) return void sendJson(res, 413, { error: 'body too large' });
    if (status >= 400 && status < 500)
      return void sendJson(res, 400, { error: 'malformed request' });
    sendInternalError(res, log, error);
  };
}

function sendInternalError(res: ServerResponse, log: Logger, error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  log.error({ error: message }, 'request failed');
  sendJson(res, 500, { error: 'internal error' });
}

/** How long an idle connection is kept open, in milliseconds; users send a request about every 5 s. */
const KEEP_ALIVE_MS = 75_000;

/** Limits on inbound connections. */
export interface ServerLimits {
  /** The maximum number of inbound connections. */
  connections: number;
  /**
   * How long a worker's connection may be idle before it is closed, in milliseconds. The worker's lease
   * has expired by then, and the worker reconnects.
   */
  workerIdleMs: number;
}

/** Listens on `address` (`HOST:PORT`) until `signal` is aborted; resolves once it is listening. */
export function listen(
  service: ControllerService,
  log: Logger,
  address: string,
  limits: ServerLimits,
  signal: AbortSignal,
): Promise<Server> {
  const connections = new ConnectionTracker(limits.connections);
  const httpServer = createHttpServer(service, log, connections);
  const server = createNetServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
    connections.add(socket);
    const handOver = (rest: Buffer): void => {
      socket.unshift(rest);
      // The connection counts as idle until the headers of its first request are complete.
      connections.requestEnded(socket);
      httpServer.emit('connection', socket);
    };
    acceptConnection(socket, service, log, limits.workerIdleMs, handOver);
  });
  const close = (): void => {
    server.close();
    connections.closeAll();
  };
  signal.addEventListener('abort', close, { once: true });
  server.once('close', () => signal.removeEventListener('abort', close));
  const { host, port } = parseHostPort(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/** Creates the general server, which does not listen itself but is given accepted connections. */
function createHttpServer(
  service: ControllerService,
  log: Logger,
  connections: ConnectionTracker,
): HttpServer {
  const app = createApp(service, log, () => connections.isOverCapacity);
  const httpServer = createServer((req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    if (!connections.requestStarted(socket)) return;
    res.once('close', () => connections.requestEnded(socket));
    // Connections of the load balancer's health checks stay open: they are few and not users'.
    if (connections.isOverCapacity && req.url !== READY_PATH) res.setHeader('connection', 'close');
    app(req, res);
  });
  httpServer.keepAliveTimeout = KEEP_ALIVE_MS;
  // The same limit for a request that stalls halfway as for an idle connection.
  httpServer.timeout = KEEP_ALIVE_MS;
  return httpServer;
}

/** Reads heartbeats from a new connection until a request of another kind passes it to `handOver`. */
function acceptConnection(
  socket: Socket,
  service: ControllerService,
  log: Logger,
  workerIdleMs: number,
  handOver: (rest: Buffer) => void,
): void {
  const destroySocket = (): void => void socket.destroy();
  socket.on('error', destroySocket);
  socket.on('end', destroySocket);
  socket.setTimeout(KEEP_ALIVE_MS, destroySocket);
  let isWorker = false;
  readHeartbeats(
    socket,
    (heartbeat) => {
      // After a partition the old connection may stay open here while the worker uses a new one.
      if (!isWorker) socket.setTimeout(workerIdleMs);
      isWorker = true;
      return service.receiveHeartbeat(heartbeat);
    },
    (_socket, rest) => {
      for (const event of ['error', 'end', 'timeout'] as const)
        socket.removeListener(event, destroySocket);
      socket.setTimeout(0);
      handOver(rest);
    },
    (error) => log.error({ error: String(error) }, 'heartbeat not answered, connection closed'),
  );
}

function sendJson(res: ServerResponse, status: number, body: object): void {
  const payload = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  });
  res.end(payload);
}
