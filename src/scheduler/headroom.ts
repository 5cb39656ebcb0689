import { howMany, take } from '../fleet/types.js';
import type { ExpectedTasks } from './demand-forecast.js';
import type { JobView, MachineView, Snapshot } from './model.js';
import { allows, ZoneRules } from './placement.js';
import type { Preemption } from './preemption.js';
import type { RentalPlan } from './rental-plan.js';

/** A job that nobody has submitted yet. */
function expectedJob({ spec, count }: ExpectedTasks): JobView {
  return {
    id: `expected ${spec.jobClass}`,
    spec: { ...spec, tasks: count, zone: null, oneZone: false, spread: false },
    priority: spec.priority,
    readyAt: Infinity,
    dueAt: Infinity,
    patient: false,
    opportunistic: null,
    waiting: count,
    unfinished: count,
    zones: new Map(),
    avoid: new Set(),
    gang: null,
    admissible: true,
    onTrial: false,
  };
}

/**
 * Rents room for work that is expected to come before a machine could boot, beyond what is free, what
 * boots and what lesser work would leave. Work that has to begin sooner than a machine boots would else
 * be late as long as the fleet grows: each job would find the machines that the one before it needed.
 */
export function rentHeadroom(
  snapshot: Snapshot,
  up: readonly MachineView[],
  preemption: Preemption,
  rentals: RentalPlan,
): void {
  const coming = [...snapshot.machines.filter((m) => !m.up), ...rentals.machines];
  const room = new Map(coming.map((m) => [m, { ...m.free }]));
  for (const expected of snapshot.expected) {
    const job = expectedJob(expected);
    let missing = expected.count;
    for (const m of [...up, ...coming]) {
      if (missing <= 0) break;
      if (!allows(job.spec, m.type.name, m.zone, m.spot)) continue;
      let left = room.get(m);
      if (!left) room.set(m, (left = { ...preemption.potential(job, m, false) }));
      const found = Math.min(missing, howMany(job.spec.need, left));
      take(left, job.spec.need, found);
      missing -= found;
    }
    rentals.rent(job, missing, new ZoneRules(job.spec, job.zones), null);
  }
}
