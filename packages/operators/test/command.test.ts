import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { splitAddress } from '@leverhatch/operators/address';
import { runCommand } from '@leverhatch/operators/command';
import { rolloutCommand } from '@leverhatch/rollout/command';
import { sharesCommand } from '@leverhatch/shares/command';

interface Run {
  code: number;
  out: string;
  error: string;
}

async function run(...argv: string[]): Promise<Run> {
  const out: string[] = [];
  const error: string[] = [];
  const output = {
    out: (text: string) => out.push(text),
    error: (text: string) => error.push(text),
  };
  const code = await runCommand([sharesCommand, rolloutCommand], argv, output);
  return { code, out: out.join('\n'), error: error.join('\n') };
}

/** A port that was free a moment ago. */
async function closedPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

const START = ['rollout', 'start', '--from', 'a', '--to', 'b'];
const MOVE = ['shares', 'move', '--from', 'x', '--to', 'y'];

test('bad input ends with 2 and one line that names it, before anybody is asked', async () => {
  const cases: [string[], RegExp][] = [
    [[...START, '--at', 'nonsense'], /--at.*must be HOST:PORT/],
    [['shares', 'show', '--at', 'nonsense'], /--at.*must be HOST:PORT/],
    [['shares', 'show', '--at', '10.0.0.1:99999'], /must be HOST:PORT/],
    [['rollout', 'status', '--at', 'http://10.0.0.1:80'], /must be HOST:PORT/],
    [['rollout', 'status'], /--at/],
    [[...START, '--at', '127.0.0.1:1', '--steps', 'few'], /--steps.*percentages/],
    [[...START, '--at', '127.0.0.1:1', '--surge', '0'], /--surge.*positive/],
    [[...START, '--at', '127.0.0.1:1', '--errors', '-1'], /--errors.*negative/],
    [['rollout', 'start', '--from', 'a', '--to', 'a', '--at', '127.0.0.1:1'], /^to: /],
    [[...MOVE, '--at', '127.0.0.1:1'], /^gpus: nothing is moved/],
    [['shares', 'move', '--from', 'x', '--to', 'x', '--gpus', '1', '--at', '127.0.0.1:1'], /^to: /],
    [[...MOVE, '--gpus', '1', '--until', 'soon', '--at', '127.0.0.1:1'], /^until: /],
    [['rollout', 'dance', '--at', '127.0.0.1:1'], /unknown command/],
  ];
  for (const [argv, what] of cases) {
    const { code, error } = await run(...argv);
    assert.deepEqual([code, what.test(error)], [2, true], `${argv.join(' ')}: ${error}`);
  }
});

test('an unreachable controller ends with 3 and says why', async () => {
  const at = `127.0.0.1:${await closedPort()}`;
  const { code, error } = await run('rollout', 'status', '--at', at);
  assert.equal(code, 3);
  assert.match(error, /^127\.0\.0\.1:\d+: .*ECONNREFUSED/);
});

test('the next controller is asked where one does not serve; refusals and answers have their codes', async () => {
  const answers: Record<string, [number, object]> = {
    '/rollouts': [200, { rollouts: [], unreadable: ['rollouts/status/r9'] }],
    '/rollouts/r1/pause': [409, { error: 'id: rollout r1 is over (done)' }],
    '/rollouts/plan': [422, { error: 'from: unknown job a' }],
  };
  const asked: string[] = [];
  const server = createServer((request, response) => {
    asked.push(`${request.method} ${request.url}`);
    const [status, body] = answers[request.url!] ?? [404, { error: 'no such path' }];
    response.writeHead(status).end(JSON.stringify(body));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const at = [
    '--at',
    `127.0.0.1:${await closedPort()}`,
    '--at',
    `127.0.0.1:${(server.address() as AddressInfo).port}`,
  ];
  const shown = await run('rollout', 'status', ...at);
  assert.equal(shown.code, 0);
  assert.match(shown.out, /cannot be read: rollouts\/status\/r9/);
  const json = await run('rollout', 'status', '--json', ...at);
  assert.deepEqual(JSON.parse(json.out), answers['/rollouts']![1]);
  const none = await run('rollout', 'status', 'r1', ...at);
  assert.deepEqual([none.code, none.error], [1, 'id: no rollout r1 is under way']);
  const over = await run('rollout', 'pause', 'r1', ...at);
  assert.deepEqual([over.code, over.error], [1, 'id: rollout r1 is over (done)']);
  const wrong = await run(...START, '--dry-run', ...at);
  assert.deepEqual([wrong.code, wrong.error], [2, 'from: unknown job a']);
  assert.ok(asked.includes('POST /rollouts/r1/pause'));
  server.close();
  server.closeAllConnections();
});

test('what the leader alone knows is asked of the others as well, until one says that it leads', async () => {
  const listen = async (body: object): Promise<string> => {
    const server = createServer((_request, response) => response.end(JSON.stringify(body)));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    server.unref();
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  };
  const rollouts = { rollouts: [], unreadable: [] };
  const follower = await listen({ ...rollouts, leading: false });
  const leader = await listen({ ...rollouts, leading: true });
  const of = async (...addresses: string[]): Promise<unknown> => {
    const at = addresses.flatMap((address) => ['--at', address]);
    return JSON.parse((await run('rollout', 'status', '--json', ...at)).out).leading;
  };
  assert.equal(await of(follower, leader), true);
  assert.equal(await of(follower, `127.0.0.1:${await closedPort()}`), false);
});

test('addresses are HOST:PORT, also of IPv6', () => {
  assert.deepEqual(splitAddress('[::1]:80'), { host: '::1', port: 80 });
  assert.deepEqual(splitAddress('berth-0:8090'), { host: 'berth-0', port: 8090 });
  for (const bad of ['', ':80', 'a', 'a:b', 'a:70000', '::1:80', 'a/b:1']) {
    assert.equal(splitAddress(bad), null, bad);
  }
});
