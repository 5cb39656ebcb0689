/**
 * Gang admission of one job, and the transitions of its phase:
 *
 *   queued -> admitted | placed      admitted; machines are still being provisioned | available
 *   admitted -> placed               all of its machines are available
 *   placed -> started                all of its tasks run
 *   placed, started -> queued        a member was lost and the remaining tasks are stopped
 *   admitted, placed -> suspended    the admission timeout has expired
 *   suspended -> queued              the suspension has expired
 *
 * A new leader restores whichever phase is stored.
 */

import type { GangRecord } from './records.js';

/** Gang admission of a job, as the leader tracks it. */
export interface GangState {
  phase: 'queued' | GangRecord['phase'];
  holdsGate: boolean;
  /** Time (ms) used up of the admission timeout, and the monotonic time it was last updated. */
  countedMs: number;
  countedAt: number;
  /** Monotonic time (ms) until which a suspended gang is not admitted. */
  suspendedUntil: number;
  suspensions: number;
}

/** Returns the admission state of a new gang. */
export function newGangState(): GangState {
  return {
    phase: 'queued',
    holdsGate: false,
    countedMs: 0,
    countedAt: 0,
    suspendedUntil: 0,
    suspensions: 0,
  };
}

/**
 * Admits the gang. It holds the admission gate until it has started, is suspended or returns to the
 * queue; its timeout runs from `now` (monotonic, ms).
 */
export function markGangAdmitted(gang: GangState, now: number): void {
  gang.phase = 'admitted';
  gang.holdsGate = true;
  gang.countedMs = 0;
  gang.countedAt = now;
}

/**
 * All machines of the gang are available. Of the time an admitted gang waited for them, at most
 * `bootMs` counts against its timeout.
 */
export function markGangPlaced(gang: GangState, now: number, bootMs: number): void {
  gang.countedMs = gang.phase === 'admitted' ? Math.min(gang.countedMs, bootMs) : 0;
  gang.countedAt = now;
  gang.phase = 'placed';
}

/** All tasks of the gang run. */
export function markGangStarted(gang: GangState): void {
  gang.phase = 'started';
  gang.holdsGate = false;
  gang.suspensions = 0;
}

/** The gang's timeout has expired; it is not admitted before `until` (monotonic, ms). */
export function markGangSuspended(gang: GangState, until: number): void {
  gang.phase = 'suspended';
  gang.holdsGate = false;
  gang.suspendedUntil = until;
  gang.suspensions++;
}

/**
 * Returns the gang to the queue: after the loss of a member, after a suspension, or when the record
 * it was restored from is superseded.
 */
export function requeueGang(gang: GangState): void {
  gang.phase = 'queued';
  gang.holdsGate = false;
}

/**
 * Restores a stored phase.
 *
 * @param wallToMonotonicMs offset to add to a wall-clock time to get a monotonic time
 */
export function restoreGang(
  gang: GangState,
  record: GangRecord,
  now: number,
  wallToMonotonicMs: number,
): void {
  gang.phase = record.phase;
  gang.suspensions = record.suspensions;
  gang.suspendedUntil = record.until + wallToMonotonicMs;
  gang.holdsGate = record.phase === 'admitted';
  gang.countedAt = now;
}

/**
 * Returns the stored form, or null while the gang is queued.
 *
 * @param toWallClock converts a monotonic time to wall-clock time
 */
export function toGangRecord(
  gang: GangState,
  toWallClock: (monotonic: number) => number,
): GangRecord | null {
  if (gang.phase === 'queued') return null;
  const { phase, suspensions, suspendedUntil } = gang;
  return { phase, suspensions, until: toWallClock(suspendedUntil) };
}
