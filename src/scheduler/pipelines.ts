/** Priorities and deadlines of jobs with dependencies (directed acyclic graphs). */
import type { JobSpec, Priority } from '../jobs/job.js';
import { dueAt } from './job-order.js';

/** An open job as a step of the pipelines that it belongs to; times of day in milliseconds. */
export interface PipelineStep {
  id: string;
  spec: JobSpec;
  submittedAt: number;
  /** When its last dependency was done; null while one is open. */
  readyAt: number | null;
  /** Ids of the jobs that have to be done before it starts; those no longer open are ignored. */
  dependencies: readonly string[];
  /** Expected time from its first start, or from now if it has begun, until it is done. */
  remainingMs: number;
  /** Multiples of its deadline that service-level objectives name, smallest first. */
  deadlineSteps: readonly number[];
}

/** How urgent one step is for the sake of all that depend on it. */
export interface StepUrgency {
  /** The highest priority of the step and of all that depend on it, directly or through others. */
  priority: Priority;
  /** By when it should be done so that what comes after it can be in time; time of day. */
  dueAt: number;
  /** Its slack is short: it should not wait for capacity that backfill may free. */
  isPressed: boolean;
  /** In how many milliseconds it is expected to be ready; 0 if it is. */
  readyInMs: number;
}

/** A step and its neighbours while the graph is walked. */
interface Node {
  step: PipelineStep;
  dependencies: Node[];
  dependents: Node[];
  /** How many of `before` are still to be walked. */
  unvisitedDependencies: number;
  /** In how many milliseconds it is expected to be ready, and done. */
  readyInMs: number;
  doneInMs: number;
  /** Expected time of the longest path from its start to the end of what depends on it. */
  pathMs: number;
  /** The highest priority of the step and of all that depend on it. */
  priority: Priority;
  /** Null: neither it nor anything that depends on it has a deadline. */
  dueAt: number | null;
}

/**
 * A step is pressed when its slack is less than this share of all that is still to be run: estimates
 * are often wrong by half. With more slack it can wait for capacity that others free.
 */
const LOW_SLACK_RATIO = 0.5;

/**
 * Passes priorities and deadlines up the chains of jobs. Users set both on the last job of a
 * pipeline only: a step takes the highest priority of all that depend on it, and has to be done as long
 * before the last deadline as the longest path of steps after it is expected to take (critical path
 * method). Takes time linear in the steps and their dependencies.
 *
 * @param now time of day, milliseconds
 */
export function pipelineUrgency(
  steps: readonly PipelineStep[],
  now: number,
): Map<string, StepUrgency> {
  const order = topologicalOrder(buildGraph(steps));
  for (const node of order) estimateTimes(node);
  for (const node of order) setOwnDeadline(node, now);
  for (const node of order.reverse()) inheritFromDependents(node);
  return new Map(order.map((node) => [node.step.id, toUrgency(node, now)]));
}

function buildGraph(steps: readonly PipelineStep[]): Node[] {
  const nodes = new Map<string, Node>();
  for (const step of steps) {
    nodes.set(step.id, {
      step,
      dependencies: [],
      dependents: [],
      unvisitedDependencies: 0,
      readyInMs: 0,
      doneInMs: 0,
      pathMs: step.remainingMs,
      priority: step.spec.priority,
      dueAt: null,
    });
  }
  for (const node of nodes.values()) {
    for (const id of node.step.dependencies) {
      const dependency = nodes.get(id);
      if (!dependency) continue;
      node.dependencies.push(dependency);
      dependency.dependents.push(node);
      node.unvisitedDependencies++;
    }
  }
  return [...nodes.values()];
}

/** Every step after its dependencies (Kahn's algorithm). Steps in a cycle, which cannot be, come last. */
function topologicalOrder(nodes: Node[]): Node[] {
  const order = nodes.filter((node) => node.unvisitedDependencies === 0);
  // The list grows while it is walked.
  for (const node of order) {
    for (const dependent of node.dependents) {
      dependent.unvisitedDependencies--;
      if (dependent.unvisitedDependencies === 0) order.push(dependent);
    }
  }
  if (order.length < nodes.length) {
    const visited = new Set(order);
    order.push(...nodes.filter((node) => !visited.has(node)));
  }
  return order;
}

function estimateTimes(node: Node): void {
  for (const dependency of node.dependencies)
    node.readyInMs = Math.max(node.readyInMs, dependency.doneInMs);
  node.doneInMs = node.readyInMs + node.step.remainingMs;
}

/** The multiple of its deadline that the whole of what remains before it can still meet. */
function setOwnDeadline(node: Node, now: number): void {
  const { spec, submittedAt, deadlineSteps } = node.step;
  if (spec.deadlineMs === null) return;
  node.dueAt = dueAt(spec.deadlineMs, submittedAt, deadlineSteps, now, node.doneInMs);
}

function inheritFromDependents(node: Node): void {
  for (const dependent of node.dependents) {
    node.priority = Math.min(node.priority, dependent.priority);
    node.pathMs = Math.max(node.pathMs, node.step.remainingMs + dependent.pathMs);
    if (dependent.dueAt === null) continue;
    const dueBefore = dependent.dueAt - dependent.step.remainingMs;
    node.dueAt = node.dueAt === null ? dueBefore : Math.min(node.dueAt, dueBefore);
  }
}

function hasLowSlack(node: Node, now: number): boolean {
  if (node.dueAt === null) return false;
  const slackMs = node.dueAt - now - node.step.remainingMs;
  return slackMs < node.pathMs * LOW_SLACK_RATIO;
}

function toUrgency(node: Node, now: number): StepUrgency {
  const { submittedAt, readyAt } = node.step;
  return {
    priority: node.priority,
    // Without a deadline the oldest goes first, and a job's age counts from when it could start.
    dueAt: node.dueAt ?? readyAt ?? submittedAt,
    isPressed: hasLowSlack(node, now),
    readyInMs: node.readyInMs,
  };
}
