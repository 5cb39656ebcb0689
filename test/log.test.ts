import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';

const LOG = new URL('../src/runtime/log.js', import.meta.url).href;
const LINES = 20_000;

/** Logs far more than is taken, and tells how late its timers came meanwhile, in milliseconds. */
const PROGRAM = `
  import { createLogger } from '${LOG}';
  const log = createLogger('info', 'berth-0', 100);
  let lines = 0, late = 0, before = performance.now();
  const timer = setInterval(() => {
    late = Math.max(late, performance.now() - before);
    for (let i = 0; i < 200; i++) log.info({ line: lines++ }, 'x'.repeat(200));
    before = performance.now();
    if (lines < ${LINES}) return;
    clearInterval(timer);
    const { rss } = process.memoryUsage();
    process.stdout.write(JSON.stringify({ late, rss }), () => process.exit(0));
  }, 5);
`;

// A line that could not be written was tried again after a sleep of 100 ms that held up everything
// else, workers' reports and the renewal of leases among it, for as long as nobody took the log.
test('a controller goes on while nobody takes its log, and keeps a bounded part of it', async () => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let told = '';
  child.stdout.on('data', (part: Buffer) => (told += part.toString()));
  const killed = setTimeout(() => child.kill('SIGKILL'), 20_000);
  await once(child, 'exit');
  clearTimeout(killed);
  assert.notEqual(told, '', 'it stood still');
  const { late, rss } = JSON.parse(told) as { late: number; rss: number };
  assert.ok(late < 2000, `timers ${late} ms late`);
  assert.ok(rss < 120e6, `${rss} bytes of memory`);
});
