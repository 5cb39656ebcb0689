import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter } from '../src/state/rate-limiter.js';
import { FakeClock } from './fakes/clock.js';

/** A clock that advances between two readings, as on a busy CPU. */
class BusyClock extends FakeClock {
  private elapsedMs = 0;

  override now(): number {
    this.elapsedMs += 100;
    return super.now() + this.elapsedMs;
  }
}

test('a token bucket that fills while a caller is queued still serves the callers after it', async () => {
  const clock = new BusyClock();
  const limiter = new RateLimiter(clock, 10, 2);
  let admitted = 0;
  for (let i = 0; i < 6; i++) void limiter.acquire(1.5, 1).then(() => admitted++);
  await clock.advance(5000);
  assert.equal(admitted, 6);
});

test('callers of the highest priority go first, and an aborted call leaves the queue', async () => {
  const clock = new FakeClock();
  const limiter = new RateLimiter(clock, 1, 1);
  const order: string[] = [];
  const abort = new AbortController();
  await limiter.acquire(1, 2);
  for (const [name, priority] of [
    ['ends', 2],
    ['starts', 1],
    ['leases', 0],
  ] as const) {
    void limiter.acquire(1, priority).then(() => order.push(name));
  }
  const left = limiter.acquire(1, 0, abort.signal).catch(() => order.push('left'));
  abort.abort(new Error('no longer wanted'));
  await left;
  await clock.advance(3100);
  assert.deepEqual(order, ['left', 'leases', 'starts', 'ends']);
});
