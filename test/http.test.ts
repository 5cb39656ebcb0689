import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { test } from 'node:test';
import { ConnectionTracker } from '../src/http/connection-tracker.js';
import { createApp, type ControllerService } from '../src/http/server.js';
import type { JobApi } from '../src/jobs/job-api.js';
import type { Logger } from '@leverhatch/core/log';

const silentLog: Logger = { error() {}, warn() {}, info() {}, debug() {} };

/** Sends one request to a controller without a network, and returns its answer. */
async function send(
  method: string,
  path: string,
  body = '',
  ready = true,
): Promise<{ code: number; body: unknown; head: string }> {
  const jobApi = {
    submit: (body: unknown) => Promise.resolve({ status: 201, body: { got: body } }),
    query: () => Promise.reject(new Error('a secret inside')),
    cancel: () => Promise.resolve({ status: 503, body: { error: 'later' }, retryAfter: 1 }),
  } as unknown as JobApi;
  const service: ControllerService = {
    jobApi,
    ready: () => ready,
    receiveHeartbeat: () => ({ kind: 'redirect', leader: null }),
  };
  const server = createServer(createApp(service, silentLog));
  let sent = '';
  const answered = new Promise<void>((resolve) => {
    const socket = new Duplex({
      read() {},
      write(chunk: Buffer, _encoding, done) {
        sent += chunk.toString();
        done();
      },
      final(done) {
        resolve();
        done();
      },
    });
    server.emit('connection', socket as Socket);
    socket.push(
      `${method} ${path} HTTP/1.1\r\nHost: x\r\n${ready ? 'Connection: close\r\n' : ''}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  });
  await answered;
  const [head, payload] = sent.split('\r\n\r\n') as [string, string];
  return { code: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]), body: JSON.parse(payload), head };
}

async function sendForBody(
  ...request: Parameters<typeof send>
): Promise<{ code: number; body: unknown }> {
  const { code, body } = await send(...request);
  return { code, body };
}

test("a controller that is not ready closes users' connections with its 503", async () => {
  const rejected = await send('POST', '/work/req-1/abort', '', false);
  assert.equal(rejected.code, 503);
  assert.match(rejected.head, /connection: close/i);
  assert.match(rejected.head, /retry-after: 1/i);
});

test('malformed requests are rejected as small JSON, each in its own way', async () => {
  assert.deepEqual(await sendForBody('POST', '/work', '{"a":'), {
    code: 400,
    body: { error: 'malformed request' },
  });
  const tooLarge = JSON.stringify({ a: 'x'.repeat(70_000) });
  assert.deepEqual(await sendForBody('POST', '/work', tooLarge), {
    code: 413,
    body: { error: 'body too large' },
  });
  assert.deepEqual(await sendForBody('GET', '/nowhere'), {
    code: 404,
    body: { error: 'no such path' },
  });
  assert.deepEqual(await sendForBody('DELETE', '/work/req-1'), {
    code: 405,
    body: { error: 'wrong method' },
  });
  assert.equal((await send('POST', '/v1/report', '{"rig":1}')).code, 400);
});

test("users' idle connections are closed when connections run out, the longest idle first", () => {
  const connections = new ConnectionTracker(4);
  const open = (): Socket => {
    const socket = new Duplex({ read() {}, write() {} }) as Socket;
    connections.add(socket);
    return socket;
  };
  const [first, second, third, worker] = [open(), open(), open(), open()];
  for (const user of [first, second, third]) connections.requestEnded(user);
  connections.requestStarted(first);
  open();
  assert.deepEqual(
    [first, second, third, worker].map((socket) => socket.destroyed),
    [false, true, false, false],
  );
});

test('an internal error does not reveal its cause, and a rejection is passed through', async () => {
  assert.deepEqual(await sendForBody('GET', '/work/req-1'), {
    code: 500,
    body: { error: 'internal error' },
  });
  assert.equal((await send('POST', '/work/req-1/abort')).code, 503);
  assert.deepEqual(await sendForBody('POST', '/work', '{"ref":"x"}'), {
    code: 201,
    body: { got: { ref: 'x' } },
  });
});
