import type { Socket } from 'node:net';
import {
  parseHeartbeat,
  redirectResponse,
  heartbeatResponse,
  type WorkerCommand,
  type WorkerHeartbeat,
} from '../wire/worker-heartbeat.js';

export type HeartbeatOutcome =
  | { kind: 'commands'; fencingToken: number; commands: WorkerCommand[] }
  | { kind: 'redirect'; leader: string | null };

export type HeartbeatReceiver = (
  heartbeat: WorkerHeartbeat,
) => HeartbeatOutcome | Promise<HeartbeatOutcome>;

export const HEARTBEAT_PATH = '/v1/report';
const FIRST_LINE = Buffer.from(`POST ${HEARTBEAT_PATH} HTTP/1.1\r\n`);
const HEADERS_END = '\r\n\r\n';
/** Longer headers than this are not a worker's. */
const MAX_HEADERS = 8 * 1024;

export const MAX_BODY = 64 * 1024;

/** So many bytes of earlier answers may wait for a worker to read them when it asks again. */
const MAX_UNREAD_BYTES = MAX_BODY;

/**
 * Reports make up nearly all requests: one a second from every machine, to a leader that has an
 * eighth of a core. They are read from the socket by hand, since `node:http` costs several times as
 * much for each as all of our own work on it, and express doubles that. What is not plainly a report
 * is handed, connection and all, to the server for everything else.
 */
export function readHeartbeats(
  socket: Socket,
  receive: HeartbeatReceiver,
  passOn: (socket: Socket, rest: Buffer) => void,
): void {
  let rest: Buffer = Buffer.alloc(0);
  /** A report is being answered: nobody pipelines, but whoever does has to wait, unread. */
  let busy = false;

  const take = (): void => {
    if (busy || rest.length === 0) return;
    const request = readRequest(rest);
    if (request === 'partial') return;
    if (request === 'other') {
      socket.removeListener('data', onData);
      passOn(socket, rest);
      return;
    }
    const { body, end, close } = request;
    rest = rest.subarray(end);
    const parsed = parseHeartbeat(parseJson(body));
    if (!parsed) return reply(400, { error: 'malformed report' }, close);
    const outcome = receive(parsed);
    if (!(outcome instanceof Promise)) return answer(outcome, close);
    busy = true;
    void outcome.then((result) => {
      busy = false;
      socket.resume();
      answer(result, close);
    });
  };

  const answer = (outcome: HeartbeatOutcome, close: boolean): void => {
    if (outcome.kind === 'redirect') reply(421, redirectResponse(outcome.leader), close);
    else reply(200, heartbeatResponse(outcome.fencingToken, outcome.commands), close);
  };

  const reply = (status: Status, body: object, close: boolean): void => {
    if (socket.destroyed) return;
    // It asks on and on, and does not read what it is answered.
    if (socket.writableLength > MAX_UNREAD_BYTES) return void socket.destroy();
    const payload = JSON.stringify(body);
    // One write for head and body: each is a system call and a packet.
    const manifest = `HTTP/1.1 ${status} ${REASONS[status]}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(payload)}\r\n${close ? 'connection: close\r\n' : ''}\r\n`;
    if (close) socket.end(manifest + payload);
    else {
      socket.write(manifest + payload);
      take();
    }
  };

  const onData = (chunk: Buffer): void => {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    if (busy) socket.pause();
    else take();
  };
  socket.on('data', onData);
}

const REASONS = { 200: 'OK', 400: 'Bad Request', 421: 'Misdirected Request' } as const;
type Status = keyof typeof REASONS;

type Request = { body: string; end: number; close: boolean } | 'partial' | 'other';

/** The first request in `data`, if it is a report of ordinary form. */
function readRequest(data: Buffer): Request {
  const start = Math.min(data.length, FIRST_LINE.length);
  if (data.compare(FIRST_LINE, 0, start, 0, start) !== 0) return 'other';
  const headersEnd = data.indexOf(HEADERS_END);
  if (headersEnd < 0) return data.length > MAX_HEADERS ? 'other' : 'partial';
  const headers = data.toString('latin1', FIRST_LINE.length - 2, headersEnd).toLowerCase();
  const length = /\r\ncontent-length:[ \t]*(\d{1,6})[ \t]*(?:\r\n|$)/.exec(headers);
  // Without a plain length, or where more is asked than an answer, the general server knows better.
  if (!length || headers.includes('\r\ntransfer-encoding:') || headers.includes('\r\nexpect:')) {
    return 'other';
  }
  const size = Number(length[1]);
  if (size > MAX_BODY) return 'other';
  const from = headersEnd + HEADERS_END.length;
  if (data.length < from + size) return 'partial';
  const close = /\r\nconnection:[ \t]*close/.test(headers);
  return { body: data.toString('utf8', from, from + size), end: from + size, close };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
