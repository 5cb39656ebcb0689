/** The history: finished rollouts are kept for a while, and as long as they keep a job from starting. */
import type { Change, Condition } from '@leverhatch/core/store';
import { ROLLOUT_KEYS } from './keys.js';
import {
  isOpen,
  isReadable,
  type ReadableRollout,
  type Rollout,
  type RolloutRepository,
} from './rollout-repository.js';
import type { ManifestRecord } from './status.js';

/** How many finished rollouts are kept. */
export const MAX_HISTORY = 100;

/** A rollout that is over; it has a final status. */
export type FinishedRollout = ReadableRollout & { status: NonNullable<ReadableRollout['status']> };

const isFinished = (rollout: Rollout): rollout is FinishedRollout =>
  isReadable(rollout) && !isOpen(rollout);

/** Finished rollouts, the oldest first. */
export function historyOf(repository: RolloutRepository): FinishedRollout[] {
  const finished = repository.rollouts.filter(isFinished);
  return finished.sort((a, b) => a.status.record.changedAt - b.status.record.changedAt);
}

/** The job that a finished rollout leaves without replicas; null: it leaves none. */
export function losingJob({ status }: ReadableRollout): string | null {
  if (status?.record.phase === 'done') return status.record.from;
  if (status?.record.phase === 'rolled-back') return status.record.to;
  return null;
}

/**
 * The transaction that drops the oldest rollout beyond `MAX_HISTORY`; null if there is none.
 *
 * @param isJobOpen whether a job is open: its ceiling rests on the record as long as it is
 */
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
      { key: ROLLOUT_KEYS.status(id), version: status.version },
      { key: ROLLOUT_KEYS.manifest, version: repository.manifestVersion },
    ],
    changes: [
      { delete: ROLLOUT_KEYS.spec(id) },
      { delete: ROLLOUT_KEYS.status(id) },
      { put: ROLLOUT_KEYS.manifest, value: manifest },
    ],
  };
}
