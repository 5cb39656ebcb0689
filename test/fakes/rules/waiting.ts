import type { Amounts, JobRequest } from '../job-request.js';
import { allowsMachine, isComplete, spreadLimit } from './model.js';
import type { JobHistory, MachineSeen } from './model.js';
import type { Observed } from './observed.js';

/** For how long a task may wait beside room that fits once all faults are over. */
const LEFT_WAITING_MS = 90_000;

const NOTHING_USED: Amounts = { cpus: 0, gpus: 0 };

/** The rule `left_waiting`, once all faults are over. */
export function judgeWaiting(seen: Observed, machines: MachineSeen[], job: JobHistory): void {
  if (!hasFittingRoom(seen, machines, job)) {
    job.fittingSince = null;
    return;
  }
  job.fittingSince ??= seen.now;
  if (seen.now - job.fittingSince < LEFT_WAITING_MS) return;
  seen.report('left_waiting', `${job.ref}: a task waits beside fitting room for 90 s`);
}

/** A task of it (of a gang all of them) could be on machines now, and is on none. */
function hasFittingRoom(seen: Observed, machines: MachineSeen[], job: JobHistory): boolean {
  const { request } = job;
  if (!request || job.acceptedAt === null || job.final || job.abortAskedAt < Infinity) return false;
  if (!seen.ancestors(job).every(isComplete)) return false;
  const zones = seen.zonesOf(machines, job.ref, () => true);
  const placed = new Set([...zones.values()].flatMap((tasks) => [...tasks]));
  for (const task of job.completed) placed.add(task);
  const missing = request.pieces - placed.size;
  if (missing <= 0) return false;
  // A gang begins anew only when nothing of its last attempt is left.
  if (request.shape === 'gang' && zones.size > 0) return false;
  const wanted = request.shape === 'gang' ? missing : 1;
  const limit = seen.options.fleet.teams.get(request.crew)!;
  const used = seen.usedByTeam(machines, () => true).get(request.crew) ?? NOTHING_USED;
  if (used.cpus + request.vcpus * wanted > limit.cpus + 1e-6) return false;
  if (used.gpus + request.gpus * wanted > limit.gpus + 1e-6) return false;
  return zoneRoom(seen, machines, request, zones) >= wanted;
}

/** How many more tasks of a job the machines' free room and its own zone rules allow. */
function zoneRoom(
  seen: Observed,
  machines: MachineSeen[],
  request: JobRequest,
  zones: Map<string, Set<number>>,
): number {
  const room = new Map<string, number>();
  for (const machine of machines) {
    if (!machine.usable || !allowsMachine(request, machine)) continue;
    const free = seen.freeRoom(machine);
    const per = (left: number, need: number): number =>
      need > 0 ? Math.floor((left + 1e-6) / need) : Infinity;
    const count = Math.min(
      per(free.cpus, request.vcpus),
      per(free.gpus, request.gpus),
      per(free.memoryGb, request.memoryGb),
    );
    room.set(machine.zone, (room.get(machine.zone) ?? 0) + Math.max(0, count));
  }
  if (request.samePlace) {
    const [only] = zones.keys();
    return only === undefined ? Math.max(0, ...room.values()) : (room.get(only) ?? 0);
  }
  let sum = 0;
  for (const [zone, count] of room) {
    const most = request.apart ? spreadLimit(request) - (zones.get(zone)?.size ?? 0) : Infinity;
    sum += Math.max(0, Math.min(count, most));
  }
  return sum;
}
