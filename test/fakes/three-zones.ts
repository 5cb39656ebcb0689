import assert from 'node:assert/strict';
import { THREE_ZONES } from './deployment-shape.js';
import { machines } from './fault-scenario.js';
import { SimulatedCluster } from './simulated-cluster.js';

/** The jobs of the scenarios with three zones. */
export interface ThreeZoneJobs {
  /** Services of three replicas with two GPUs each, spread over zones. */
  replicas: string[];
  /** Gangs of two tasks that take a whole machine each, in one zone. */
  gangs: string[];
  /** Arrays of best-effort tasks with one GPU each. */
  arrays: string[];
}

/** The size of a scenario. */
export interface ScenarioSize {
  machinesPerZone: number;
  /** How many more machines can be rented. */
  rentable: number;
  services: number;
  gangs: number;
  arrays: number;
  /** The factor by which the sample's guarantees and limits are scaled. */
  teamScale: number;
}

const REPLICAS = 3;
const SWEEP_TASKS = 24;
const BOOT_S = 40;
export const LEASE_S = THREE_ZONES.workers.leaseMs / 1000;

/** Starts five controllers in three zones and the work, and waits until all jobs run. */
export async function startInThreeZones(
  seed: number,
  size: ScenarioSize,
): Promise<{ w: SimulatedCluster; work: ThreeZoneJobs }> {
  const yards = THREE_ZONES.zones.map((zone) => zone.repeat(size.machinesPerZone)).join('');
  const fleet = machines(yards);
  const simulatedCluster = new SimulatedCluster(fleet, THREE_ZONES, seed, {}, size.teamScale);
  simulatedCluster.cloud.capacity = fleet.length + size.rentable;
  await simulatedCluster.start();
  const work: ThreeZoneJobs = { replicas: [], gangs: [], arrays: [] };
  for (let i = 0; i < size.services; i++) {
    const template = { pieces: REPLICAS, gpus: 2, runMs: 0, crew: 'speech', urgency: 'production' };
    work.replicas.push(
      await simulatedCluster.accept({ ...template, shape: 'service', apart: true }),
    );
  }
  for (let i = 0; i < size.gangs; i++) {
    const template = { pieces: 2, gpus: 8, vcpus: 40, runMs: 90_000, urgency: 'urgent' };
    work.gangs.push(await simulatedCluster.accept({ ...template, shape: 'gang', samePlace: true }));
  }
  for (let i = 0; i < size.arrays; i++) {
    const template = { pieces: SWEEP_TASKS, runMs: 40_000, urgency: 'best_effort' };
    work.arrays.push(await simulatedCluster.accept(template));
  }
  const all = [...work.replicas, ...work.gangs, ...work.arrays];
  await simulatedCluster.until(
    () => all.every((job) => simulatedCluster.running(job) > 0),
    40,
    'all jobs run',
  );
  return { w: simulatedCluster, work };
}

/** Removes all machines of a zone and kills its controllers. */
function loseZone(cluster: SimulatedCluster, zone: string): void {
  for (const [i, node] of cluster.nodes.entries())
    if (cluster.zoneOf(node) === zone) cluster.crash(i);
  for (const worker of [...cluster.workers.values()]) {
    if (worker.yard !== zone) continue;
    cluster.cloud.hosts.delete(worker.id);
    cluster.kill(worker.id);
  }
}

/** Whether every service has all its replicas. */
export const allReplicasRun = (cluster: SimulatedCluster, { replicas }: ThreeZoneJobs): boolean =>
  replicas.every((job) => cluster.running(job) === REPLICAS);

/** Waits until all replicas run in other zones: two leases, a boot and 20 s for their start. */
async function untilReplicasRunElsewhere(
  cluster: SimulatedCluster,
  work: ThreeZoneJobs,
  zone: string,
): Promise<void> {
  const elsewhere = (job: string): boolean =>
    cluster.machinesWith(job).every(({ yard }) => yard !== zone);
  const done = (): boolean => allReplicasRun(cluster, work) && work.replicas.every(elsewhere);
  await cluster.until(done, 2 * LEASE_S + BOOT_S + 20, 'all replicas run in other zones');
}

/** Waits until all gangs and arrays are done. */
async function untilBatchesEnd(
  cluster: SimulatedCluster,
  { gangs: pairs, arrays: sweeps }: ThreeZoneJobs,
): Promise<void> {
  const isDone = (job: string): boolean => cluster.storedPhase(job) === 'done';
  await cluster.until(() => pairs.every(isDone), 200, 'the gangs are done');
  await cluster.until(() => sweeps.every(isDone), 60, 'the arrays are done');
}

/** Loses a zone and the leader; checks that all work continues in the other zones. */
export async function loseZoneAndLeader(
  cluster: SimulatedCluster,
  work: ThreeZoneJobs,
  zone: string,
): Promise<void> {
  loseZone(cluster, zone);
  if (cluster.leader >= 0) cluster.crash(cluster.leader);
  await cluster.advance(3);
  cluster.restartAll(THREE_ZONES.zones.filter((other) => other !== zone));
  await untilReplicasRunElsewhere(cluster, work, zone);
  await untilBatchesEnd(cluster, work);
  assert.ok(work.gangs.every((pair) => cluster.machinesWith(pair).length === 0));
  cluster.restartAll();
  await cluster.waitUntilSettled(150);
  await cluster.close();
}
