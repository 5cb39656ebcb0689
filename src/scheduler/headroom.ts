/** Headroom: scale-out ahead of forecast demand. */
import { countFittingTasks, subtract } from '../fleet/resources.js';
import type { ExpectedTasks } from './demand-forecast.js';
import type { JobView, MachineView, Snapshot } from './scheduling-model.js';
import { isAllowedOn, ZoneRules } from './placement-rules.js';
import type { Preemption } from './preemption.js';
import type { ScaleOutPlan } from './scale-out-plan.js';

/** Creates a placeholder for the jobs of a class that are expected but not submitted yet. */
function expectedJob({ spec, count }: ExpectedTasks): JobView {
  return {
    id: `expected ${spec.jobClass}`,
    spec: { ...spec, tasks: count, zone: null, oneZone: false, spread: false },
    priority: spec.priority,
    readyAt: Infinity,
    dueAt: Infinity,
    isBackfill: false,
    opportunisticConcurrency: null,
    waitingTasks: count,
    unfinishedTasks: count,
    tasksByZone: new Map(),
    avoidedMachines: new Set(),
    gang: null,
    isAdmissible: true,
    isLastResortRetry: false,
  };
}

/**
 * Scales out for tasks that are expected to arrive before a machine could boot and that exceed the
 * capacity that is free, booting or available by preemption. Without headroom, jobs that must start
 * within less than a boot time would be late as long as demand grows: the machines provisioned for
 * one job would only be up in time for the next.
 */
export function scaleOutHeadroom(
  snapshot: Snapshot,
  upMachines: readonly MachineView[],
  preemption: Preemption,
  scaleOutPlan: ScaleOutPlan,
): void {
  const upcomingMachines = [
    ...snapshot.machines.filter((machine) => !machine.isUp),
    ...scaleOutPlan.machines,
  ];
  const capacities = new Map(upcomingMachines.map((machine) => [machine, { ...machine.free }]));
  for (const expected of snapshot.expectedTasks) {
    const job = expectedJob(expected);
    let missing = expected.count;
    for (const machine of [...upMachines, ...upcomingMachines]) {
      if (missing <= 0) break;
      if (!isAllowedOn(job.spec, machine.type.name, machine.zone, machine.spot)) continue;
      let remaining = capacities.get(machine);
      if (!remaining)
        capacities.set(
          machine,
          (remaining = { ...preemption.capacityAfterPreemption(job, machine, false) }),
        );
      const found = Math.min(missing, countFittingTasks(job.spec.need, remaining));
      subtract(remaining, job.spec.need, found);
      missing -= found;
    }
    scaleOutPlan.add(job, missing, new ZoneRules(job.spec, job.tasksByZone), null);
  }
}
