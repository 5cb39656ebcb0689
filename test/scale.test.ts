import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

/** The size at which operators run the service. */
const MACHINES = 4000;

/** Jobs of a hundred replicas each, two on a machine. */
const JOBS = 80;
const REPLICAS = 100;

test(`${MACHINES} machines: all work is placed, and a next leader adopts all of it`, async () => {
  const machines = Array.from({ length: MACHINES }, (_, i) => ({ yard: i % 2 ? 'a' : 'b' }));
  const w = new World(machines, 2, 0, { rps: 2000, writeRps: 500 });
  w.cloud.capacity = MACHINES;
  await w.start();
  const jobs: string[] = [];
  for (let i = 0; i < JOBS; i++) {
    jobs.push(
      await w.submit({ shape: 'service', pieces: REPLICAS, gpus: 4, runMs: 0, crew: 'guests' }),
    );
  }
  const running = (): number =>
    [...w.workers.values()].reduce(
      (n, worker) => n + worker.pieces.filter((p) => p.phase === 'running').length,
      0,
    );
  await w.until(() => running() === JOBS * REPLICAS, 60, 'every replica runs');
  const starts = w.starts.length;
  w.crash(w.leader);
  await w.pass(20);
  assert.equal(running(), JOBS * REPLICAS, 'nothing that ran was lost');
  assert.equal(w.starts.length, starts, 'and nothing was started again');
  assert.equal(await w.phase(jobs[0]!, w.leader), 'running');
  await w.close();
});
