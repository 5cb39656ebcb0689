/**
 * What to stop so that a team comes under its share: the least important work, and of that the least
 * loss by whole jobs, since a job of which a part is stopped is done no sooner than its last task.
 */
import {
  add,
  exceeding,
  isNothing,
  larger,
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
  lossMs: number;
  /** All tasks of its job stop together. */
  wholeGang: boolean;
  need: Amounts;
}

/** Tasks that can only be stopped together. */
interface Unit {
  tasks: DrainCandidate[];
  need: Amounts;
  priority: number;
  lossMs: number;
}

function unitOf(tasks: DrainCandidate[]): Unit {
  return {
    tasks,
    need: tasks.reduce((sum, task) => add(sum, task.need), NOTHING),
    priority: tasks[0]!.priority,
    lossMs: tasks.reduce((sum, task) => sum + task.lossMs, 0),
  };
}

/** Gangs as a whole, other tasks one by one, by job; the least important and cheapest jobs first. */
function unitsInOrder(candidates: readonly DrainCandidate[]): Unit[] {
  const jobs = new Map<string, DrainCandidate[]>();
  for (const candidate of candidates) {
    jobs.set(candidate.job, [...(jobs.get(candidate.job) ?? []), candidate]);
  }
  const ordered = [...jobs.values()]
    .map(unitOf)
    .sort((a, b) => b.priority - a.priority || a.lossMs - b.lossMs);
  return ordered.flatMap((job) => {
    if (job.tasks[0]!.wholeGang) return [job];
    return [...job.tasks].sort((a, b) => a.lossMs - b.lossMs).map((task) => unitOf([task]));
  });
}

/**
 * The tasks to stop so that at least `wanted` is freed, as far as they have it. Nothing is stopped that
 * the rest would make up for: what turns out not to be needed is left running, the dearest first.
 */
export function chooseToStop(
  wanted: Amounts,
  candidates: readonly DrainCandidate[],
): DrainCandidate[] {
  let missing = larger(NOTHING, wanted);
  const chosen: Unit[] = [];
  for (const unit of unitsInOrder(candidates)) {
    if (isNothing(missing)) break;
    const helps = RESOURCES.some((r) => unit.need[r] > TOLERANCE && missing[r] > TOLERANCE);
    if (!helps) continue;
    chosen.push(unit);
    missing = larger(NOTHING, subtract(missing, unit.need));
  }
  return withoutNeedless(wanted, missing, chosen).flatMap((unit) => unit.tasks);
}

/** Leaves out, the most important and dearest first, what the others free enough without. */
function withoutNeedless(wanted: Amounts, missing: Amounts, chosen: Unit[]): Unit[] {
  const reachable = subtract(wanted, missing);
  let freed = chosen.reduce((sum, unit) => add(sum, unit.need), NOTHING);
  const dearestFirst = [...chosen].sort((a, b) => a.priority - b.priority || b.lossMs - a.lossMs);
  const kept = new Set(chosen);
  for (const unit of dearestFirst) {
    const without = subtract(freed, unit.need);
    if (exceeding(reachable, without).length > 0) continue;
    kept.delete(unit);
    freed = without;
  }
  return chosen.filter((unit) => kept.has(unit));
}
