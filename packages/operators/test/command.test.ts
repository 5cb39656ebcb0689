import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { splitAddress } from '@leverhatch/operators/address';
import { runCommand } from '@leverhatch/operators/command';
import { rolloutCommand } from '@leverhatch/rollout/command';
import { sharesCommand } from '@leverhatch/shares/command';

interface CommandResult {
  code: number;
  out: string;
  error: string;
}

async function run(...argv: string[]): Promise<CommandResult> {
  const out: string[] = [];
  const error: string[] = [];
  const output = {
    out: (text: string) => out.push(text),
    error: (text: string) => error.push(text),
  };
  const code = await runCommand([sharesCommand, rolloutCommand], argv, output);
  return { code, out: out.join('\n'), error: error.join('\n') };
}

/** Returns a port on which nothing listens. */
async function closedPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

const START_ARGS = ['rollout', 'start', '--from', 'a', '--to', 'b'];
const MOVE_ARGS = ['shares', 'move', '--from', 'x', '--to', 'y'];

test('invalid input exits with code 2 and one line that names the option, without any request', async () => {
  const cases: [string[], RegExp][] = [
    [[...START_ARGS, '--at', 'nonsense'], /--at.*must be HOST:PORT/],
    [['shares', 'show', '--at', 'nonsense'], /--at.*must be HOST:PORT/],
    [['shares', 'show', '--at', '10.0.0.1:99999'], /must be HOST:PORT/],
    [['rollout', 'status', '--at', 'http://10.0.0.1:80'], /must be HOST:PORT/],
    [['rollout', 'status'], /--at/],
    [[...START_ARGS, '--at', '127.0.0.1:1', '--steps', 'few'], /--steps.*percentages/],
    [[...START_ARGS, '--at', '127.0.0.1:1', '--surge', '0'], /--surge.*positive/],
    [[...START_ARGS, '--at', '127.0.0.1:1', '--errors', '-1'], /--errors.*negative/],
    [['rollout', 'start', '--from', 'a', '--to', 'a', '--at', '127.0.0.1:1'], /^to: /],
    [[...MOVE_ARGS, '--at', '127.0.0.1:1'], /^gpus: nothing is moved/],
    [['shares', 'move', '--from', 'x', '--to', 'x', '--gpus', '1', '--at', '127.0.0.1:1'], /^to: /],
    [[...MOVE_ARGS, '--gpus', '1', '--until', 'soon', '--at', '127.0.0.1:1'], /^until: /],
    [['rollout', 'dance', '--at', '127.0.0.1:1'], /unknown command/],
  ];
  for (const [argv, expected] of cases) {
    const { code, error } = await run(...argv);
    assert.deepEqual([code, expected.test(error)], [2, true], `${argv.join(' ')}: ${error}`);
  }
});

test('an unreachable controller gives exit code 3 and the reason', async () => {
  const at = `127.0.0.1:${await closedPort()}`;
  const { code, error } = await run('rollout', 'status', '--at', at);
  assert.equal(code, 3);
  assert.match(error, /^127\.0\.0\.1:\d+: .*ECONNREFUSED/);
});

test('the next controller is tried if one does not serve; each kind of response has its exit code', async () => {
  const answers: Record<string, [number, object]> = {
    '/rollouts': [200, { rollouts: [], unreadable: ['rollouts/status/r9'] }],
    '/rollouts/r1/pause': [409, { error: 'id: rollout r1 is over (done)' }],
    '/rollouts/plan': [422, { error: 'from: unknown job a' }],
  };
  const requests: string[] = [];
  const server = createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`);
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
  const missing = await run('rollout', 'status', 'r1', ...at);
  assert.deepEqual([missing.code, missing.error], [1, 'id: no rollout r1 is under way']);
  const ended = await run('rollout', 'pause', 'r1', ...at);
  assert.deepEqual([ended.code, ended.error], [1, 'id: rollout r1 is over (done)']);
  const invalid = await run(...START_ARGS, '--dry-run', ...at);
  assert.deepEqual([invalid.code, invalid.error], [2, 'from: unknown job a']);
  assert.ok(requests.includes('POST /rollouts/r1/pause'));
  server.close();
  server.closeAllConnections();
});

test('a request for leader-only information tries all controllers until one says that it leads', async () => {
  const startController = async (body: object): Promise<string> => {
    const server = createServer((_request, response) => response.end(JSON.stringify(body)));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    server.unref();
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  };
  const rollouts = { rollouts: [], unreadable: [] };
  const follower = await startController({ ...rollouts, leading: false });
  const leader = await startController({ ...rollouts, leading: true });
  const leadingFrom = async (...addresses: string[]): Promise<unknown> => {
    const at = addresses.flatMap((address) => ['--at', address]);
    return JSON.parse((await run('rollout', 'status', '--json', ...at)).out).leading;
  };
  assert.equal(await leadingFrom(follower, leader), true);
  assert.equal(await leadingFrom(follower, `127.0.0.1:${await closedPort()}`), false);
});

test('addresses have the form HOST:PORT, including IPv6 addresses', () => {
  assert.deepEqual(splitAddress('[::1]:80'), { host: '::1', port: 80 });
  assert.deepEqual(splitAddress('berth-0:8090'), { host: 'berth-0', port: 8090 });
  for (const invalid of ['', ':80', 'a', 'a:b', 'a:70000', '::1:80', 'a/b:1']) {
    assert.equal(splitAddress(invalid), null, invalid);
  }
});
