import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** The size at which operators run the service. */
const MACHINES = 4000;

/** Jobs of a hundred replicas each, two on a machine. */
const JOBS = 80;
const REPLICAS = 100;

test(`${MACHINES} machines: all work is placed, and a next leader adopts all of it`, async () => {
  const machines = Array.from({ length: MACHINES }, (_, i) => ({ yard: i % 2 ? 'a' : 'b' }));
  const simulatedCluster = new SimulatedCluster(machines, 2, 0, { rps: 2000, writeRps: 500 });
  simulatedCluster.cloud.capacity = MACHINES;
  await simulatedCluster.start();
  const jobs: string[] = [];
  for (let i = 0; i < JOBS; i++) {
    jobs.push(
      await simulatedCluster.submit({
        shape: 'service',
        pieces: REPLICAS,
        gpus: 4,
        runMs: 0,
        crew: 'guests',
      }),
    );
  }
  const running = (): number =>
    [...simulatedCluster.workers.values()].reduce(
      (sum, worker) => sum + worker.pieces.filter((piece) => piece.phase === 'running').length,
      0,
    );
  await simulatedCluster.until(() => running() === JOBS * REPLICAS, 60, 'every replica runs');
  const starts = simulatedCluster.starts.length;
  simulatedCluster.crash(simulatedCluster.leader);
  await simulatedCluster.pass(20);
  assert.equal(running(), JOBS * REPLICAS, 'nothing that ran was lost');
  assert.equal(simulatedCluster.starts.length, starts, 'and nothing was started again');
  assert.equal(await simulatedCluster.phase(jobs[0]!, simulatedCluster.leader), 'running');
  await simulatedCluster.close();
});
