/**
 * Stages of a placement, and the transitions between them:
 *
 *   recording -> recorded                          the start is in the store
 *   recorded, recovered, dispatched -> dispatched  the start command is sent, or sent again
 *   any -> reported                                a worker heartbeat includes it
 *
 * A start of this term begins as `recording`, one stored by an earlier leader as `recovered`. A
 * placement that is proven gone is removed, whatever its stage.
 */

/**
 * Stage of a placement. `recording`: not yet in the store. `recorded`: may be sent. `recovered`:
 * stored by an earlier leader, which may or may not have sent it. `dispatched`: sent in a heartbeat
 * response. `reported`: included in a heartbeat of its worker.
 */
export type PlacementStage = 'recording' | 'recorded' | 'recovered' | 'dispatched' | 'reported';

/** The part of a placement that this module reads and updates. */
interface HasStage {
  stage: PlacementStage;
}

/** Whether the start is not in the store yet and must not be sent. */
export function isUnrecorded({ stage }: Readonly<HasStage>): boolean {
  return stage === 'recording';
}

/** Marks the start as stored; if it already was, its stage stays as it is. */
export function markRecorded(placement: HasStage): void {
  if (isUnrecorded(placement)) placement.stage = 'recorded';
}

/** Marks the start command as sent to the worker. */
export function markDispatched(placement: HasStage): void {
  placement.stage = 'dispatched';
}

/** Marks the start as included in a heartbeat of its worker. */
export function markReported(placement: HasStage): void {
  placement.stage = 'reported';
}
