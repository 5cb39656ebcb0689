/** State shared by the components of one scheduling cycle. */
import { CapacityFinder } from './capacity-finder.js';
import { ContendedTypes } from './contended-types.js';
import { withinGuarantee } from './job-order.js';
import { PlacementSlots } from './placement-slots.js';
import { Preemption } from './preemption.js';
import { Reservations } from './reservations.js';
import { ScaleOutPlan } from './scale-out-plan.js';
import type { JobView, MachineView, Snapshot } from './scheduling-model.js';

/**
 * State of one scheduling cycle. Capacity that one component takes is not available to the
 * components that run after it.
 */
export interface CycleContext {
  snapshot: Snapshot;
  /** Machines that are up. Pass this array itself: `CapacityFinder` caches by array identity. */
  upMachines: MachineView[];
  /**
   * Machines that are booting or that scale-out will provision. Scale-out appends to it, and
   * placements that split a view insert.
   */
  upcomingMachines: MachineView[];
  /** Ids of the jobs within their team's guarantee. */
  guaranteed: ReadonlySet<string>;
  slots: PlacementSlots;
  contended: ContendedTypes;
  finder: CapacityFinder;
  scaleOutPlan: ScaleOutPlan;
  reservations: Reservations;
  preemption: Preemption;
}

/** True for jobs that may wait and whose team has no guarantee. */
export const isOpportunistic = (job: JobView): boolean => job.opportunisticConcurrency !== null;

/** Creates the initial state of a cycle. */
export function createCycleContext(snapshot: Snapshot): CycleContext {
  const { jobs, machines, teams, types, offers } = snapshot;
  const upMachines = machines.filter((machine) => machine.isUp);
  const upcomingMachines = machines.filter((machine) => !machine.isUp);
  const dependents = jobs.filter((job) => !isOpportunistic(job));
  const contended = new ContendedTypes(dependents, types, upMachines);
  const guaranteed = withinGuarantee(jobs, teams);
  const slots: PlacementSlots = new PlacementSlots(snapshot.slots, (job) =>
    preemption.countPreemptible(job),
  );
  const preemption: Preemption = new Preemption(snapshot, upMachines, guaranteed, slots);
  const finder = new CapacityFinder(upMachines, contended);
  const scaleOutPlan = new ScaleOutPlan(offers, machines, upcomingMachines);
  return {
    snapshot,
    upMachines,
    upcomingMachines,
    guaranteed,
    slots,
    contended,
    finder,
    scaleOutPlan,
    reservations: new Reservations(
      finder,
      contended,
      scaleOutPlan,
      slots,
      upMachines,
      upcomingMachines,
    ),
    preemption,
  };
}
