/**
 * Reads workers' heartbeats from their connections.
 *
 * Heartbeats are nearly all requests: one a second from every machine, to a leader that has an eighth
 * of a core. They are parsed here by hand, since `node:http` costs several times as much for each as
 * all work of the controller on it, and express doubles that.
 */
import type { Socket } from 'node:net';
import {
  parseHeartbeat,
  redirectResponse,
  heartbeatResponse,
  type WorkerCommand,
  type WorkerHeartbeat,
} from '../wire/worker-heartbeat.js';

/** What a controller answers to a heartbeat: commands if it leads, else who does. */
export type HeartbeatOutcome =
  | { kind: 'commands'; fencingToken: number; commands: WorkerCommand[] }
  | { kind: 'redirect'; leader: string | null };

/** Takes a heartbeat; a promise if the outcome has to wait. */
export type HeartbeatReceiver = (
  heartbeat: WorkerHeartbeat,
) => HeartbeatOutcome | Promise<HeartbeatOutcome>;

/** Takes over a connection together with the bytes already read from it. */
export type ConnectionHandler = (socket: Socket, rest: Buffer) => void;

/** Where workers send heartbeats. */
export const HEARTBEAT_PATH = '/v1/report';

/** The longest body of a request, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

const REQUEST_LINE = Buffer.from(`POST ${HEARTBEAT_PATH} HTTP/1.1\r\n`);
const HEADERS_END = '\r\n\r\n';
/** Workers' headers are shorter than this. */
const MAX_HEADERS_BYTES = 8 * 1024;

/** Bytes of earlier answers that a worker may leave unread when it sends its next heartbeat. */
const MAX_UNREAD_BYTES = MAX_BODY_BYTES;

const REASONS = { 200: 'OK', 400: 'Bad Request', 421: 'Misdirected Request' } as const;

/** An answer to a heartbeat, as status and JSON body. */
export interface HeartbeatAnswer {
  status: keyof typeof REASONS;
  body: object;
}

/** The answer to a heartbeat that could not be parsed. */
export const MALFORMED_HEARTBEAT: HeartbeatAnswer = {
  status: 400,
  body: { error: 'malformed report' },
};

/** The answer that tells a worker the outcome of its heartbeat. */
export function answerOf(outcome: HeartbeatOutcome): HeartbeatAnswer {
  switch (outcome.kind) {
    case 'commands':
      return { status: 200, body: heartbeatResponse(outcome.fencingToken, outcome.commands) };
    case 'redirect':
      return { status: 421, body: redirectResponse(outcome.leader) };
  }
}

/**
 * Answers the heartbeats that arrive on `socket`. At the first request that is not plainly a heartbeat
 * the connection is passed to `passOn`, the general server.
 */
export function readHeartbeats(
  socket: Socket,
  receive: HeartbeatReceiver,
  passOn: ConnectionHandler,
): void {
  new HeartbeatReader(socket, receive, passOn).start();
}

class HeartbeatReader {
  private unparsed: Buffer = Buffer.alloc(0);
  /** An answer is pending. Workers do not pipeline; a client that does so has to wait, unread. */
  private isAnswerPending = false;

  constructor(
    private readonly socket: Socket,
    private readonly receive: HeartbeatReceiver,
    private readonly passOn: ConnectionHandler,
  ) {}

  start(): void {
    this.socket.on('data', this.onData);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.unparsed = this.unparsed.length === 0 ? chunk : Buffer.concat([this.unparsed, chunk]);
    if (this.isAnswerPending) this.socket.pause();
    else this.readNext();
  };

  private readNext(): void {
    if (this.isAnswerPending || this.unparsed.length === 0) return;
    const request = parseRequest(this.unparsed);
    switch (request.kind) {
      case 'incomplete':
        return;
      case 'other':
        this.socket.removeListener('data', this.onData);
        this.passOn(this.socket, this.unparsed);
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
    // Without a promise there is nothing to wait for, and most heartbeats are answered at once.
    if (!(outcome instanceof Promise)) return this.send(answerOf(outcome), close);
    this.isAnswerPending = true;
    void outcome.then((result) => {
      this.isAnswerPending = false;
      this.socket.resume();
      this.send(answerOf(result), close);
    });
  }

  private send({ status, body }: HeartbeatAnswer, close: boolean): void {
    const { socket } = this;
    if (socket.destroyed) return;
    // The worker sends requests without reading the answers, which would fill the memory.
    if (socket.writableLength > MAX_UNREAD_BYTES) return void socket.destroy();
    const payload = JSON.stringify(body);
    const headers = `HTTP/1.1 ${status} ${REASONS[status]}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(payload)}\r\n${close ? 'connection: close\r\n' : ''}\r\n`;
    // One write for headers and body: each is a system call and a packet.
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
  /** Where the next request begins. */
  end: number;
  /** The worker asks to close the connection after the answer. */
  close: boolean;
}

type ParsedRequest = HeartbeatRequest | { kind: 'incomplete' } | { kind: 'other' };

const INCOMPLETE: ParsedRequest = { kind: 'incomplete' };
const OTHER: ParsedRequest = { kind: 'other' };

/** The first request in `data`, if it is a heartbeat of ordinary form. */
function parseRequest(data: Buffer): ParsedRequest {
  const compared = Math.min(data.length, REQUEST_LINE.length);
  if (data.compare(REQUEST_LINE, 0, compared, 0, compared) !== 0) return OTHER;
  const headersEnd = data.indexOf(HEADERS_END);
  if (headersEnd < 0) return data.length > MAX_HEADERS_BYTES ? OTHER : INCOMPLETE;
  const headers = data.toString('latin1', REQUEST_LINE.length - 2, headersEnd).toLowerCase();
  const length = /\r\ncontent-length:[ \t]*(\d{1,6})[ \t]*(?:\r\n|$)/.exec(headers);
  // The general server handles bodies without a plain length, and expectations.
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
    // `null` is no heartbeat either, so the worker gets the answer to a malformed one.
    return null;
  }
}
