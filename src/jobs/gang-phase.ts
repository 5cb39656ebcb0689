/**
 * Gang admission of one job, and the transitions of its phase:
 *
 *   queued -> admitted | placed      admission, with machines still to come or at hand
 *   admitted -> placed               all of its machines are there
 *   placed -> started                all of its tasks run
 *   placed, started -> queued        a member was lost and the rest is stopped
 *   any but suspended -> suspended   the gang is past its timeout
 *   suspended -> queued              its wait is over
 *
 * A new leader restores the stored phase, whichever it is.
 */

import type { GangRecord } from './records.js';

/** Gang admission of a job, as the leader tracks it. */
export interface GangState {
  phase: 'queued' | GangRecord['phase'];
  holdsGate: boolean;
  /**
   * Time (ms) that counts against the admission timeout, and when it was last counted (monotonic).
   */
  countedMs: number;
  countedAt: number;
  /** Monotonic time until which a suspended gang stays inadmissible. */
  suspendedUntil: number;
  suspensions: number;
}

/** The gang admission of a new job. */
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

/** The gang holds the gate until it is ready; its timeout counts from `now` (monotonic, ms). */
export function markGangAdmitted(gang: GangState, now: number): void {
  gang.phase = 'admitted';
  gang.holdsGate = true;
  gang.countedMs = 0;
  gang.countedAt = now;
}

/** All of its machines are there. An admitted gang has used up `bootMs` of its timeout at most. */
export function markGangPlaced(gang: GangState, now: number, bootMs: number): void {
  gang.countedMs = gang.phase === 'admitted' ? Math.min(gang.countedMs, bootMs) : 0;
  gang.countedAt = now;
  gang.phase = 'placed';
}

/** All of its tasks run. */
export function markGangStarted(gang: GangState): void {
  gang.phase = 'started';
  gang.holdsGate = false;
  gang.suspensions = 0;
}

/** It is past its timeout, and inadmissible until `until` (monotonic, ms). */
export function markGangSuspended(gang: GangState, until: number): void {
  gang.phase = 'suspended';
  gang.holdsGate = false;
  gang.suspendedUntil = until;
  gang.suspensions++;
}

/**
 * Back to the queue: after the loss of a member, after a suspension, or where a record is
 * superseded.
 */
export function requeueGang(gang: GangState): void {
  gang.phase = 'queued';
  gang.holdsGate = false;
}

/** Takes over a stored phase. `sinceWall`: monotonic time less time of day, in milliseconds. */
export function restoreGang(
  gang: GangState,
  record: GangRecord,
  now: number,
  sinceWall: number,
): void {
  gang.phase = record.phase;
  gang.suspensions = record.suspensions;
  gang.suspendedUntil = record.until + sinceWall;
  gang.holdsGate = record.phase === 'admitted';
  gang.countedAt = now;
}

/**
 * What the store keeps of it; null while it is queued. `wallOf`: time of day of a monotonic time.
 */
export function toGangRecord(
  gang: GangState,
  wallOf: (monotonic: number) => number,
): GangRecord | null {
  if (gang.phase === 'queued') return null;
  const { phase, suspensions, suspendedUntil } = gang;
  return { phase, suspensions, until: wallOf(suspendedUntil) };
}
