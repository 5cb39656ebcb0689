import type { SimulatedCluster } from './simulated-cluster.js';

/** What the settings announce, and what the store has from some moment on. */
export const NEXT = { valueBytes: 2048, txnOps: 4, writeRps: 15 };

/** A controller that writes no member record, like a version from before these records. */
export function makeOld(cluster: SimulatedCluster, node: number): void {
  cluster.nodes[node]!.fate = (_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve';
}

export const runKeys = (cluster: SimulatedCluster): string[] =>
  [...cluster.store.keys.keys()].filter((key) => key.startsWith('runs/'));
export const ranged = (key: string): boolean => /\/p\d+$/.test(key);

/** Ends the running tasks of a job that `which` names. */
export function finish(
  cluster: SimulatedCluster,
  job: string,
  which: (task: number) => boolean = () => true,
): void {
  for (const piece of cluster.on(job)) {
    if (piece.phase !== 'running' || !which(piece.task)) continue;
    piece.phase = 'ended';
    piece.cause = 'done';
    cluster.checker.completed(piece.job, piece.task);
  }
}
