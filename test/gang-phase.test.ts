import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  markGangAdmitted,
  markGangPlaced,
  markGangStarted,
  markGangSuspended,
  newGangState,
  requeueGang,
  restoreGang,
  toGangRecord,
} from '../src/jobs/gang-phase.js';
import {
  isUnrecorded,
  markDispatched,
  markRecorded,
  markReported,
  type PlacementStage,
} from '../src/jobs/placement-stage.js';

test('a gang holds the gate from its admission until it has started', () => {
  const gang = newGangState();
  assert.equal(
    toGangRecord(gang, (at) => at),
    null,
  );
  markGangAdmitted(gang, 1000);
  assert.deepEqual([gang.phase, gang.holdsGate, gang.countedAt], ['admitted', true, 1000]);
  gang.countedMs = 90_000;
  markGangPlaced(gang, 91_000, 60_000);
  assert.deepEqual([gang.phase, gang.holdsGate, gang.countedMs], ['placed', true, 60_000]);
  gang.suspensions = 2;
  markGangStarted(gang);
  assert.deepEqual([gang.phase, gang.holdsGate, gang.suspensions], ['started', false, 0]);
});

test('a gang that is placed without having waited for machines has its whole timeout', () => {
  const gang = newGangState();
  gang.countedMs = 5000;
  markGangPlaced(gang, 7000, 60_000);
  assert.deepEqual([gang.phase, gang.countedMs, gang.countedAt], ['placed', 0, 7000]);
});

test('a suspension is stored with its end as wall-clock time, and restored from it', () => {
  const gang = newGangState();
  markGangAdmitted(gang, 0);
  markGangSuspended(gang, 5000);
  const record = toGangRecord(gang, (monotonic) => monotonic + 100_000);
  assert.deepEqual(record, { phase: 'suspended', suspensions: 1, until: 105_000 });
  const successor = newGangState();
  restoreGang(successor, { phase: 'suspended', suspensions: 1, until: 105_000 }, 300, -104_000);
  assert.deepEqual(successor, {
    phase: 'suspended',
    holdsGate: false,
    countedMs: 0,
    countedAt: 300,
    suspendedUntil: 1000,
    suspensions: 1,
  });
  requeueGang(successor);
  assert.deepEqual([successor.phase, successor.holdsGate], ['queued', false]);
});

test('only a start that is being recorded becomes recorded', () => {
  for (const [stage, next] of [
    ['recording', 'recorded'],
    ['recorded', 'recorded'],
    ['recovered', 'recovered'],
    ['dispatched', 'dispatched'],
    ['reported', 'reported'],
  ] satisfies [PlacementStage, PlacementStage][]) {
    const placement: { stage: PlacementStage } = { stage };
    assert.equal(isUnrecorded(placement), stage === 'recording');
    markRecorded(placement);
    assert.equal(placement.stage, next);
    markDispatched(placement);
    assert.equal(placement.stage, 'dispatched');
    markReported(placement);
    assert.equal(placement.stage, 'reported');
  }
});
