import type { SimulatedCluster } from './simulated-cluster.js';

/** The store limits that the settings announce, and that the store enforces later. */
export const ANNOUNCED_LIMITS = { valueBytes: 2048, txnOps: 4, writeRps: 15 };

/** Makes a controller fail to write its member record, like a version without such records. */
export function preventMemberRecord(cluster: SimulatedCluster, node: number): void {
  cluster.nodes[node]!.storeOutcome = (_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve';
}

export const runKeys = (cluster: SimulatedCluster): string[] =>
  [...cluster.store.keys.keys()].filter((key) => key.startsWith('runs/'));
export const isRangedRunKey = (key: string): boolean => /\/p\d+$/.test(key);

/** Completes the running tasks of a job that `which` selects. */
export function exitTasks(
  cluster: SimulatedCluster,
  job: string,
  which: (task: number) => boolean = () => true,
): void {
  for (const piece of cluster.tasksOf(job)) {
    if (piece.phase !== 'running' || !which(piece.task)) continue;
    piece.phase = 'ended';
    piece.cause = 'done';
    cluster.checker.completed(piece.job, piece.task);
  }
}
