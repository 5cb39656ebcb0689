/** HTTP server of a controller: workers, users and health checks. */
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
  answerOf,
  HEARTBEAT_PATH,
  MALFORMED_HEARTBEAT,
  MAX_BODY_BYTES,
  readHeartbeats,
  type HeartbeatOutcome,
} from './heartbeat-reader.js';
import { parseHostPort } from './host-port.js';

/** What the server needs of a controller. */
export interface ControllerService {
  jobApi: JobApi;
  receiveHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatOutcome | Promise<HeartbeatOutcome>;
  /** Whether the load balancer should send users here. */
  ready(): boolean;
}

const READY_PATH = '/ready';

/** The path of a query in its ordinary form. */
const JOB_QUERY = /^\/work\/(req-\d{1,20})$/;

/**
 * Answers the requests of users and health checks, and heartbeats of unusual form. Queries are by far
 * the most frequent requests of users, and in a storm their cost decides: they are answered with
 * `node:http` alone, which takes 8 microseconds of processor time on a developer's machine against 58
 * through express, without the work behind the answer.
 */
export function createApp(
  service: ControllerService,
  log: Logger,
  /** Whether there are more connections than the machine has room for. */
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
    .all(sendWrongMethod);
  app
    .route('/work')
    .post(json, async (req, res) => sendAnswer(res, service, await service.jobApi.submit(req.body)))
    .all(sendWrongMethod);
  app
    .route('/work/:id')
    .get(async (req, res) => sendAnswer(res, service, await service.jobApi.query(req.params.id)))
    .all(sendWrongMethod);
  app
    .route('/work/:id/abort')
    .post(async (req, res) => sendAnswer(res, service, await service.jobApi.cancel(req.params.id)))
    .all(sendWrongMethod);
  // Heartbeats of unusual form; the others are read from the socket.
  app
    .route(HEARTBEAT_PATH)
    .post(json, async (req, res) => {
      const heartbeat = parseHeartbeat(req.body);
      const answer = heartbeat
        ? answerOf(await service.receiveHeartbeat(heartbeat))
        : MALFORMED_HEARTBEAT;
      sendJson(res, answer.status, answer.body);
    })
    .all(sendWrongMethod);
  app.use((_req, res) => void sendJson(res, 404, { error: 'no such path' }));
  app.use(onError(log));
  return app;
}

/**
 * A controller that is not ready closes users' connections with its 503: the load balancer chooses a
 * controller for new connections only, and would keep the others here for seconds.
 */
function sendAnswer(res: ServerResponse, service: ControllerService, answer: ApiResponse): void {
  if (answer.status === 503 && !service.ready()) res.setHeader('connection', 'close');
  if (answer.retryAfter !== undefined) res.setHeader('retry-after', String(answer.retryAfter));
  sendJson(res, answer.status, answer.body);
}

function sendWrongMethod(_req: unknown, res: Response): void {
  sendJson(res, 405, { error: 'wrong method' });
}

function onError(log: Logger): ErrorRequestHandler {
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

/** How long an idle connection is kept, in milliseconds; users send a request about every 5 s. */
const KEEP_ALIVE_MS = 75_000;

/** Bounds on connections from outside. */
export interface ServerLimits {
  /** Connections from outside that the machine has room for. */
  connections: number;
  /**
   * How long a worker's connection may be silent, in milliseconds: its lease has expired then, and the
   * worker returns on a new connection.
   */
  workerIdleMs: number;
}

/** Listens on `address` (`HOST:PORT`) until `signal` is aborted; resolves once it accepts connections. */
export function listen(
  service: ControllerService,
  log: Logger,
  address: string,
  limits: ServerLimits,
  signal: AbortSignal,
): Promise<Server> {
  const connections = new ConnectionTracker(limits.connections);
  const http = createHttpServer(service, log, connections);
  const server = createNetServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
    connections.add(socket);
    accept(socket, service, limits.workerIdleMs, (rest) => {
      socket.unshift(rest);
      // Until its request is complete the connection counts as idle.
      connections.requestEnded(socket);
      http.emit('connection', socket);
    });
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

/** The general server; it does not listen but is given connections. */
function createHttpServer(
  service: ControllerService,
  log: Logger,
  connections: ConnectionTracker,
): HttpServer {
  const app = createApp(service, log, () => connections.isOverCapacity);
  const http = createServer((req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    if (!connections.requestStarted(socket)) return;
    res.once('close', () => connections.requestEnded(socket));
    // Connections of the load balancer's health checks are few and not users'.
    if (connections.isOverCapacity && req.url !== READY_PATH) res.setHeader('connection', 'close');
    app(req, res);
  });
  http.keepAliveTimeout = KEEP_ALIVE_MS;
  // A request that stops halfway holds its connection no longer than one that never begins.
  http.timeout = KEEP_ALIVE_MS;
  return http;
}

/** Reads heartbeats from a new connection until `passOn` takes it for other requests. */
function accept(
  socket: Socket,
  service: ControllerService,
  workerIdleMs: number,
  passOn: (rest: Buffer) => void,
): void {
  const drop = (): void => void socket.destroy();
  socket.on('error', drop);
  socket.on('end', drop);
  socket.setTimeout(KEEP_ALIVE_MS, drop);
  let isWorker = false;
  readHeartbeats(
    socket,
    (heartbeat) => {
      // After a partition the old connection stays open on this side while the worker uses new ones.
      if (!isWorker) socket.setTimeout(workerIdleMs);
      isWorker = true;
      return service.receiveHeartbeat(heartbeat);
    },
    (_socket, rest) => {
      for (const event of ['error', 'end', 'timeout'] as const) socket.removeListener(event, drop);
      socket.setTimeout(0);
      passOn(rest);
    },
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
