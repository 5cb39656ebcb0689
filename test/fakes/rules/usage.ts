import { hasImage, type ObservedMachine } from './model.js';
import type { ObservedState } from './observed.js';

/** The rule `quota`: no team uses more than its limit. */
export function checkQuota(observed: ObservedState, machines: ObservedMachine[]): void {
  for (const [team, used] of observed.usedByTeam(machines, hasImage)) {
    const limit = observed.options.fleet.teams.get(team);
    if (!limit || used.cpus > limit.cpus + 1e-6 || used.gpus > limit.gpus + 1e-6) {
      observed.report('quota', `${team}: ${used.cpus} CPUs, ${used.gpus} GPUs`);
    }
  }
}

/** The rule `overfull`: the tasks on a machine fit its capacity. */
export function checkCapacity(observed: ObservedState, machine: ObservedMachine): void {
  const free = observed.freeCapacity(machine);
  if (free.cpus < -1e-6 || free.gpus < -1e-6 || free.memoryGb < -1e-6) {
    observed.report('overfull', `${machine.id}: ${JSON.stringify(free)}`);
  }
}
