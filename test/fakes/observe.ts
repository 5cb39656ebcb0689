import type { SimulatedCluster } from './simulated-cluster.js';

/** Whether a transaction writes a key with this prefix. */
export const writes = (body: unknown, key: string): boolean =>
  JSON.stringify(body ?? null).includes(`"write":"${key}`);

/** Advances the time; returns the highest number of a job's tasks on machines at once. */
export async function maxTasksOn(
  cluster: SimulatedCluster,
  job: string,
  seconds: number,
): Promise<number> {
  let highest = 0;
  for (let i = 0; i < seconds * 4; i++) {
    await cluster.advance(0.25);
    highest = Math.max(highest, cluster.tasksOf(job).length);
  }
  return highest;
}
