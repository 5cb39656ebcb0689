/**
 * Chooses the tasks to preempt so that a team is within its limit: the lowest priority first, within a priority
 * the least lost work, and among equals tasks of the same job, since a job ends no sooner than its last task.
 */
import {
  add,
  resourcesExceeding,
  isNonPositive,
  maximum,
  ZERO_AMOUNTS,
  RESOURCES,
  subtract,
  TOLERANCE,
  type Amounts,
} from './amounts.js';

/** A task that may be preempted. */
export interface DrainCandidate {
  /** Id of the job. */
  job: string;
  /** Index of the task in the job. */
  task: number;
  /** Larger values are less important. */
  priority: number;
  /** Work since the last checkpoint, in machine milliseconds. */
  lostWorkMs: number;
  /** Whether all tasks of the job have to stop together. */
  isGangMember: boolean;
  resources: Amounts;
}

/** A non-empty list of tasks. */
type Tasks = [DrainCandidate, ...DrainCandidate[]];

/** Tasks that are stopped together: a gang, or a single task. */
interface Unit {
  tasks: Tasks;
  resources: Amounts;
  priority: number;
  lostWorkMs: number;
}

function toUnit(tasks: Tasks): Unit {
  return {
    tasks,
    resources: tasks.reduce((sum, task) => add(sum, task.resources), ZERO_AMOUNTS),
    priority: tasks[0].priority,
    lostWorkMs: tasks.reduce((sum, task) => sum + task.lostWorkMs, 0),
  };
}

/** Groups the tasks of each gang into one unit; every other task is a unit of its own. */
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
  units.reduce((sum, unit) => add(sum, unit.resources), ZERO_AMOUNTS);

const totalLostWork = (units: readonly Unit[]): number =>
  units.reduce((sum, unit) => sum + unit.lostWorkMs, 0);

/** What is still to be freed once these units have stopped. */
const missingAfter = (required: Amounts, units: readonly Unit[]): Amounts =>
  maximum(ZERO_AMOUNTS, subtract(required, totalResources(units)));

/** How much of the missing amounts a unit frees: the sum over resources of the fraction of each. */
function coverage(unit: Unit, missing: Amounts): number {
  let sum = 0;
  for (const resource of RESOURCES) {
    if (missing[resource] <= TOLERANCE) continue;
    sum += Math.min(unit.resources[resource], missing[resource]) / missing[resource];
  }
  return sum;
}

/** The unit with the least lost work per coverage; among equals one whose job already has stopped tasks. */
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

/** The unit with the least lost work among those that free all missing amounts by themselves. */
function cheapestCovering(units: readonly Unit[], missing: Amounts): Unit | null {
  let cheapest: Unit | null = null;
  for (const unit of units) {
    if (resourcesExceeding(missing, unit.resources).length > 0) continue;
    if (cheapest === null || unit.lostWorkMs < cheapest.lostWorkMs) cheapest = unit;
  }
  return cheapest;
}

/**
 * Units are taken in sort order until this many of the next ones free what is still missing. The rest is chosen
 * by comparing solutions among up to twice as many.
 */
const COMPARISON_WINDOW = 64;

/**
 * Chooses the units to stop among those of one priority. With thousands of units, most are taken in sort order
 * and only the last ones by comparing solutions.
 */
function chooseUnits(required: Amounts, units: readonly Unit[]): Unit[] {
  const price = (unit: Unit): number => unit.lostWorkMs / coverage(unit, required);
  const ordered = units
    .filter((unit) => coverage(unit, required) > 0)
    .map((unit) => ({ unit, price: price(unit) }))
    .sort((a, b) => a.price - b.price)
    .map(({ unit }) => unit);
  const chosen: Unit[] = [];
  let missing = maximum(ZERO_AMOUNTS, required);
  let windowResources = totalResources(ordered.slice(0, COMPARISON_WINDOW));
  for (const [i, unit] of ordered.entries()) {
    const enteringUnit = ordered[i + COMPARISON_WINDOW];
    if (enteringUnit === undefined || resourcesExceeding(missing, windowResources).length === 0)
      break;
    chosen.push(unit);
    missing = maximum(ZERO_AMOUNTS, subtract(missing, unit.resources));
    windowResources = add(subtract(windowResources, unit.resources), enteringUnit.resources);
  }
  const candidates = ordered.slice(chosen.length, chosen.length + COMPARISON_WINDOW * 2);
  return [...chosen, ...chooseWithBestFinish(missing, candidates)];
}

/**
 * Chooses among a small number of units. A greedy choice by lost work per coverage may end with a large unit
 * of which only a small part is needed. Each step therefore also considers finishing with a single unit, and the
 * solution with the least lost work is returned.
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
    if (isNonPositive(missing)) {
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

/** Removes units that are not needed because the others free enough, those with the most lost work first. */
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
 * Chooses the tasks to preempt so that at least `required` is freed, or all of them if they hold less: the
 * lowest priority first, and within a priority those with the least lost work.
 */
export function chooseTasksToPreempt(
  required: Amounts,
  candidates: readonly DrainCandidate[],
): DrainCandidate[] {
  const units = groupIntoUnits(candidates);
  const priorities = [...new Set(units.map(({ priority }) => priority))].sort((a, b) => b - a);
  let chosen: Unit[] = [];
  for (const priority of priorities) {
    const missing = missingAfter(required, chosen);
    if (isNonPositive(missing)) break;
    const candidatesOfPriority = units.filter((unit) => unit.priority === priority);
    chosen = [...chosen, ...chooseUnits(missing, candidatesOfPriority)];
  }
  return chosen.flatMap((unit) => unit.tasks);
}
