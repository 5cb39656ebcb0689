import assert from 'node:assert/strict';
import { CURRENT, type Program } from './program.js';
import { RELEASED, type Release } from './released.js';
import type { RequestOutcome } from './store.js';
import type { JobTemplate, SimulatedCluster } from './simulated-cluster.js';

/** A controller version; `current` is that of this tree. */
export type Version = Release | 'current';

export const programOf = (version: Version): Program =>
  version === 'current' ? CURRENT : RELEASED[version];

/** How long a controller is down during a change of version. */
const RESTART_S = 3;

/** The run time of tasks that must outlast a scenario. */
export const LONG_MS = 400_000;

/** Sets the version of each controller; to be called before they start. */
export function setVersions(cluster: SimulatedCluster, versions: readonly Version[]): void {
  for (const [i, version] of versions.entries()) cluster.nodes[i]!.program = programOf(version);
}

/** Restarts a controller with another version. */
export async function changeVersion(
  cluster: SimulatedCluster,
  node: number,
  version: Version,
): Promise<void> {
  cluster.crash(node);
  cluster.nodes[node]!.program = programOf(version);
  await cluster.advance(RESTART_S);
  cluster.restart(node);
}

/** The version of the current leader; null if there is none. */
export const leaderVersion = (cluster: SimulatedCluster): string | null =>
  cluster.nodes[cluster.leader]?.program.version ?? null;

const writesLeaderKey = (path: string, body: unknown): boolean =>
  path === '/txn' && JSON.stringify(body).includes('"write":"leader"');

/** Makes a controller the leader: kills the leader and keeps others from writing the leader key. */
export async function transferLeadership(cluster: SimulatedCluster, to: number): Promise<void> {
  const formerLeader = cluster.leader;
  if (formerLeader === to) return;
  const formerFates = cluster.nodes.map((node) => node.storeOutcome);
  for (const [i, node] of cluster.nodes.entries()) {
    const fate = node.storeOutcome;
    if (i === to) continue;
    node.storeOutcome = (method, path, body): RequestOutcome =>
      writesLeaderKey(path, body) ? 'refuse' : fate(method, path, body);
  }
  if (formerLeader >= 0) cluster.crash(formerLeader);
  await cluster.until(
    () => cluster.leader === to,
    30,
    `leadership passes to ${cluster.nodes[to]!.program.version}`,
  );
  for (const [i, node] of cluster.nodes.entries())
    if (node.controller) node.storeOutcome = formerFates[i]!;
  if (formerLeader >= 0) cluster.restart(formerLeader);
  await cluster.advance(5);
}

/** Jobs that outlast a scenario: an array too large for the announced limits, a service, a gang. */
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
  await cluster.until(() => allRun(cluster, { array, service, gang }), 60, 'all jobs run');
  return { array, service, gang };
}

const LONG_JOB_NAMES = Object.keys(LONG_JOBS) as (keyof LongWork)[];

export const allRun = (cluster: SimulatedCluster, work: LongWork): boolean =>
  LONG_JOB_NAMES.every((kind) => cluster.running(work[kind]) === LONG_JOBS[kind].pieces);

/** How often tasks of these jobs have started. */
export const startsOf = (cluster: SimulatedCluster, work: LongWork): number =>
  cluster.starts.filter((name) => LONG_JOB_NAMES.some((kind) => name.startsWith(`${work[kind]}/`)))
    .length;

/** Asserts that all nodes report the same phase of a job. */
export async function assertPhase(
  cluster: SimulatedCluster,
  ref: string,
  phase: string,
): Promise<void> {
  for (const [i, node] of cluster.nodes.entries()) {
    assert.equal(await cluster.phase(ref, i), phase, `${ref} at ${node.program.version}`);
  }
}
