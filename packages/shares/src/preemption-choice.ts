/**
 * Chooses the tasks to preempt so that a team comes under its limit: the least important work first, of that
 * the least lost work, and of equals tasks of one job, since a job ends no sooner than its last task.
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

/** One task that may be preempted. */
export interface DrainCandidate {
  /** The id of its job. */
  job: string;
  /** Its index in the job. */
  task: number;
  /** Larger is less important. */
  priority: number;
  /** The work since its last checkpoint, in machine milliseconds. */
  lostWorkMs: number;
  /** Whether all tasks of its job stop together. */
  isGangMember: boolean;
  resources: Amounts;
}

/** Tasks, one at least. */
type Tasks = [DrainCandidate, ...DrainCandidate[]];

/** Tasks that can only be stopped together: a gang, or a single task. */
interface Unit {
  tasks: Tasks;
  resources: Amounts;
  priority: number;
  lostWorkMs: number;
}

function unitOf(tasks: Tasks): Unit {
  return {
    tasks,
    resources: tasks.reduce((sum, task) => add(sum, task.resources), NOTHING),
    priority: tasks[0].priority,
    lostWorkMs: tasks.reduce((sum, task) => sum + task.lostWorkMs, 0),
  };
}

/** Gangs as a whole, other tasks one by one. */
function unitsOf(candidates: readonly DrainCandidate[]): Unit[] {
  const gangs = new Map<string, Tasks>();
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

/** What is still missing once these units have stopped. */
const missingAfter = (wanted: Amounts, units: readonly Unit[]): Amounts =>
  maximum(NOTHING, subtract(wanted, totalResources(units)));

/** How much of what is missing a unit frees: the sum over resources of the fraction of each. */
function usefulness(unit: Unit, missing: Amounts): number {
  let sum = 0;
  for (const resource of RESOURCES) {
    if (missing[resource] <= TOLERANCE) continue;
    sum += Math.min(unit.resources[resource], missing[resource]) / missing[resource];
  }
  return sum;
}

/** The unit that loses least for what it frees; of equals one of a job that already has stops. */
function cheapestPerUse(
  units: readonly Unit[],
  missing: Amounts,
  stopped: ReadonlySet<string>,
): Unit | null {
  let cheapest: { unit: Unit; price: number; isNew: boolean } | null = null;
  for (const unit of units) {
    const useful = usefulness(unit, missing);
    if (useful <= 0) continue;
    const price = unit.lostWorkMs / useful;
    const isNew = !stopped.has(unit.tasks[0].job);
    const better =
      cheapest === null ||
      price < cheapest.price ||
      (price === cheapest.price && cheapest.isNew && !isNew);
    if (better) cheapest = { unit, price, isNew };
  }
  return cheapest?.unit ?? null;
}

/** The cheapest unit that frees all that is missing by itself. */
function cheapestThatCovers(units: readonly Unit[], missing: Amounts): Unit | null {
  let cheapest: Unit | null = null;
  for (const unit of units) {
    if (exceeding(missing, unit.resources).length > 0) continue;
    if (cheapest === null || unit.lostWorkMs < cheapest.lostWorkMs) cheapest = unit;
  }
  return cheapest;
}

/** For how many of the last units all ways to finish are compared; before them the order is enough. */
const COMPARED_UNITS = 64;

/** The units of one priority to stop: most of thousands by their order, the last by comparing all ways. */
function chooseAmong(wanted: Amounts, units: readonly Unit[]): Unit[] {
  const price = (unit: Unit): number => unit.lostWorkMs / usefulness(unit, wanted);
  const ordered = units
    .filter((unit) => usefulness(unit, wanted) > 0)
    .map((unit) => ({ unit, price: price(unit) }))
    .sort((a, b) => a.price - b.price)
    .map(({ unit }) => unit);
  const chosen: Unit[] = [];
  let missing = maximum(NOTHING, wanted);
  let upcoming = totalResources(ordered.slice(0, COMPARED_UNITS));
  for (const [i, unit] of ordered.entries()) {
    const entering = ordered[i + COMPARED_UNITS];
    if (entering === undefined || exceeding(missing, upcoming).length === 0) break;
    chosen.push(unit);
    missing = maximum(NOTHING, subtract(missing, unit.resources));
    upcoming = add(subtract(upcoming, unit.resources), entering.resources);
  }
  const rest = ordered.slice(chosen.length, chosen.length + COMPARED_UNITS * 2);
  return [...chosen, ...chooseExhaustively(missing, rest)];
}

/**
 * Chooses among few. Going by the loss per amount alone may end with a large unit that is hardly needed; so
 * each step also considers finishing with a single unit, and the cheapest way of all is taken.
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
    const next = cheapestPerUse([...rest], missing, stopped);
    if (next === null) break;
    rest.delete(next);
    stopped.add(next.tasks[0].job);
    chosen.push(next);
  }
  return cheapest ?? chosen;
}

/** Drops the units, those with the most lost work first, without which the others still free enough. */
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
 * The tasks to preempt so that at least `wanted` is freed, or all of them if they hold less: the least
 * important first, and of one priority those with the least lost work.
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
