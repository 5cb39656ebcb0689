/** Clusters whose leader has memory for fewer tasks than its machines have capacity for. */
import {
  trackedTasksLimit,
  UNRECORDED_EXITS_RATIO,
} from '../../src/control/scheduling/tracked-tasks-limit.js';
import { sampleShape } from './deployment-shape.js';
import { recoveredLeaderOf } from './leader.js';
import { SimulatedCluster } from './simulated-cluster.js';

/** Memory of a controller, in MB. */
export const SMALL_MEMORY_MB = 1;

/** The number of tasks that a leader of this memory lets be on machines. */
export const SMALL_LIMIT = trackedTasksLimit(SMALL_MEMORY_MB);

/** The same, with the exits that may be unrecorded beside them. */
export const SMALL_LIMIT_WITH_EXITS = SMALL_LIMIT * (1 + UNRECORDED_EXITS_RATIO);

/** Number of machines; each has capacity for 72 of the tasks below. */
export const SMALL_FLEET = 40;

/** A task that takes little of its machine. */
export const SMALL_TASK = { vcpus: 0.1, gpus: 0, crew: 'guests', fetchMs: 200 } as const;

/** A cluster of `SMALL_FLEET` machines with limits of the store that are never reached. */
export async function startSmallCluster(
  memoryMb = SMALL_MEMORY_MB,
  seed = 56,
): Promise<SimulatedCluster> {
  const shape = sampleShape(2, { rps: 1000, writeRps: 300 });
  const machines = Array.from({ length: SMALL_FLEET }, (_, i) => ({ yard: i % 2 ? 'a' : 'b' }));
  const cluster = new SimulatedCluster(
    machines,
    { ...shape, machine: { ...shape.machine, memoryMb } },
    seed,
  );
  cluster.cloud.capacity = SMALL_FLEET;
  await cluster.start();
  return cluster;
}

/** Number of tasks that the present leader tracks; 0 while there is none. */
export function trackedTasks(cluster: SimulatedCluster): number {
  let tracked = 0;
  for (const { placements, unrecordedExits } of recoveredLeaderOf(cluster)?.jobs.values() ?? [])
    tracked += placements.size + unrecordedExits.size;
  return tracked;
}

/** Records the largest number of tasks that any leader tracks from now on. */
export function watchTrackedTasks(cluster: SimulatedCluster): { peak: number } {
  const watched = { peak: 0 };
  cluster.observers.add(() => {
    watched.peak = Math.max(watched.peak, trackedTasks(cluster));
  });
  return watched;
}
