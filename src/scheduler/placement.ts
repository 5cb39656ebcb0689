/** Places tasks on machines of the snapshot: bin packing by cost, and all-or-nothing for gangs. */
import { fits, countFittingTasks, subtract, type Resources } from '../fleet/resources.js';
import type { ContendedTypes } from './contended-types.js';
import { takeCapacity } from './machine-view.js';
import { placementCost } from './placement-cost.js';
import { canUse, ZoneRules } from './placement-rules.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** Number of tasks of one job placed on a machine. */
export interface Placed {
  machine: MachineView;
  count: number;
}

/** Returns the total number of placed tasks. */
export const placedCount = (placed: Placed[]): number =>
  placed.reduce((sum, { count }) => sum + count, 0);

/** Returns the free capacity beyond the proportional share of CPUs and memory of each free GPU. */
function capacityBeyondGpuShare(machine: MachineView): Resources {
  const { capacity } = machine.type;
  const freeGpuRatio = capacity.gpus > 0 ? machine.free.gpus / capacity.gpus : 0;
  return {
    cpus: machine.free.cpus - capacity.cpus * freeGpuRatio,
    gpus: machine.free.gpus,
    memoryGb: machine.free.memoryGb - capacity.memoryGb * freeGpuRatio,
  };
}

/** A machine that fits a task of the job, and the cost of placing it there. */
interface Candidate {
  machine: MachineView;
  cost: number;
}

const byCost = (a: Candidate, b: Candidate): number => a.cost - b.cost;

/**
 * Places up to `count` tasks, subtracts them from the machines' free capacity, and returns the
 * placements. Where only some machines of a view take tasks, views of the others are inserted into
 * `machines`.
 *
 * @param keepGpuShare use only CPUs and memory beyond the proportional share of the free GPUs
 */
export function placeTasks(
  job: JobView,
  count: number,
  machines: MachineView[],
  rules: ZoneRules,
  contended: ContendedTypes,
  keepGpuShare = false,
): Placed[] {
  const { need, kind } = job.spec;
  const penalty = contended.penaltySeconds(job.spec);
  const candidates = machines
    .filter(
      (machine) =>
        fits(need, machine.free) && canUse(job, machine) && rules.remaining(machine.zone) > 0,
    )
    .map((machine) => ({ machine, cost: placementCost(job, machine, penalty(machine)) }))
    .sort(byCost);
  const placed = new Map<MachineView, number>();
  let remaining = count;
  const place = (machine: MachineView, maxTasksEach: number): void => {
    const maxTasks = Math.min(remaining, rules.remaining(machine.zone));
    const perMachine = Math.min(maxTasks, maxTasksEach, countFittingTasks(need, machine.free));
    if (perMachine <= 0) return;
    const tasks = Math.min(maxTasks, perMachine * machine.count);
    takeCapacity(machines, machine, need, tasks, perMachine);
    rules.add(machine.zone, tasks);
    placed.set(machine, (placed.get(machine) ?? 0) + tasks);
    remaining -= tasks;
  };
  // Spreads the replicas of a service over different machines where possible.
  if (kind === 'service') for (const { machine } of candidates) place(machine, 1);
  // Capacity beyond the share of the free GPUs has no penalty: it is of no use to the jobs that
  // depend on a contended type.
  if (need.gpus === 0) {
    const withoutContention = candidates
      .map(({ machine, cost }) => ({ machine, cost: cost - penalty(machine) }))
      .sort(byCost);
    for (const { machine } of withoutContention)
      place(machine, countFittingTasks(need, capacityBeyondGpuShare(machine)));
  }
  if (!keepGpuShare) for (const { machine } of candidates) place(machine, Infinity);
  return [...placed].map(([machine, tasks]) => ({ machine, count: tasks }));
}

/** Restores the capacity that a trial placement took. */
function undoPlacement(need: Resources, placed: Placed[]): void {
  for (const { machine, count } of placed) subtract(machine.free, need, -count);
}

/**
 * Places all tasks of a gang in the zone where its most expensive task costs least; returns null
 * and places none if they do not all fit. Takes machines with ids only.
 */
export function placeGang(
  job: JobView,
  machines: MachineView[],
  contended: ContendedTypes,
): Placed[] | null {
  const { need, tasks, oneZone } = job.spec;
  const zones = oneZone ? [...new Set(machines.map((machine) => machine.zone))] : [null];
  let best: { placed: Placed[]; cost: number } | null = null;
  for (const zone of zones) {
    const inZone = zone === null ? machines : machines.filter((machine) => machine.zone === zone);
    const rules = new ZoneRules(job.spec, job.tasksByZone);
    const placed = placeTasks(job, tasks, inZone, rules, contended);
    undoPlacement(need, placed);
    if (placedCount(placed) < tasks) continue;
    const cost = Math.max(...placed.map(({ machine }) => placementCost(job, machine, 0)));
    if (!best || cost < best.cost) best = { placed, cost };
  }
  if (!best) return null;
  for (const { machine, count } of best.placed) subtract(machine.free, need, count);
  return best.placed;
}
