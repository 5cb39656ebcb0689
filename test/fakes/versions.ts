import assert from 'node:assert/strict';
import { CURRENT, type Program } from './program.js';
import { RELEASED, type Release } from './released.js';
import type { Fate } from './store.js';
import type { JobTemplate, SimulatedCluster } from './simulated-cluster.js';

/** A version by name; `current` is this tree's. */
export type Version = Release | 'current';

export const programOf = (version: Version): Program =>
  version === 'current' ? CURRENT : RELEASED[version];

/** How long a controller is away when it ends. */
const RESTART_S = 3;

/** How long work runs that is to outlast a scenario. */
export const LONG_MS = 400_000;

/** Sets which version each controller runs; before they start. */
export function install(cluster: SimulatedCluster, versions: readonly Version[]): void {
  for (const [i, version] of versions.entries()) cluster.nodes[i]!.program = programOf(version);
}

/** A controller ends and comes back with another version. */
export async function change(
  cluster: SimulatedCluster,
  node: number,
  version: Version,
): Promise<void> {
  cluster.crash(node);
  cluster.nodes[node]!.program = programOf(version);
  await cluster.pass(RESTART_S);
  cluster.restart(node);
}

/** The version of the controller that leads; null while none does. */
export const leading = (cluster: SimulatedCluster): string | null =>
  cluster.nodes[cluster.leader]?.program.version ?? null;

const writesLeaderKey = (path: string, body: unknown): boolean =>
  path === '/txn' && JSON.stringify(body).includes('"write":"leader"');

/** Office passes to this controller: the leader ends, and the others are refused the leader key. */
export async function passOffice(cluster: SimulatedCluster, to: number): Promise<void> {
  const from = cluster.leader;
  if (from === to) return;
  const before = cluster.nodes.map((node) => node.fate);
  for (const [i, node] of cluster.nodes.entries()) {
    const fate = node.fate;
    if (i === to) continue;
    node.fate = (method, path, body): Fate =>
      writesLeaderKey(path, body) ? 'refuse' : fate(method, path, body);
  }
  if (from >= 0) cluster.crash(from);
  await cluster.until(
    () => cluster.leader === to,
    30,
    `office passes to ${cluster.nodes[to]!.program.version}`,
  );
  for (const [i, node] of cluster.nodes.entries()) if (node.controller) node.fate = before[i]!;
  if (from >= 0) cluster.restart(from);
  await cluster.pass(5);
}

/** Work that is to outlast a scenario: an array too large for the limits to come, replicas and a gang. */
export interface LongWork {
  array: string;
  service: string;
  gang: string;
}

const LONG_JOBS: Record<keyof LongWork, JobTemplate> = {
  array: { pieces: 90, gpus: 0, runMs: LONG_MS, crew: 'speech' },
  service: { shape: 'service', pieces: 3, runMs: 0, urgency: 'production' },
  gang: { shape: 'gang', pieces: 4, gpus: 2, runMs: LONG_MS, samePlace: true },
};

export async function startLongWork(cluster: SimulatedCluster): Promise<LongWork> {
  const array = await cluster.accept(LONG_JOBS.array);
  const service = await cluster.accept(LONG_JOBS.service);
  const gang = await cluster.accept(LONG_JOBS.gang);
  await cluster.until(() => allRun(cluster, { array, service, gang }), 60, 'all runs');
  return { array, service, gang };
}

const LONG_JOB_NAMES = Object.keys(LONG_JOBS) as (keyof LongWork)[];

export const allRun = (cluster: SimulatedCluster, work: LongWork): boolean =>
  LONG_JOB_NAMES.every((kind) => cluster.running(work[kind]) === LONG_JOBS[kind].pieces);

/** How often tasks of this work have started. */
export const startsOf = (cluster: SimulatedCluster, work: LongWork): number =>
  cluster.starts.filter((name) => LONG_JOB_NAMES.some((kind) => name.startsWith(`${work[kind]}/`)))
    .length;

/** All nodes call a job the same. */
export async function assertPhase(
  cluster: SimulatedCluster,
  ref: string,
  phase: string,
): Promise<void> {
  for (const [i, node] of cluster.nodes.entries()) {
    assert.equal(await cluster.phase(ref, i), phase, `${ref} at ${node.program.version}`);
  }
}
