/** Priorities and deadlines of jobs with dependencies (directed acyclic graphs). */
import type { JobSpec, Priority } from '../jobs/job.js';
import { dueAt } from './job-order.js';

/** An open job as a step of its pipelines. Timestamps are wall-clock time in milliseconds. */
export interface PipelineStep {
  id: string;
  spec: JobSpec;
  submittedAt: number;
  /** When its last dependency finished; null while one is open. */
  readyAt: number | null;
  /**
   * Ids of the jobs that must finish before it starts; jobs that are no longer open are ignored.
   */
  dependencies: readonly string[];
  /** Expected time from its first start, or from now if it has started, until it is done. */
  remainingMs: number;
  /** Multiples of its deadline from the service-level objectives, in ascending order. */
  deadlineSteps: readonly number[];
}

/** Urgency of a step, including that of all steps that depend on it. */
export interface StepUrgency {
  /** The highest priority among the step and its direct and transitive dependents. */
  priority: Priority;
  /** Wall-clock time by which it should be done so that its dependents can be in time. */
  dueAt: number;
  /** True if its slack is low, so that it should not wait for capacity that backfill may free. */
  hasLowSlack: boolean;
  /** Milliseconds until it is expected to be ready; 0 if it is ready. */
  readyInMs: number;
}

/** A step in the dependency graph, with the values computed for it. */
interface Node {
  step: PipelineStep;
  dependencies: Node[];
  dependents: Node[];
  /** Number of `dependencies` that the topological sort has not visited yet. */
  unvisitedDependencies: number;
  /** Milliseconds until it is expected to be ready, and until it is expected to be done. */
  readyInMs: number;
  doneInMs: number;
  /** Expected duration of the longest path from its start through its dependents. */
  pathMs: number;
  /** The highest priority among the step and its dependents. */
  priority: Priority;
  /** Wall-clock due time; null if neither the step nor any dependent has a deadline. */
  dueAt: number | null;
}

/**
 * A step has low slack if its slack is below this share of its longest remaining path, because
 * estimates are often wrong by half. With more slack it can wait for capacity that other tasks
 * free.
 */
const LOW_SLACK_RATIO = 0.5;

/**
 * Propagates priorities and deadlines from jobs to their dependencies, because users set both only
 * on the last job of a pipeline. A step inherits the highest priority of its dependents, and its
 * due time is the deadline minus the expected duration of the longest path of steps after it
 * (critical path method). Runs in time linear in the number of steps and dependencies.
 *
 * @param now wall-clock time in milliseconds
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

/**
 * Orders each step after its dependencies (Kahn's algorithm). Steps in a dependency cycle, which
 * should never exist, come last.
 */
function topologicalOrder(nodes: Node[]): Node[] {
  const order = nodes.filter((node) => node.unvisitedDependencies === 0);
  // The loop also visits the nodes appended during iteration.
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

/**
 * Sets the due time from the step's own deadline, given the expected end including dependencies.
 */
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
    // Jobs without a deadline are ordered by age, which counts from the time they became ready.
    dueAt: node.dueAt ?? readyAt ?? submittedAt,
    hasLowSlack: hasLowSlack(node, now),
    readyInMs: node.readyInMs,
  };
}
