import type { World } from './world.js';

/** What the settings announce, and what the store has from some moment on. */
export const NEXT = { valueBytes: 2048, txnOps: 4, writeRps: 15 };

/** A controller that writes no member record, like a version from before these records. */
export function makeOld(w: World, node: number): void {
  w.nodes[node]!.fate = (_method, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"write":"members/') ? 'refuse' : 'serve';
}

export const runKeys = (w: World): string[] =>
  [...w.store.keys.keys()].filter((key) => key.startsWith('runs/'));
export const ranged = (key: string): boolean => /\/p\d+$/.test(key);

/** Ends the running tasks of a job that `which` names. */
export function finish(w: World, job: string, which: (task: number) => boolean = () => true): void {
  for (const p of w.on(job)) {
    if (p.phase !== 'running' || !which(p.task)) continue;
    p.phase = 'ended';
    p.cause = 'done';
    w.checker.completed(p.job, p.task);
  }
}
