import { test } from 'node:test';
import { simulateSeed } from './fakes/fault-search.js';

/**
 * A seeded search over orders of faults, in place of one fixed scenario for each: every simulation picks two
 * or three of them, their moments and their victims, and plays under the checker of all rules.
 */

/** Worlds that are played each time; more with SEARCH_SEEDS=FROM-TO. */
const [FROM, TO] = (process.env.SEARCH_SEEDS ?? '1-40').split('-').map(Number) as [number, number];

for (let seed = FROM; seed <= TO; seed++) {
  test(`two or three troubles meet at moments of their own (seed ${seed})`, () =>
    simulateSeed(seed));
}

for (let seed = FROM; seed <= TO; seed++) {
  test(`two or three troubles meet while shares are moved (seed ${seed})`, () =>
    simulateSeed(seed, { quotaTransfers: true }));
}

for (let seed = FROM; seed <= TO; seed++) {
  test(`two or three troubles meet while a version is rolled out (seed ${seed})`, () =>
    simulateSeed(seed, { rollout: true }));
}

/** Fewer of these: with five controllers each takes longer. */
const THREE_ZONES_TO = Math.min(TO, FROM + 11);

for (let seed = FROM; seed <= THREE_ZONES_TO; seed++) {
  test(`two or three troubles meet among five controllers in three zones (seed ${seed})`, () =>
    simulateSeed(seed, { threeZones: true }));
}
