/** Feasibility check of submitted jobs. */

import { fits, type MachineType } from '../fleet/resources.js';
import type { Team } from '../settings/deploy.js';
import type { JobSpec } from './job.js';

/** Returns why a job can never run, or null if it can. */
export function infeasibleReason(
  spec: JobSpec,
  teams: ReadonlyMap<string, Pick<Team, 'limit'>>,
  types: ReadonlyMap<string, MachineType>,
): string | null {
  const team = teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  const fitsAnyType = [...types.values()].some(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      fits(spec.need, type.capacity),
  );
  if (!fitsAnyType) return 'a task fits no allowed machine type';
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (
    spec.need.gpus * concurrentTasks > team.limit.gpus + 1e-6 ||
    spec.need.cpus * concurrentTasks > team.limit.cpus + 1e-6
  ) {
    return `more than the limit of team ${spec.team}`;
  }
  return null;
}
