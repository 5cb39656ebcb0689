/** Rollouts that are over stay readable for a while, and as long as they keep a job from starting. */
import type { Change, Condition } from '@leverhatch/core/store';
import { ROLLOUT_KEYS } from './keys.js';
import {
  isOpen,
  isReadable,
  type ReadableRollout,
  type RolloutRepository,
} from './rollout-repository.js';
import type { ManifestRecord } from './status.js';

/** So many rollouts that are over are kept. */
export const MAX_HISTORY = 100;

/** Rollouts that are over, the oldest first. */
export function historyOf(repository: RolloutRepository): ReadableRollout[] {
  const over = repository.rollouts.filter((rollout) => !isOpen(rollout)).filter(isReadable);
  return over.sort((a, b) => a.status!.record.changedAt - b.status!.record.changedAt);
}

/** The job that lost a rollout which is over; null: none did. */
export function losingJob({ status }: ReadableRollout): string | null {
  if (status?.record.phase === 'done') return status.record.from;
  if (status?.record.phase === 'rolled-back') return status.record.to;
  return null;
}

/** How the oldest rollout beyond the history's bound is dropped; null if there is none. */
export function retire(
  repository: RolloutRepository,
  manifest: ManifestRecord,
  isJobOpen: (job: string) => boolean,
): { conditions: Condition[]; changes: Change[] } | null {
  const history = historyOf(repository);
  if (history.length <= MAX_HISTORY) return null;
  const oldest = history.find((rollout) => {
    const loser = losingJob(rollout);
    return loser === null || !isJobOpen(loser);
  });
  if (!oldest) return null;
  const { id, spec, status } = oldest;
  return {
    conditions: [
      { key: ROLLOUT_KEYS.spec(id), version: spec.version },
      { key: ROLLOUT_KEYS.status(id), version: status!.version },
      { key: ROLLOUT_KEYS.manifest, version: repository.manifestVersion },
    ],
    changes: [
      { delete: ROLLOUT_KEYS.spec(id) },
      { delete: ROLLOUT_KEYS.status(id) },
      { put: ROLLOUT_KEYS.manifest, value: manifest },
    ],
  };
}
