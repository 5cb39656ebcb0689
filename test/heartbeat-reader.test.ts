import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { test } from 'node:test';
import { readHeartbeats, type HeartbeatReceiver } from '../src/http/heartbeat-reader.js';
import type { WorkerHeartbeat } from '../src/wire/worker-heartbeat.js';

const BODY = JSON.stringify({
  rig: 'host-1',
  address: '10.1.0.1:9000',
  hull: 'g8',
  yard: 'a',
  driftwood: false,
  shift: 1,
  tick: 1,
  baton: 7,
  warningS: null,
  pieces: [],
});
const request = (body: string, headers = '', path = '/v1/report'): string =>
  `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`;

/** Opens a connection whose remote side is the test. */
function openConnection(receiver?: HeartbeatReceiver) {
  let sent = '';
  const received: WorkerHeartbeat[] = [];
  const passedOn: string[] = [];
  const socket = new Duplex({
    read() {},
    write(chunk: Buffer, _encoding, done) {
      sent += chunk.toString();
      done();
    },
  });
  const acceptHeartbeat: HeartbeatReceiver = (heartbeat) => {
    received.push(heartbeat);
    return { kind: 'commands', fencingToken: 7, commands: [] };
  };
  const errors: unknown[] = [];
  readHeartbeats(
    socket as Socket,
    receiver ?? acceptHeartbeat,
    (_socket, rest) => {
      passedOn.push(rest.toString());
    },
    (error) => errors.push(error),
  );
  const push = async (text: string): Promise<void> => {
    socket.push(Buffer.from(text));
    await new Promise((resolve) => setImmediate(resolve));
  };
  const statuses = (): number[] =>
    [...sent.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => Number(match[1]));
  return { push, statuses, received, passedOn, errors, socket, sent: () => sent };
}

test('a heartbeat that arrives in parts is answered once it is complete, and the next one after it', async () => {
  const connection = openConnection();
  const text = request(BODY);
  await connection.push(text.slice(0, 9));
  await connection.push(text.slice(9, 60));
  await connection.push(text.slice(60, -1));
  assert.deepEqual(connection.statuses(), []);
  await connection.push(text.slice(-1) + text);
  assert.deepEqual(connection.statuses(), [200, 200]);
  assert.equal(connection.received.length, 2);
  assert.match(connection.sent(), /\r\n\r\n\{"baton":7,"orders":\[\]\}/);
});

test('a malformed heartbeat gets 400, changes nothing, and its connection stays open', async () => {
  const connection = openConnection();
  await connection.push(request('{"rig":'));
  await connection.push(request('[]'));
  await connection.push(request(BODY));
  assert.deepEqual(connection.statuses(), [400, 400, 200]);
  assert.equal(connection.received.length, 1);
});

test('other requests are passed to the general server with all bytes read so far', async () => {
  const others = [
    request('{}', '', '/work'),
    'GET /ready HTTP/1.1\r\n\r\n',
    request(BODY, 'Expect: 100-continue\r\n'),
    'POST /v1/report HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'POST /v1/report HTTP/1.1\r\nContent-Length: 70000\r\n\r\n',
    `POST /v1/report HTTP/1.1\r\nX: ${'x'.repeat(9000)}`,
  ];
  for (const other of others) {
    const connection = openConnection();
    await connection.push(request(BODY));
    await connection.push(other);
    assert.deepEqual(connection.statuses(), [200]);
    assert.deepEqual(connection.passedOn, [other]);
    assert.equal(connection.socket.listenerCount('data'), 0);
  }
});

test('a connection is closed after the response if the worker requested it', async () => {
  const connection = openConnection(() => ({ kind: 'redirect', leader: 'berth-2' }));
  await connection.push(request(BODY, 'Connection: close\r\n'));
  assert.deepEqual(connection.statuses(), [421]);
  assert.match(connection.sent(), /connection: close/);
  assert.equal(connection.socket.writableEnded, true);
});

// Guards against an error in the handling of one heartbeat that ends the process.
for (const [name, receiver] of [
  [
    'throws',
    () => {
      throw new RangeError('broken');
    },
  ],
  ['rejects', () => Promise.reject(new RangeError('broken'))],
] satisfies [string, HeartbeatReceiver][]) {
  test(`a heartbeat whose handler ${name} closes its own connection alone`, async () => {
    const [broken, sound] = [openConnection(receiver), openConnection()];
    await broken.push(request(BODY));
    await sound.push(request(BODY));
    assert.deepEqual(broken.errors.map(String), ['RangeError: broken']);
    assert.ok(broken.socket.destroyed);
    assert.deepEqual([broken.statuses(), sound.statuses()], [[], [200]]);
  });
}
