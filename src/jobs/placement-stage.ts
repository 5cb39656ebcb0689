/**
 * Stages of a placement, and the transitions between them:
 *
 *   recording -> recorded                          its start is in the store
 *   recorded, recovered, dispatched -> dispatched  its start command leaves, or leaves again
 *   any -> reported                                a heartbeat of its worker shows it
 *
 * A start of this term begins as `recording`, one that an earlier leader recorded as `recovered`. A
 * placement that is proven gone is removed, in whichever stage.
 */

/**
 * How far a start has come. `recording`: not yet in the store. `recorded`: may be sent.
 * `recovered`: recorded by an earlier leader, may or may not have been sent. `dispatched`: sent in
 * the answer to a heartbeat. `reported`: a heartbeat of its worker shows it.
 */
export type PlacementStage = 'recording' | 'recorded' | 'recovered' | 'dispatched' | 'reported';

/** What has a stage: a placement. */
interface Staged {
  stage: PlacementStage;
}

/** Whether the start is not in the store yet, and must not be sent. */
export function isUnrecorded({ stage }: Readonly<Staged>): boolean {
  return stage === 'recording';
}

/** The start is in the store; one that was there before keeps its stage. */
export function markRecorded(placement: Staged): void {
  if (isUnrecorded(placement)) placement.stage = 'recorded';
}

/** The start command is on its way to the worker. */
export function markDispatched(placement: Staged): void {
  placement.stage = 'dispatched';
}

/** A heartbeat of the worker shows the start. */
export function markReported(placement: Staged): void {
  placement.stage = 'reported';
}
