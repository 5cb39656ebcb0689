/** Rollouts as operators are shown them, and what a request would do. */
import { losingJob } from './history.js';
import type { LeaderRollouts } from './leader-rollouts.js';
import { newSpec, type RolloutRequest } from './request.js';
import { isOpen, type ReadableRollout } from './rollout-repository.js';
import { stepTarget } from './spec.js';
import type { StatusRecord } from './status.js';

/** What a controller knows of rollouts while it leads. */
export type LeadingRollouts = Pick<LeaderRollouts, 'waitsFor' | 'counts'>;

/**
 * One rollout in answers.
 *
 * @param leading the view of this controller while it leads and the rollout is open; null otherwise
 */
export function shownRollout(rollout: ReadableRollout, leading: LeadingRollouts | null): object {
  const { id, from, to, steps, maxSurge, paused, rollback, requestedAt } = rollout.spec.record;
  return {
    id,
    from,
    to,
    steps,
    maxSurge,
    paused,
    rollback,
    requestedAt,
    ...shownStatus(rollout.status?.record ?? null),
    seen: leading?.counts(rollout) ?? null,
    waitsFor: leading?.waitsFor(rollout) ?? heldText(rollout),
  };
}

function shownStatus(status: StatusRecord | null): object {
  if (status === null) return { phase: 'requested' };
  const { phase, resumes, replicas, step, ceilings, reason, evidence, changedAt } = status;
  return { phase, resumes, replicas, step, ceilings, reason, evidence, changedAt };
}

/** Which job the user may cancel after a finished rollout; null: none. */
function heldText(rollout: ReadableRollout): string | null {
  const loser = isOpen(rollout) ? null : losingJob(rollout);
  return loser && `job ${loser} stays open without replicas until its user cancels it`;
}

/** Replicas that each batch of a rollout adds, and those of both versions after it. */
export function batchesOf(request: RolloutRequest, replicas: number): object[] {
  const spec = newSpec(request, '', 0);
  const batches: object[] = [];
  let reached = 0;
  for (let step = 0; step < request.steps.length; step++) {
    const target = stepTarget(spec, step, replicas);
    while (reached < target) {
      const next = Math.min(target, reached + request.maxSurge);
      batches.push({ step, surge: next - reached, to: next, from: replicas - next });
      reached = next;
    }
  }
  return batches;
}
