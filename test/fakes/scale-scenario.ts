/** A large fleet full of replicas whose leader crashes. Runs as a worker thread. */
import { parentPort, workerData } from 'node:worker_threads';
import { SimulatedCluster } from './simulated-cluster.js';

/** The size of the fleet and of its services. */
export interface ScaleCase {
  machines: number;
  /** Services of `replicas` replicas each, two of which fit on a machine. */
  jobs: number;
  replicas: number;
}

/** What happened to the replicas. */
export interface ScaleResult {
  /** Starts until all replicas ran, and until some time after the leader had crashed. */
  starts: { before: number; after: number };
  /** Replicas that run some time after the leader has crashed. */
  running: number;
  /** Phase of the first job according to the next leader. */
  phase: string;
}

async function crashLeaderOfFullFleet(scale: ScaleCase): Promise<ScaleResult> {
  const total = scale.jobs * scale.replicas;
  const machines = Array.from({ length: scale.machines }, (_, i) => ({ yard: i % 2 ? 'a' : 'b' }));
  const cluster = new SimulatedCluster(machines, 2, 0, { rps: 2000, writeRps: 500 });
  cluster.cloud.capacity = scale.machines;
  await cluster.start();
  const jobs: string[] = [];
  for (let i = 0; i < scale.jobs; i++) {
    const replicas = { shape: 'service', pieces: scale.replicas, gpus: 4, runMs: 0 } as const;
    jobs.push(await cluster.submit({ ...replicas, crew: 'guests' }));
  }
  const running = (): number =>
    [...cluster.workers.values()].reduce(
      (sum, worker) => sum + worker.pieces.filter((piece) => piece.phase === 'running').length,
      0,
    );
  await cluster.until(() => running() === total, 60, 'every replica runs');
  const before = cluster.starts.length;
  cluster.crash(cluster.leader);
  await cluster.advance(20);
  const starts = { before, after: cluster.starts.length };
  const result = { starts, running: running(), phase: '' };
  result.phase = await cluster.phase(jobs[0]!, cluster.leader);
  await cluster.close();
  return result;
}

if (parentPort) parentPort.postMessage(await crashLeaderOfFullFleet(workerData as ScaleCase));
