import assert from 'node:assert/strict';
import { CURRENT, type Program } from './program.js';
import { RELEASED, type Release } from './released.js';
import type { Fate } from './store.js';
import type { JobWish, World } from './world.js';

/** A version by name; `current` is this tree's. */
export type Version = Release | 'current';

export const programOf = (version: Version): Program =>
  version === 'current' ? CURRENT : RELEASED[version];

/** How long a controller is away when it ends. */
const AWAY_S = 3;

/** How long work runs that is to outlast a story. */
export const LONG_MS = 400_000;

/** Sets which version each controller runs; before they start. */
export function install(w: World, versions: readonly Version[]): void {
  for (const [i, version] of versions.entries()) w.nodes[i]!.program = programOf(version);
}

/** A controller ends and comes back with another version. */
export async function change(w: World, node: number, version: Version): Promise<void> {
  w.crash(node);
  w.nodes[node]!.program = programOf(version);
  await w.pass(AWAY_S);
  w.restart(node);
}

/** The version of the controller that leads; null while none does. */
export const leading = (w: World): string | null => w.nodes[w.leader]?.program.version ?? null;

const seeksOffice = (path: string, body: unknown): boolean =>
  path === '/txn' && JSON.stringify(body).includes('"write":"leader"');

/** Office passes to this controller: the leader ends, and the others are refused the leader key. */
export async function passOffice(w: World, to: number): Promise<void> {
  const from = w.leader;
  if (from === to) return;
  const before = w.nodes.map((node) => node.fate);
  for (const [i, node] of w.nodes.entries()) {
    const fate = node.fate;
    if (i === to) continue;
    node.fate = (method, path, body): Fate =>
      seeksOffice(path, body) ? 'refuse' : fate(method, path, body);
  }
  if (from >= 0) w.crash(from);
  await w.until(() => w.leader === to, 30, `office passes to ${w.nodes[to]!.program.version}`);
  for (const [i, node] of w.nodes.entries()) if (node.controller) node.fate = before[i]!;
  if (from >= 0) w.restart(from);
  await w.pass(5);
}

/** Work that is to outlast a story: an array too large for the limits to come, replicas and a gang. */
export interface LongWork {
  array: string;
  service: string;
  gang: string;
}

const WISHES: Record<keyof LongWork, JobWish> = {
  array: { pieces: 90, gpus: 0, runMs: LONG_MS, crew: 'speech' },
  service: { shape: 'service', pieces: 3, runMs: 0, urgency: 'production' },
  gang: { shape: 'gang', pieces: 4, gpus: 2, runMs: LONG_MS, samePlace: true },
};

export async function startLongWork(w: World): Promise<LongWork> {
  const array = await w.accept(WISHES.array);
  const service = await w.accept(WISHES.service);
  const gang = await w.accept(WISHES.gang);
  await w.until(() => allRun(w, { array, service, gang }), 60, 'all runs');
  return { array, service, gang };
}

const KINDS = Object.keys(WISHES) as (keyof LongWork)[];

export const allRun = (w: World, work: LongWork): boolean =>
  KINDS.every((kind) => w.running(work[kind]) === WISHES[kind].pieces);

/** How often tasks of this work have started. */
export const startsOf = (w: World, work: LongWork): number =>
  w.starts.filter((name) => KINDS.some((kind) => name.startsWith(`${work[kind]}/`))).length;

/** All nodes call a job the same. */
export async function assertPhase(w: World, ref: string, phase: string): Promise<void> {
  for (const [i, node] of w.nodes.entries()) {
    assert.equal(await w.phase(ref, i), phase, `${ref} at ${node.program.version}`);
  }
}
