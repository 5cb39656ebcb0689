import { onMachine, type MachineSeen } from './model.js';
import type { Observed } from './observed.js';

/** The rule `quota`. */
export function judgeQuota(seen: Observed, machines: MachineSeen[]): void {
  for (const [team, used] of seen.usedByTeam(machines, onMachine)) {
    const limit = seen.options.fleet.teams.get(team);
    if (!limit || used.cpus > limit.cpus + 1e-6 || used.gpus > limit.gpus + 1e-6) {
      seen.report('quota', `${team}: ${used.cpus} CPUs, ${used.gpus} GPUs`);
    }
  }
}

/** The rule `overfull`: what is on a machine fits on it. */
export function judgeRoom(seen: Observed, m: MachineSeen): void {
  const free = seen.freeRoom(m);
  if (free.cpus < -1e-6 || free.gpus < -1e-6 || free.memoryGb < -1e-6) {
    seen.report('overfull', `${m.id}: ${JSON.stringify(free)}`);
  }
}
