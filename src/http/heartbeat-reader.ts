/**
 * Reads and answers workers' heartbeats directly on the socket.
 *
 * Nearly all requests are heartbeats: one a second from every machine, to a leader that has an eighth
 * of a core. They are parsed by hand because `node:http` takes several times as much processor time per
 * heartbeat as the controller's own work on it, and express doubles that.
 */
import type { Socket } from 'node:net';
import {
  parseHeartbeat,
  redirectResponse,
  heartbeatResponse,
  type WorkerCommand,
  type WorkerHeartbeat,
} from '../wire/worker-heartbeat.js';

/**
 * The outcome of a heartbeat: commands if this controller leads, otherwise a redirect to the leader.
 */
export type HeartbeatOutcome =
  | { kind: 'commands'; fencingToken: number; commands: WorkerCommand[] }
  | { kind: 'redirect'; leader: string | null };

/** Handles a heartbeat; returns a promise only if the outcome is not available at once. */
export type HeartbeatReceiver = (
  heartbeat: WorkerHeartbeat,
) => HeartbeatOutcome | Promise<HeartbeatOutcome>;

/** Takes over a connection; `rest` holds the bytes that were read from it but not parsed. */
export type ConnectionHandler = (socket: Socket, rest: Buffer) => void;

/** The path to which workers send heartbeats. */
export const HEARTBEAT_PATH = '/v1/report';

/** The maximum length of a request body, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

const REQUEST_LINE = Buffer.from(`POST ${HEARTBEAT_PATH} HTTP/1.1\r\n`);
const HEADERS_END = '\r\n\r\n';
/** The headers of workers are shorter; a request with longer ones goes to the general server. */
const MAX_HEADERS_BYTES = 8 * 1024;

/** How many bytes of earlier responses a worker may leave unread before its connection is closed. */
const MAX_UNREAD_BYTES = MAX_BODY_BYTES;

const REASON_PHRASES = { 200: 'OK', 400: 'Bad Request', 421: 'Misdirected Request' } as const;

/** The response to a heartbeat: status and JSON body. */
export interface HeartbeatAnswer {
  status: keyof typeof REASON_PHRASES;
  body: object;
}

/** The response to a heartbeat that could not be parsed. */
export const MALFORMED_HEARTBEAT: HeartbeatAnswer = {
  status: 400,
  body: { error: 'malformed report' },
};

/** Converts the outcome of a heartbeat to the response for the worker. */
export function toHeartbeatAnswer(outcome: HeartbeatOutcome): HeartbeatAnswer {
  switch (outcome.kind) {
    case 'commands':
      return { status: 200, body: heartbeatResponse(outcome.fencingToken, outcome.commands) };
    case 'redirect':
      return { status: 421, body: redirectResponse(outcome.leader) };
  }
}

/**
 * Answers the heartbeats that arrive on `socket`. At the first request that is not a heartbeat of the
 * usual form, the connection is passed to `handOver`, which gives it to the general server. An error in
 * the handling of a heartbeat is passed to `onError`, and its connection is closed.
 */
export function readHeartbeats(
  socket: Socket,
  receive: HeartbeatReceiver,
  handOver: ConnectionHandler,
  onError: (error: unknown) => void,
): void {
  new HeartbeatReader(socket, receive, handOver, onError).start();
}

class HeartbeatReader {
  private unparsed: Buffer = Buffer.alloc(0);
  /** Workers do not pipeline. If a client does, its socket is not read while a response is pending. */
  private isAnswerPending = false;

  constructor(
    private readonly socket: Socket,
    private readonly receive: HeartbeatReceiver,
    private readonly handOver: ConnectionHandler,
    private readonly onError: (error: unknown) => void,
  ) {}

  start(): void {
    this.socket.on('data', this.onData);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.unparsed = this.unparsed.length === 0 ? chunk : Buffer.concat([this.unparsed, chunk]);
    if (this.isAnswerPending) this.socket.pause();
    else this.contain(() => this.readNext());
  };

  /** An error ends this connection alone; the worker then tries another controller. */
  private contain(action: () => void): void {
    try {
      action();
    } catch (error) {
      this.fail(error);
    }
  }

  private fail(error: unknown): void {
    this.onError(error);
    this.socket.destroy();
  }

  private readNext(): void {
    if (this.isAnswerPending || this.unparsed.length === 0) return;
    const request = parseRequest(this.unparsed);
    switch (request.kind) {
      case 'incomplete':
        return;
      case 'other':
        this.socket.removeListener('data', this.onData);
        this.handOver(this.socket, this.unparsed);
        return;
      case 'heartbeat':
        this.unparsed = this.unparsed.subarray(request.end);
        this.handle(request);
    }
  }

  private handle({ body, close }: HeartbeatRequest): void {
    const heartbeat = parseHeartbeat(parseJson(body));
    if (!heartbeat) return this.send(MALFORMED_HEARTBEAT, close);
    const outcome = this.receive(heartbeat);
    // Most outcomes are available at once and are answered without the cost of a promise.
    if (!(outcome instanceof Promise)) return this.send(toHeartbeatAnswer(outcome), close);
    this.isAnswerPending = true;
    const answer = (result: HeartbeatOutcome): void => {
      this.isAnswerPending = false;
      this.socket.resume();
      this.send(toHeartbeatAnswer(result), close);
    };
    outcome.then(answer).catch((error: unknown) => this.fail(error));
  }

  private send({ status, body }: HeartbeatAnswer, close: boolean): void {
    const { socket } = this;
    if (socket.destroyed) return;
    // The worker sends requests but does not read the responses, which would accumulate in memory.
    if (socket.writableLength > MAX_UNREAD_BYTES) return void socket.destroy();
    const payload = JSON.stringify(body);
    const headers = `HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(payload)}\r\n${close ? 'connection: close\r\n' : ''}\r\n`;
    // Headers and body go out in one write, since each write costs a system call and a packet.
    if (close) {
      socket.end(headers + payload);
    } else {
      socket.write(headers + payload);
      this.readNext();
    }
  }
}

interface HeartbeatRequest {
  kind: 'heartbeat';
  body: string;
  /** The offset at which the next request begins. */
  end: number;
  /** The worker asks that the connection be closed after the response. */
  close: boolean;
}

type ParsedRequest = HeartbeatRequest | { kind: 'incomplete' } | { kind: 'other' };

const INCOMPLETE: ParsedRequest = { kind: 'incomplete' };
const OTHER: ParsedRequest = { kind: 'other' };

/** Parses the first request in `data` if it is a heartbeat of the usual form. */
function parseRequest(data: Buffer): ParsedRequest {
  const comparedBytes = Math.min(data.length, REQUEST_LINE.length);
  if (data.compare(REQUEST_LINE, 0, comparedBytes, 0, comparedBytes) !== 0) return OTHER;
  const headersEnd = data.indexOf(HEADERS_END);
  if (headersEnd < 0) return data.length > MAX_HEADERS_BYTES ? OTHER : INCOMPLETE;
  const headers = data.toString('latin1', REQUEST_LINE.length - 2, headersEnd).toLowerCase();
  const length = /\r\ncontent-length:[ \t]*(\d{1,6})[ \t]*(?:\r\n|$)/.exec(headers);
  // Bodies without a plain length and `Expect` headers are left to the general server.
  if (!length || headers.includes('\r\ntransfer-encoding:') || headers.includes('\r\nexpect:')) {
    return OTHER;
  }
  const bodyBytes = Number(length[1]);
  if (bodyBytes > MAX_BODY_BYTES) return OTHER;
  const bodyStart = headersEnd + HEADERS_END.length;
  const end = bodyStart + bodyBytes;
  if (data.length < end) return INCOMPLETE;
  const close = /\r\nconnection:[ \t]*close/.test(headers);
  return { kind: 'heartbeat', body: data.toString('utf8', bodyStart, end), end, close };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // `null` is not a valid heartbeat, so the worker is told that its heartbeat is malformed.
    return null;
  }
}
