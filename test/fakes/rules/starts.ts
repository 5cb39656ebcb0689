import { allowsMachine, isComplete, hasImage, spreadLimit } from './model.js';
import type { JobHistory, ObservedMachine } from './model.js';
import type { ObservedState } from './observed.js';

/** The rule `ran_twice`: a task that starts is on no other machine. */
export function checkDuplicate(
  observed: ObservedState,
  machines: ObservedMachine[],
  machine: ObservedMachine,
  job: string,
  task: number,
): void {
  for (const other of machines) {
    if (other.id === machine.id) continue;
    for (const found of other.tasks) {
      if (found.task !== task || found.job !== job || !hasImage(found)) continue;
      observed.report('ran_twice', `${job}/${task} on ${machine.id} and ${other.id}`);
    }
  }
}

/** The rule `wrong_place`: a task starts on an allowed machine and within its zone rules. */
export function checkPlacement(
  observed: ObservedState,
  machines: ObservedMachine[],
  machine: ObservedMachine,
  history: JobHistory,
  task: number,
): void {
  const { request } = history;
  if (!request) return;
  const reportWrongPlace = (reason: string): void =>
    observed.report('wrong_place', `${history.ref}/${task} on ${machine.id}: ${reason}`);
  if (!allowsMachine(request, machine)) {
    reportWrongPlace(
      `${machine.type}, zone ${machine.zone}, ${machine.spot ? 'spot' : 'ordinary'}`,
    );
  }
  const zones = observed.zonesOf(machines, history.ref, hasImage);
  if (request.samePlace && [...zones.keys()].some((z) => z !== machine.zone)) {
    reportWrongPlace(`zone ${machine.zone}, others in another`);
  }
  const here = zones.get(machine.zone) ?? new Set();
  here.add(task);
  if (request.apart && here.size > spreadLimit(request)) {
    reportWrongPlace(`${here.size} of ${request.pieces} in zone ${machine.zone}`);
  }
}

/** The rule `too_early`: a task starts only after all dependencies are done. */
export function checkDependencies(
  observed: ObservedState,
  machine: ObservedMachine,
  history: JobHistory,
  task: number,
): void {
  for (const other of observed.allDependenciesOf(history)) {
    if (isComplete(other)) continue;
    const name = `${history.ref}/${task}`;
    observed.report('too_early', `${name} on ${machine.id}: ${other.ref} is not done`);
  }
}
