/** Headroom: scale-out ahead of forecast demand. */
import { countFittingTasks, subtract, type Resources } from '../fleet/resources.js';
import type { ExpectedTasks } from './demand-forecast.js';
import type { CycleContext } from './cycle-context.js';
import { countFittingOn, takeCapacity } from './machine-view.js';
import type { JobView, MachineView } from './scheduling-model.js';
import { isAllowedOn, ZoneRules } from './placement-rules.js';

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
export function scaleOutHeadroom(context: CycleContext): void {
  const capacity = new RemainingCapacity(context);
  const { slots } = context;
  for (const expected of context.snapshot.expectedTasks) {
    const job = expectedJob(expected);
    let missing = Math.min(expected.count, slots.plannableTasks);
    slots.plan(missing);
    missing -= capacity.takeFromUp(job, missing);
    missing -= capacity.takeFromUpcoming(job, missing);
    context.scaleOutPlan.add(job, missing, new ZoneRules(job.spec, job.tasksByZone));
  }
}

/** The capacity that the jobs of the cycle leave to expected tasks. */
class RemainingCapacity {
  /** Capacity of machines that are up, once preemption has freed it. */
  private readonly freeOnUp = new Map<MachineView, Resources>();
  private readonly upcomingMachines: MachineView[];

  constructor(private readonly context: CycleContext) {
    this.upcomingMachines = context.upcomingMachines.map((machine) => ({
      ...machine,
      free: { ...machine.free },
    }));
  }

  /** Takes capacity for up to `count` tasks from machines that are up; returns how many fit. */
  takeFromUp(job: JobView, count: number): number {
    let taken = 0;
    for (const machine of this.context.upMachines) {
      if (taken >= count) break;
      if (!isAllowed(job, machine)) continue;
      const free = this.freeOn(job, machine);
      const tasks = Math.min(count - taken, countFittingTasks(job.spec.need, free));
      subtract(free, job.spec.need, tasks);
      taken += tasks;
    }
    return taken;
  }

  /** Takes capacity for up to `count` tasks from upcoming machines; returns how many fit. */
  takeFromUpcoming(job: JobView, count: number): number {
    const { need } = job.spec;
    let taken = 0;
    for (const machine of this.upcomingMachines) {
      if (taken >= count) break;
      if (!isAllowed(job, machine)) continue;
      const tasks = Math.min(count - taken, countFittingOn(need, machine));
      if (tasks === 0) continue;
      const tasksEach = Math.min(tasks, countFittingTasks(need, machine.free));
      taken += tasks;
      takeCapacity(this.upcomingMachines, machine, need, tasks, tasksEach);
    }
    return taken;
  }

  private freeOn(job: JobView, machine: MachineView): Resources {
    let free = this.freeOnUp.get(machine);
    if (!free) {
      free = this.context.preemption.capacityAfterPreemption(job, machine, false);
      this.freeOnUp.set(machine, free);
    }
    return free;
  }
}

const isAllowed = ({ spec }: JobView, { type, zone, spot }: MachineView): boolean =>
  isAllowedOn(spec, type.name, zone, spot);
