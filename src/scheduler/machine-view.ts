/**
 * Views of machines. A view of machines without ids stands for all identical ones, so that memory and
 * time of a cycle do not grow with the number of machines that a job asks for.
 */
import { countFittingTasks, subtract, type Resources } from '../fleet/resources.js';
import type { InstanceOffer, MachineView } from './scheduling-model.js';

/** Returns the view of `count` empty machines that are not up. */
export function provisionedMachines(
  { type, zone, spot }: Omit<InstanceOffer, 'price'>,
  count: number,
  label: string,
  idleTimeoutMs: number,
): MachineView {
  return {
    id: label,
    count,
    type,
    zone,
    spot,
    free: { ...type.capacity },
    isUp: false,
    images: new Set(),
    incomingGb: 0,
    tasksByJob: new Map(),
    replicas: 0,
    idleTimeoutMs,
  };
}

/** Returns the number of machines that the views stand for. */
export const machineCount = (views: readonly MachineView[]): number =>
  views.reduce((sum, { count }) => sum + count, 0);

/** Returns how many tasks fit on all machines of a view. */
export const countFittingOn = (need: Resources, view: MachineView): number =>
  countFittingTasks(need, view.free) * view.count;

/**
 * Takes the capacity of `tasks` tasks from the machines of a view, `perMachine` on each until the last
 * ones. The view keeps the machines that hold most; views of the others are inserted behind it in
 * `views`.
 */
export function takeCapacity(
  views: MachineView[],
  view: MachineView,
  need: Resources,
  tasks: number,
  perMachine: number,
): void {
  const others: MachineView[] = [];
  const filled = Math.floor(tasks / perMachine);
  const rest = tasks - filled * perMachine;
  const used = filled + (rest > 0 ? 1 : 0);
  if (used < view.count) others.push(splitOff(view, view.count - used));
  if (rest > 0) {
    const last = filled > 0 ? splitOff(view, 1) : view;
    subtract(last.free, need, rest);
    if (last !== view) others.unshift(last);
  }
  if (filled > 0) subtract(view.free, need, perMachine);
  if (others.length > 0) views.splice(views.indexOf(view) + 1, 0, ...others);
}

/** Moves `count` machines of a view to a view of their own. */
function splitOff(view: MachineView, count: number): MachineView {
  view.count -= count;
  return { ...view, count, free: { ...view.free } };
}
