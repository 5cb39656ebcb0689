import type { Amounts, JobRequest } from '../job-request.js';
import { allowsMachine, isComplete, spreadLimit } from './model.js';
import type { JobHistory, ObservedMachine } from './model.js';
import type { ObservedState } from './observed.js';

/** How long a task may wait although it could be placed, once all faults are over. */
const MAX_WAITING_MS = 90_000;

const NOTHING_USED: Amounts = { cpus: 0, gpus: 0 };

/** The rule `left_waiting`, which applies once all faults are over. */
export function checkWaiting(
  observed: ObservedState,
  machines: ObservedMachine[],
  job: JobHistory,
): void {
  if (!canBePlaced(observed, machines, job)) {
    job.placeableSince = null;
    return;
  }
  job.placeableSince ??= observed.now;
  if (observed.now - job.placeableSince < MAX_WAITING_MS) return;
  observed.report('left_waiting', `${job.ref}: a task that could be placed has waited for 90 s`);
}

/** Whether a waiting task, or for a gang all of its tasks, could be placed now. */
function canBePlaced(
  observed: ObservedState,
  machines: ObservedMachine[],
  job: JobHistory,
): boolean {
  const { request } = job;
  if (!request || job.acceptedAt === null || job.final || job.cancelRequestedAt < Infinity)
    return false;
  if (!observed.allDependenciesOf(job).every(isComplete)) return false;
  const zones = observed.zonesOf(machines, job.ref, () => true);
  const placed = new Set([...zones.values()].flatMap((tasks) => [...tasks]));
  for (const task of job.completed) placed.add(task);
  const missing = request.pieces - placed.size;
  if (missing <= 0) return false;
  // A gang restarts only when no task of its last attempt is left.
  if (request.shape === 'gang' && zones.size > 0) return false;
  const wanted = request.shape === 'gang' ? missing : 1;
  const limit = observed.options.fleet.teams.get(request.crew)!;
  const used = observed.usedByTeam(machines, () => true).get(request.crew) ?? NOTHING_USED;
  if (used.cpus + request.vcpus * wanted > limit.cpus + 1e-6) return false;
  if (used.gpus + request.gpus * wanted > limit.gpus + 1e-6) return false;
  return placeableTasks(observed, machines, request, zones) >= wanted;
}

/** How many more tasks of a job fit the machines' free capacity and its zone rules. */
function placeableTasks(
  observed: ObservedState,
  machines: ObservedMachine[],
  request: JobRequest,
  zones: Map<string, Set<number>>,
): number {
  const tasksPerZone = new Map<string, number>();
  for (const machine of machines) {
    if (!machine.usable || !allowsMachine(request, machine)) continue;
    const free = observed.freeCapacity(machine);
    const tasksWithin = (left: number, need: number): number =>
      need > 0 ? Math.floor((left + 1e-6) / need) : Infinity;
    const count = Math.min(
      tasksWithin(free.cpus, request.vcpus),
      tasksWithin(free.gpus, request.gpus),
      tasksWithin(free.memoryGb, request.memoryGb),
    );
    tasksPerZone.set(machine.zone, (tasksPerZone.get(machine.zone) ?? 0) + Math.max(0, count));
  }
  if (request.samePlace) {
    const [zone] = zones.keys();
    return zone === undefined
      ? Math.max(0, ...tasksPerZone.values())
      : (tasksPerZone.get(zone) ?? 0);
  }
  let sum = 0;
  for (const [zone, count] of tasksPerZone) {
    const zoneLimit = request.apart
      ? spreadLimit(request) - (zones.get(zone)?.size ?? 0)
      : Infinity;
    sum += Math.max(0, Math.min(count, zoneLimit));
  }
  return sum;
}
