import { test } from 'node:test';
import { simulateSeed } from './fakes/fault-search.js';

/**
 * A seeded search over combinations of faults, instead of a fixed scenario for each: every simulation
 * picks two or three faults, their times and their victims, and runs under the rule checker.
 */

/** The range of seeds to simulate; SEARCH_SEEDS=FROM-TO sets another one. */
const [FIRST_SEED, LAST_SEED] = (process.env.SEARCH_SEEDS ?? '1-40').split('-').map(Number) as [
  number,
  number,
];

for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
  test(`two or three faults coincide (seed ${seed})`, () => simulateSeed(seed));
}

for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
  test(`two or three faults coincide with quota transfers (seed ${seed})`, () =>
    simulateSeed(seed, { quotaTransfers: true }));
}

for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
  test(`two or three faults coincide with a service rollout (seed ${seed})`, () =>
    simulateSeed(seed, { rollout: true }));
}

/** The last seed for five controllers: fewer are simulated, since each takes longer. */
const LAST_THREE_ZONES_SEED = Math.min(LAST_SEED, FIRST_SEED + 11);

for (let seed = FIRST_SEED; seed <= LAST_THREE_ZONES_SEED; seed++) {
  test(`two or three faults coincide with five controllers in three zones (seed ${seed})`, () =>
    simulateSeed(seed, { threeZones: true }));
}
