/** Cost of placing a task on a machine, in seconds of waiting or their equivalent. */
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** Weight of one second of image fetch time relative to the other placement costs. */
export const FETCH_WEIGHT = 4;

/** Cost of a machine with all GPUs free, which keeps whole machines free for gangs and scale-in. */
const FREE_GPUS_SECONDS = 8;

/** Cost of a machine with all CPUs free, for tasks without GPUs. */
const FREE_CPUS_SECONDS = 4;

/**
 * Cost per replica of the same service on the machine, so that losing a machine stops few of them.
 */
const SAME_SERVICE_SECONDS = 20;

/** Cost of the first replica on a machine, which prevents scale-in for as long as it runs. */
const FIRST_REPLICA_SECONDS = 40;

/** Bonus of a spot instance for jobs that may use one; other jobs need the on-demand machines. */
const SPOT_BONUS_SECONDS = 4;

/** Seconds until a task could start on the machine; concurrent fetches share its bandwidth. */
export function fetchSeconds(spec: JobSpec, machine: MachineView): number {
  const missingGb = machine.images.has(spec.image) ? 0 : spec.imageGb;
  if (missingGb === 0 && machine.incomingGb === 0) return 0;
  // An image that is being fetched counts half, because part of it has already arrived.
  return missingGb > 0
    ? (missingGb + machine.incomingGb) / machine.type.fetchGbPerS
    : machine.incomingGb / 2 / machine.type.fetchGbPerS;
}

/**
 * Records in the view that the machine will fetch the image, which slows down its other fetches.
 */
export function recordImageFetch(spec: JobSpec, machine: MachineView): void {
  if (machine.images.has(spec.image)) return;
  machine.images.add(spec.image);
  machine.incomingGb += spec.imageGb;
}

/**
 * Returns the cost of placing a task of the job on the machine. Image fetch time weighs most, then
 * free capacity: fuller machines are preferred, so that whole machines stay free for gangs and for
 * scale-in.
 *
 * @param contentionPenalty the job's penalty for the machine's type, in seconds (`ContendedTypes`)
 */
export function placementCost(
  job: JobView,
  machine: MachineView,
  contentionPenalty: number,
): number {
  const { spec } = job;
  const { capacity } = machine.type;
  const freeGpuRatio = capacity.gpus > 0 ? machine.free.gpus / capacity.gpus : 0;
  let cost =
    fetchSeconds(spec, machine) * FETCH_WEIGHT +
    freeGpuRatio * FREE_GPUS_SECONDS +
    contentionPenalty;
  if (spec.need.gpus === 0) cost += (machine.free.cpus / capacity.cpus) * FREE_CPUS_SECONDS;
  if (spec.kind === 'service') {
    cost += (machine.tasksByJob.get(job.id) ?? 0) * SAME_SERVICE_SECONDS;
    if (machine.replicas === 0) cost += FIRST_REPLICA_SECONDS;
  }
  if (spec.spot && machine.spot) cost -= SPOT_BONUS_SECONDS;
  return cost;
}
