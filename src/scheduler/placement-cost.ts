/** What it costs to place a task on a machine, in seconds of waiting or their equivalent. */
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** Weight of a second of image fetching against the other costs of a placement. */
export const FETCH_WEIGHT = 4;

/** Cost of a machine all of whose GPUs are free: others stay whole for gangs and for scale-in. */
const FREE_GPUS_SECONDS = 8;

/** Cost, for a task without GPUs, of a machine all of whose processors are free. */
const FREE_CPUS_SECONDS = 4;

/** Cost of each replica of the same service on the machine: one loss should take few of them. */
const SAME_SERVICE_SECONDS = 20;

/** Cost of the first replica on a machine: it would keep it from scale-in for as long as it runs. */
const FIRST_REPLICA_SECONDS = 40;

/** Bonus of a spot instance for jobs that may use one: the others need the on-demand machines. */
const SPOT_BONUS_SECONDS = 4;

/** Seconds until a task of this image could begin on the machine: its fetches share its rate. */
export function fetchSeconds(spec: JobSpec, machine: MachineView): number {
  const missingGb = machine.images.has(spec.image) ? 0 : spec.imageGb;
  if (missingGb === 0 && machine.incomingGb === 0) return 0;
  // An image on its way is counted by half: it has been fetched for some time already.
  return missingGb > 0
    ? (missingGb + machine.incomingGb) / machine.type.fetchGbPerS
    : machine.incomingGb / 2 / machine.type.fetchGbPerS;
}

/** Records in the view that the image will be fetched, which slows other fetches there down. */
export function recordImageFetch(spec: JobSpec, machine: MachineView): void {
  if (machine.images.has(spec.image)) return;
  machine.images.add(spec.image);
  machine.incomingGb += spec.imageGb;
}

/**
 * Cost of a task of the job on the machine: the image's fetch first; then the fullest machine, so
 * that whole machines stay free for gangs and for scale-in.
 *
 * @param contentionPenalty what the job pays for the machine's type (`ContendedTypes`)
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
    cost += (machine.tasksOf.get(job.id) ?? 0) * SAME_SERVICE_SECONDS;
    if (machine.replicas === 0) cost += FIRST_REPLICA_SECONDS;
  }
  if (spec.spot && machine.spot) cost -= SPOT_BONUS_SECONDS;
  return cost;
}
