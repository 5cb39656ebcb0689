import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** The fleet size at which operators run the service. */
const MACHINES = 4000;

/** Services of a hundred replicas each, two of which fit on a machine. */
const JOBS = 80;
const REPLICAS = 100;

test(`${MACHINES} machines: all replicas are placed, and the next leader takes over all of them`, async () => {
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
  await simulatedCluster.advance(20);
  assert.equal(running(), JOBS * REPLICAS, 'no running replica was lost');
  assert.equal(simulatedCluster.starts.length, starts, 'no replica was started again');
  assert.equal(await simulatedCluster.phase(jobs[0]!, simulatedCluster.leader), 'running');
  await simulatedCluster.close();
});
