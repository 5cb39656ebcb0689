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
