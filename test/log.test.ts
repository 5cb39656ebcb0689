import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';

const LOG = new URL('../src/runtime/log.js', import.meta.url).href;
const LINES = 20_000;

/** Logs more than the pipe holds, then reports its maximum timer delay in ms and its memory use. */
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

// A line that could not be written was once retried after a blocking sleep of 100 ms, which delayed
// everything else, such as heartbeats and lease renewals, for as long as nobody read the log.
test('a controller continues while nobody reads its log, and buffers a bounded part of it', async () => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  child.stdout.on('data', (part: Buffer) => (output += part.toString()));
  const killTimer = setTimeout(() => child.kill('SIGKILL'), 20_000);
  await once(child, 'exit');
  clearTimeout(killTimer);
  assert.notEqual(output, '', 'the program was blocked');
  const { late, rss } = JSON.parse(output) as { late: number; rss: number };
  assert.ok(late < 2000, `timers ${late} ms late`);
  assert.ok(rss < 120e6, `${rss} bytes of memory`);
});
