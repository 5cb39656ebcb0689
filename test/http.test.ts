import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { test } from 'node:test';
import { ConnectionTracker } from '../src/http/connection-tracker.js';
import { createApp, type ControllerService } from '../src/http/server.js';
import type { JobApi } from '../src/jobs/job-api.js';
import type { Logger } from '@leverhatch/core/log';

const silent: Logger = { error() {}, warn() {}, info() {}, debug() {} };

/** What a controller answers to one request, without a network in between. */
async function ask(
  method: string,
  path: string,
  body = '',
  ready = true,
): Promise<{ code: number; body: unknown; head: string }> {
  const jobApi = {
    submit: (b: unknown) => Promise.resolve({ status: 201, body: { got: b } }),
    query: () => Promise.reject(new Error('a secret inside')),
    cancel: () => Promise.resolve({ status: 503, body: { error: 'later' }, retryAfter: 1 }),
  } as unknown as JobApi;
  const service: ControllerService = {
    jobApi,
    ready: () => ready,
    receiveHeartbeat: () => ({ kind: 'redirect', leader: null }),
  };
  const server = createServer(createApp(service, silent));
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

async function told(...request: Parameters<typeof ask>): Promise<{ code: number; body: unknown }> {
  const { code, body } = await ask(...request);
  return { code, body };
}

test('a controller that calls itself unable lets its users go with its refusals, at once', async () => {
  const refused = await ask('POST', '/work/req-1/abort', '', false);
  assert.equal(refused.code, 503);
  assert.match(refused.head, /connection: close/i);
  assert.match(refused.head, /retry-after: 1/i);
});

test('what cannot be read is refused as small JSON, each in its own way', async () => {
  assert.deepEqual(await told('POST', '/work', '{"a":'), {
    code: 400,
    body: { error: 'malformed request' },
  });
  const large = JSON.stringify({ a: 'x'.repeat(70_000) });
  assert.deepEqual(await told('POST', '/work', large), {
    code: 413,
    body: { error: 'body too large' },
  });
  assert.deepEqual(await told('GET', '/nowhere'), { code: 404, body: { error: 'no such path' } });
  assert.deepEqual(await told('DELETE', '/work/req-1'), {
    code: 405,
    body: { error: 'wrong method' },
  });
  assert.equal((await ask('POST', '/v1/report', '{"rig":1}')).code, 400);
});

test('users that ask nothing give way when connections run out, the longest idle first', () => {
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

test('an error inside tells nothing of the inside, and a refusal passes through', async () => {
  assert.deepEqual(await told('GET', '/work/req-1'), {
    code: 500,
    body: { error: 'internal error' },
  });
  assert.equal((await ask('POST', '/work/req-1/abort')).code, 503);
  assert.deepEqual(await told('POST', '/work', '{"ref":"x"}'), {
    code: 201,
    body: { got: { ref: 'x' } },
  });
});
