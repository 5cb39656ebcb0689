/** Finished rollouts. They are kept for reference, and as long as their record keeps a job at zero replicas. */
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

/** Number of finished rollouts above which the oldest is deleted. */
export const MAX_HISTORY = 100;

/** A rollout with a final status. */
export type FinishedRollout = ReadableRollout & { status: NonNullable<ReadableRollout['status']> };

const isFinished = (rollout: Rollout): rollout is FinishedRollout =>
  isReadable(rollout) && !isOpen(rollout);

/** Finished rollouts, oldest first. */
export function historyOf(repository: RolloutRepository): FinishedRollout[] {
  const finished = repository.rollouts.filter(isFinished);
  return finished.sort((a, b) => a.status.record.changedAt - b.status.record.changedAt);
}

/** The job that a finished rollout keeps at zero replicas; null if there is none. */
export function retiredJob({ status }: ReadableRollout): string | null {
  if (status?.record.phase === 'done') return status.record.from;
  if (status?.record.phase === 'rolled-back') return status.record.to;
  return null;
}

/**
 * The transaction that deletes the oldest finished rollout beyond `MAX_HISTORY`; null if there is none.
 *
 * @param isJobOpen whether a job is open; the ceiling of an open retired job depends on the rollout's record,
 *   so that record is kept
 */
export function historyPruning(
  repository: RolloutRepository,
  manifest: ManifestRecord,
  isJobOpen: (job: string) => boolean,
): { conditions: Condition[]; changes: Change[] } | null {
  const history = historyOf(repository);
  if (history.length <= MAX_HISTORY) return null;
  const oldest = history.find((rollout) => {
    const retired = retiredJob(rollout);
    return retired === null || !isJobOpen(retired);
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
