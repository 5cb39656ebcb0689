/**
 * What to stop so that a team comes under its share: the least important work, and of that the least
 * loss; of equals the tasks of one job, since a job is done no sooner than its last task.
 */
import {
  add,
  exceeding,
  isNothing,
  maximum,
  NOTHING,
  RESOURCES,
  subtract,
  TOLERANCE,
  type Amounts,
} from './amounts.js';

/** One task that may be stopped. */
export interface DrainCandidate {
  job: string;
  task: number;
  /** The larger, the less important. */
  priority: number;
  /** Work that would have to be done again, in machine milliseconds. */
  lostWorkMs: number;
  /** All tasks of its job stop together. */
  isGangMember: boolean;
  resources: Amounts;
}

/** Tasks that can only be stopped together. */
interface Unit {
  tasks: DrainCandidate[];
  resources: Amounts;
  priority: number;
  lostWorkMs: number;
}

function unitOf(tasks: DrainCandidate[]): Unit {
  return {
    tasks,
    resources: tasks.reduce((sum, task) => add(sum, task.resources), NOTHING),
    priority: tasks[0]!.priority,
    lostWorkMs: tasks.reduce((sum, task) => sum + task.lostWorkMs, 0),
  };
}

/** Gangs as a whole, other tasks one by one. */
function unitsOf(candidates: readonly DrainCandidate[]): Unit[] {
  const gangs = new Map<string, DrainCandidate[]>();
  const units: Unit[] = [];
  for (const candidate of candidates) {
    if (!candidate.isGangMember) units.push(unitOf([candidate]));
    else {
      const gang = gangs.get(candidate.job);
      if (gang) gang.push(candidate);
      else gangs.set(candidate.job, [candidate]);
    }
  }
  return [...units, ...[...gangs.values()].map(unitOf)];
}

const totalResources = (units: readonly Unit[]): Amounts =>
  units.reduce((sum, unit) => add(sum, unit.resources), NOTHING);

const totalLostWork = (units: readonly Unit[]): number =>
  units.reduce((sum, unit) => sum + unit.lostWorkMs, 0);

/** What is still missing once these have stopped. */
const missingAfter = (wanted: Amounts, units: readonly Unit[]): Amounts =>
  maximum(NOTHING, subtract(wanted, totalResources(units)));

/** How much of what is missing a unit frees, each resource as a share of what is missing of it. */
function usefulness(unit: Unit, missing: Amounts): number {
  let sum = 0;
  for (const resource of RESOURCES) {
    if (missing[resource] <= TOLERANCE) continue;
    sum += Math.min(unit.resources[resource], missing[resource]) / missing[resource];
  }
  return sum;
}

/** The unit that loses least for what it frees; of equals one of a job that is stopped already. */
function best(units: readonly Unit[], missing: Amounts, stopped: ReadonlySet<string>): Unit | null {
  let found: { unit: Unit; price: number; isNew: boolean } | null = null;
  for (const unit of units) {
    const useful = usefulness(unit, missing);
    if (useful <= 0) continue;
    const price = unit.lostWorkMs / useful;
    const isNew = !stopped.has(unit.tasks[0]!.job);
    const better =
      found === null || price < found.price || (price === found.price && found.isNew && !isNew);
    if (better) found = { unit, price, isNew };
  }
  return found?.unit ?? null;
}

/** The cheapest unit that frees all that is missing by itself. */
function cheapestThatCovers(units: readonly Unit[], missing: Amounts): Unit | null {
  let found: Unit | null = null;
  for (const unit of units) {
    if (exceeding(missing, unit.resources).length > 0) continue;
    if (found === null || unit.lostWorkMs < found.lostWorkMs) found = unit;
  }
  return found;
}

/** For so many of the last units all ways to finish are compared; before them the order is enough. */
const COMPARED_UNITS = 64;

/** The units of one priority to stop: of thousands most by their order, the last with care. */
function chooseAmong(wanted: Amounts, units: readonly Unit[]): Unit[] {
  const price = (unit: Unit): number => unit.lostWorkMs / usefulness(unit, wanted);
  const ordered = units
    .filter((unit) => usefulness(unit, wanted) > 0)
    .map((unit) => ({ unit, price: price(unit) }))
    .sort((a, b) => a.price - b.price)
    .map(({ unit }) => unit);
  const chosen: Unit[] = [];
  let missing = maximum(NOTHING, wanted);
  let ahead = totalResources(ordered.slice(0, COMPARED_UNITS));
  for (let i = 0; i + COMPARED_UNITS < ordered.length; i++) {
    if (exceeding(missing, ahead).length === 0) break;
    const unit = ordered[i]!;
    chosen.push(unit);
    missing = maximum(NOTHING, subtract(missing, unit.resources));
    ahead = add(subtract(ahead, unit.resources), ordered[i + COMPARED_UNITS]!.resources);
  }
  const rest = ordered.slice(chosen.length, chosen.length + COMPARED_UNITS * 2);
  return [...chosen, ...chooseExhaustively(missing, rest)];
}

/**
 * Chooses among few. Going by the loss for each amount alone may end with a large unit
 * that is hardly needed; so after each step it is looked at what finishing with one unit would cost, and
 * the cheapest way of all is taken.
 */
function chooseExhaustively(wanted: Amounts, units: readonly Unit[]): Unit[] {
  const rest = new Set(units);
  const stopped = new Set<string>();
  const chosen: Unit[] = [];
  let cheapest: Unit[] | null = null;
  const consider = (way: Unit[]): void => {
    const needed = withoutUnneeded(wanted, way);
    if (cheapest === null || totalLostWork(needed) < totalLostWork(cheapest)) cheapest = needed;
  };
  for (;;) {
    const missing = missingAfter(wanted, chosen);
    if (isNothing(missing)) {
      consider(chosen);
      break;
    }
    const last = cheapestThatCovers([...rest], missing);
    if (last) consider([...chosen, last]);
    const next = best([...rest], missing, stopped);
    if (next === null) break;
    rest.delete(next);
    stopped.add(next.tasks[0]!.job);
    chosen.push(next);
  }
  return cheapest ?? chosen;
}

/** Leaves out, the dearest first, what the others free enough without. */
function withoutUnneeded(wanted: Amounts, chosen: readonly Unit[]): Unit[] {
  let freed = totalResources(chosen);
  const kept = new Set(chosen);
  for (const unit of [...chosen].sort((a, b) => b.lostWorkMs - a.lostWorkMs)) {
    const without = subtract(freed, unit.resources);
    if (exceeding(wanted, without).length > 0) continue;
    kept.delete(unit);
    freed = without;
  }
  return [...kept];
}

/**
 * The tasks to stop so that at least `wanted` is freed, as far as they have it: the least important
 * first, and of one priority those with the least loss.
 */
export function chooseTasksToPreempt(
  wanted: Amounts,
  candidates: readonly DrainCandidate[],
): DrainCandidate[] {
  const units = unitsOf(candidates);
  const priorities = [...new Set(units.map(({ priority }) => priority))].sort((a, b) => b - a);
  const chosen: Unit[] = [];
  for (const priority of priorities) {
    const missing = missingAfter(wanted, chosen);
    if (isNothing(missing)) break;
    chosen.push(
      ...chooseAmong(
        missing,
        units.filter((unit) => unit.priority === priority),
      ),
    );
  }
  return chosen.flatMap((unit) => unit.tasks);
}
