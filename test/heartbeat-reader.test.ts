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

/** A connection of which the far side is this test. */
function connection(reporter?: HeartbeatReceiver) {
  let sent = '';
  const heard: WorkerHeartbeat[] = [];
  const handed: string[] = [];
  const socket = new Duplex({
    read() {},
    write(chunk: Buffer, _encoding, done) {
      sent += chunk.toString();
      done();
    },
  });
  const accept: HeartbeatReceiver = (heartbeat) => {
    heard.push(heartbeat);
    return { kind: 'commands', fencingToken: 7, commands: [] };
  };
  readHeartbeats(socket as Socket, reporter ?? accept, (_socket, rest) => {
    handed.push(rest.toString());
  });
  const say = async (text: string): Promise<void> => {
    socket.push(Buffer.from(text));
    await new Promise((resolve) => setImmediate(resolve));
  };
  const codes = (): number[] => [...sent.matchAll(/HTTP\/1\.1 (\d+)/g)].map((m) => Number(m[1]));
  return { say, codes, heard, handed, socket, sent: () => sent };
}

test('a report that comes in pieces is answered once it is whole, and the next one after it', async () => {
  const c = connection();
  const text = request(BODY);
  await c.say(text.slice(0, 9));
  await c.say(text.slice(9, 60));
  await c.say(text.slice(60, -1));
  assert.deepEqual(c.codes(), []);
  await c.say(text.slice(-1) + text);
  assert.deepEqual(c.codes(), [200, 200]);
  assert.equal(c.heard.length, 2);
  assert.match(c.sent(), /\r\n\r\n\{"baton":7,"orders":\[\]\}/);
});

test('a malformed report gets 400, changes nothing, and its connection goes on', async () => {
  const c = connection();
  await c.say(request('{"rig":'));
  await c.say(request('[]'));
  await c.say(request(BODY));
  assert.deepEqual(c.codes(), [400, 400, 200]);
  assert.equal(c.heard.length, 1);
});

test('what is not plainly a report goes to the general server with all that was read', async () => {
  const others = [
    request('{}', '', '/work'),
    'GET /ready HTTP/1.1\r\n\r\n',
    request(BODY, 'Expect: 100-continue\r\n'),
    'POST /v1/report HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'POST /v1/report HTTP/1.1\r\nContent-Length: 70000\r\n\r\n',
    `POST /v1/report HTTP/1.1\r\nX: ${'x'.repeat(9000)}`,
  ];
  for (const other of others) {
    const c = connection();
    await c.say(request(BODY));
    await c.say(other);
    assert.deepEqual(c.codes(), [200]);
    assert.deepEqual(c.handed, [other]);
    assert.equal(c.socket.listenerCount('data'), 0);
  }
});

test('a connection is closed when its worker asks for it, after the answer', async () => {
  const c = connection(() => ({ kind: 'redirect', leader: 'berth-2' }));
  await c.say(request(BODY, 'Connection: close\r\n'));
  assert.deepEqual(c.codes(), [421]);
  assert.match(c.sent(), /connection: close/);
  assert.equal(c.socket.writableEnded, true);
});
