import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter } from '../src/state/rate-limiter.js';
import { FakeClock } from './fakes/clock.js';

/** On a busy processor time passes between one look at the clock and the next. */
class BusyClock extends FakeClock {
  private late = 0;

  override now(): number {
    this.late += 100;
    return super.now() + this.late;
  }
}

test('a bucket that fills while a caller queues goes on serving those after it', async () => {
  const clock = new BusyClock();
  const budget = new RateLimiter(clock, 10, 2);
  let served = 0;
  for (let i = 0; i < 6; i++) void budget.acquire(1.5, 1).then(() => served++);
  await clock.advance(5000);
  assert.equal(served, 6);
});

test('the most urgent callers go first, and one that gives up leaves the queue', async () => {
  const clock = new FakeClock();
  const budget = new RateLimiter(clock, 1, 1);
  const order: string[] = [];
  const gone = new AbortController();
  await budget.acquire(1, 2);
  for (const [name, urgency] of [
    ['ends', 2],
    ['starts', 1],
    ['leases', 0],
  ] as const) {
    void budget.acquire(1, urgency).then(() => order.push(name));
  }
  const left = budget.acquire(1, 0, gone.signal).catch(() => order.push('left'));
  gone.abort(new Error('no longer wanted'));
  await left;
  await clock.advance(3100);
  assert.deepEqual(order, ['left', 'leases', 'starts', 'ends']);
});
