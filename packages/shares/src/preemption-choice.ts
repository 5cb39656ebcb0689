/**
 * Chooses the tasks to preempt so that a team comes under its limit: the least important work first, of that
 * the least lost work, and of equals tasks of one job, since a job ends no sooner than its last task.
 */
import {
  add,
  resourcesExceeding,
  isZero,
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

function toUnit(tasks: Tasks): Unit {
  return {
    tasks,
    resources: tasks.reduce((sum, task) => add(sum, task.resources), NOTHING),
    priority: tasks[0].priority,
    lostWorkMs: tasks.reduce((sum, task) => sum + task.lostWorkMs, 0),
  };
}

/** Gangs as a whole, other tasks one by one. */
function groupIntoUnits(candidates: readonly DrainCandidate[]): Unit[] {
  const gangs = new Map<string, Tasks>();
  const units: Unit[] = [];
  for (const candidate of candidates) {
    if (!candidate.isGangMember) units.push(toUnit([candidate]));
    else {
      const gang = gangs.get(candidate.job);
      if (gang) gang.push(candidate);
      else gangs.set(candidate.job, [candidate]);
    }
  }
  return [...units, ...[...gangs.values()].map(toUnit)];
}

const totalResources = (units: readonly Unit[]): Amounts =>
  units.reduce((sum, unit) => add(sum, unit.resources), NOTHING);

const totalLostWork = (units: readonly Unit[]): number =>
  units.reduce((sum, unit) => sum + unit.lostWorkMs, 0);

/** What is still missing once these units have stopped. */
const missingAfter = (required: Amounts, units: readonly Unit[]): Amounts =>
  maximum(NOTHING, subtract(required, totalResources(units)));

/** How much of what is missing a unit frees: the sum over resources of the fraction of each. */
function coverage(unit: Unit, missing: Amounts): number {
  let sum = 0;
  for (const resource of RESOURCES) {
    if (missing[resource] <= TOLERANCE) continue;
    sum += Math.min(unit.resources[resource], missing[resource]) / missing[resource];
  }
  return sum;
}

/** The unit that loses least for what it frees; of equals one of a job that already has stops. */
function cheapestPerCoverage(
  units: readonly Unit[],
  missing: Amounts,
  stoppedJobs: ReadonlySet<string>,
): Unit | null {
  let cheapest: { unit: Unit; price: number; isNewJob: boolean } | null = null;
  for (const unit of units) {
    const unitCoverage = coverage(unit, missing);
    if (unitCoverage <= 0) continue;
    const price = unit.lostWorkMs / unitCoverage;
    const isNewJob = !stoppedJobs.has(unit.tasks[0].job);
    const isBetter =
      cheapest === null ||
      price < cheapest.price ||
      (price === cheapest.price && cheapest.isNewJob && !isNewJob);
    if (isBetter) cheapest = { unit, price, isNewJob };
  }
  return cheapest?.unit ?? null;
}

/** The cheapest unit that frees all that is missing by itself. */
function cheapestCovering(units: readonly Unit[], missing: Amounts): Unit | null {
  let cheapest: Unit | null = null;
  for (const unit of units) {
    if (resourcesExceeding(missing, unit.resources).length > 0) continue;
    if (cheapest === null || unit.lostWorkMs < cheapest.lostWorkMs) cheapest = unit;
  }
  return cheapest;
}

/** For how many of the last units all ways to finish are compared; before them the order is enough. */
const COMPARISON_WINDOW = 64;

/** The units of one priority to stop: most of thousands by their order, the last by comparing all ways. */
function chooseUnits(required: Amounts, units: readonly Unit[]): Unit[] {
  const price = (unit: Unit): number => unit.lostWorkMs / coverage(unit, required);
  const ordered = units
    .filter((unit) => coverage(unit, required) > 0)
    .map((unit) => ({ unit, price: price(unit) }))
    .sort((a, b) => a.price - b.price)
    .map(({ unit }) => unit);
  const chosen: Unit[] = [];
  let missing = maximum(NOTHING, required);
  let windowResources = totalResources(ordered.slice(0, COMPARISON_WINDOW));
  for (const [i, unit] of ordered.entries()) {
    const enteringUnit = ordered[i + COMPARISON_WINDOW];
    if (enteringUnit === undefined || resourcesExceeding(missing, windowResources).length === 0)
      break;
    chosen.push(unit);
    missing = maximum(NOTHING, subtract(missing, unit.resources));
    windowResources = add(subtract(windowResources, unit.resources), enteringUnit.resources);
  }
  const candidates = ordered.slice(chosen.length, chosen.length + COMPARISON_WINDOW * 2);
  return [...chosen, ...chooseWithBestFinish(missing, candidates)];
}

/**
 * Chooses among few. Going by the loss per amount alone may end with a large unit that is hardly needed; so
 * each step also considers finishing with a single unit, and the cheapest way of all is taken.
 */
function chooseWithBestFinish(required: Amounts, units: readonly Unit[]): Unit[] {
  const remaining = new Set(units);
  const stoppedJobs = new Set<string>();
  const chosen: Unit[] = [];
  let cheapest: Unit[] | null = null;
  const considerSolution = (solution: Unit[]): void => {
    const reduced = withoutRedundant(required, solution);
    if (cheapest === null || totalLostWork(reduced) < totalLostWork(cheapest)) cheapest = reduced;
  };
  for (;;) {
    const missing = missingAfter(required, chosen);
    if (isZero(missing)) {
      considerSolution(chosen);
      break;
    }
    const last = cheapestCovering([...remaining], missing);
    if (last) considerSolution([...chosen, last]);
    const next = cheapestPerCoverage([...remaining], missing, stoppedJobs);
    if (next === null) break;
    remaining.delete(next);
    stoppedJobs.add(next.tasks[0].job);
    chosen.push(next);
  }
  return cheapest ?? chosen;
}

/** Drops the units, those with the most lost work first, without which the others still free enough. */
function withoutRedundant(required: Amounts, chosen: readonly Unit[]): Unit[] {
  let freed = totalResources(chosen);
  const kept = new Set(chosen);
  for (const unit of [...chosen].sort((a, b) => b.lostWorkMs - a.lostWorkMs)) {
    const without = subtract(freed, unit.resources);
    if (resourcesExceeding(required, without).length > 0) continue;
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
  required: Amounts,
  candidates: readonly DrainCandidate[],
): DrainCandidate[] {
  const units = groupIntoUnits(candidates);
  const priorities = [...new Set(units.map(({ priority }) => priority))].sort((a, b) => b - a);
  const chosen: Unit[] = [];
  for (const priority of priorities) {
    const missing = missingAfter(required, chosen);
    if (isZero(missing)) break;
    chosen.push(
      ...chooseUnits(
        missing,
        units.filter((unit) => unit.priority === priority),
      ),
    );
  }
  return chosen.flatMap((unit) => unit.tasks);
}
