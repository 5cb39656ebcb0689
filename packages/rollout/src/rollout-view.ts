/** Builds the representations of rollouts and plans in API answers. */
import { retiredJob } from './history.js';
import type { LeaderRollouts } from './leader-rollouts.js';
import { newSpec, type RolloutRequest } from './request.js';
import { isOpen, type ReadableRollout } from './rollout-repository.js';
import { stepTarget } from './spec.js';
import type { StatusRecord } from './status.js';

/** The part of the leader's rollouts that API answers use. */
export type LeadingRollouts = Pick<LeaderRollouts, 'waitsFor' | 'counts'>;

/**
 * The representation of one rollout in API answers.
 *
 * @param leading the leader's live view, if this controller leads and the rollout is open; null otherwise
 */
export function rolloutView(rollout: ReadableRollout, leading: LeadingRollouts | null): object {
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
    ...statusView(rollout.status?.record ?? null),
    seen: leading?.counts(rollout) ?? null,
    waitsFor: leading?.waitsFor(rollout) ?? retiredJobText(rollout),
  };
}

function statusView(status: StatusRecord | null): object {
  if (status === null) return { phase: 'requested' };
  const { phase, resumes, replicas, step, ceilings, reason, evidence, changedAt } = status;
  return { phase, resumes, replicas, step, ceilings, reason, evidence, changedAt };
}

/** Names the job that its user should cancel after a finished rollout; null if there is none. */
function retiredJobText(rollout: ReadableRollout): string | null {
  const retired = isOpen(rollout) ? null : retiredJob(rollout);
  return retired && `job ${retired} stays open without replicas until its user cancels it`;
}

/** The batches of a rollout: replicas that each adds, and replicas of both versions after it. */
export function batchesOf(request: RolloutRequest, replicas: number): object[] {
  const spec = newSpec(request, '', 0);
  const batches: object[] = [];
  let newReplicas = 0;
  for (let step = 0; step < request.steps.length; step++) {
    const target = stepTarget(spec, step, replicas);
    while (newReplicas < target) {
      const next = Math.min(target, newReplicas + request.maxSurge);
      batches.push({ step, surge: next - newReplicas, to: next, from: replicas - next });
      newReplicas = next;
    }
  }
  return batches;
}
