import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PreemptionChoices, type PreemptionChoice } from '../src/scheduler/preemption-choices.js';
import { SeededRandom } from './fakes/random.js';
import { machine } from './fakes/samples.js';

const SEED = 46;
const STEPS = 2000;

/** Few different losses, so that many choices are equal. */
const LOSSES = 20;

// Guards against another order of preemption than a search of all choices for the smallest loss has.
test(`choices come by loss, equal ones in the order in which they were added (seed ${SEED})`, () => {
  const random = new SeededRandom(SEED);
  const newChoice = (id: number): PreemptionChoice => ({
    machine: machine(`m${id}`),
    candidates: [],
    loss: Math.floor(random.next() * LOSSES),
  });
  const remaining = Array.from({ length: 100 }, (_, id) => newChoice(id));
  const choices = new PreemptionChoices([...remaining]);
  for (let step = 0; step < STEPS && remaining.length > 0; step++) {
    const smallest = remaining.reduce((a, b) => (b.loss < a.loss ? b : a));
    assert.equal(choices.takeBest(), smallest);
    remaining.splice(remaining.indexOf(smallest), 1);
    if (random.next() < 0.9) {
      const added = newChoice(100 + step);
      remaining.push(added);
      choices.add(added);
    }
  }
});
