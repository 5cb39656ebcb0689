import { allowsMachine, isComplete, onMachine, spreadLimit } from './model.js';
import type { JobHistory, MachineSeen } from './model.js';
import type { Observed } from './observed.js';

/** The rule `ran_twice`. */
export function judgeTwice(
  seen: Observed,
  machines: MachineSeen[],
  machine: MachineSeen,
  name: string,
): void {
  for (const other of machines) {
    if (other.id === machine.id) continue;
    const twin = other.tasks.some((task) => onMachine(task) && `${task.job}/${task.task}` === name);
    if (twin) seen.report('ran_twice', `${name} on ${machine.id} and ${other.id}`);
  }
}

/** The rule `wrong_place`. */
export function judgePlace(
  seen: Observed,
  machines: MachineSeen[],
  machine: MachineSeen,
  history: JobHistory,
  task: number,
): void {
  const { request } = history;
  if (!request) return;
  const wrong = (exitReason: string): void =>
    seen.report('wrong_place', `${history.ref}/${task} on ${machine.id}: ${exitReason}`);
  if (!allowsMachine(request, machine)) {
    wrong(`${machine.type}, zone ${machine.zone}, ${machine.spot ? 'spot' : 'ordinary'}`);
  }
  const zones = seen.zonesOf(machines, history.ref, onMachine);
  if (request.samePlace && [...zones.keys()].some((z) => z !== machine.zone)) {
    wrong(`zone ${machine.zone}, others in another`);
  }
  const here = zones.get(machine.zone) ?? new Set();
  here.add(task);
  if (request.apart && here.size > spreadLimit(request)) {
    wrong(`${here.size} of ${request.pieces} in zone ${machine.zone}`);
  }
}

/** The rule `too_early`. */
export function judgeOrder(
  seen: Observed,
  machine: MachineSeen,
  history: JobHistory,
  task: number,
): void {
  for (const other of seen.ancestors(history)) {
    if (isComplete(other)) continue;
    const name = `${history.ref}/${task}`;
    seen.report('too_early', `${name} on ${machine.id}: ${other.ref} is not done`);
  }
}
