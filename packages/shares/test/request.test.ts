import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvalidRequestError } from '@leverhatch/operators/request';
import { parseRequest } from '@leverhatch/shares/request';
import type { TeamQuota } from '@leverhatch/shares/quota-table';

const NOW = 1_000_000;
const TEAM: TeamQuota = { guarantee: { cpus: 8, gpus: 8 }, limit: { cpus: 8, gpus: 8 } };
const BASE = new Map([
  ['a', TEAM],
  ['b', TEAM],
]);
const VALID_REQUEST = { id: 'move-1', from: 'a', to: 'b', limit: { gpus: 4 } };

function validate(change: object): string {
  try {
    parseRequest({ ...VALID_REQUEST, ...change }, BASE, NOW);
  } catch (error) {
    assert.ok(error instanceof InvalidRequestError);
    return `${error.status} ${error.message}`;
  }
  return 'taken';
}

test('each kind of invalid input is rejected with one line that names the field', () => {
  const cases: [object, RegExp][] = [
    [{ id: 'with space' }, /^400 id: /],
    [{ id: 'x'.repeat(65) }, /^400 id: /],
    [{ id: 7 }, /^400 id: /],
    [{ from: 'nobody' }, /^422 from: unknown team nobody/],
    [{ to: 'nobody' }, /^422 to: unknown team nobody/],
    [{ to: 'a' }, /^400 to: /],
    [{ limit: { gpus: -1 } }, /^400 limit\.gpus: must not be negative/],
    [{ limit: { gpus: 0.0001 } }, /^400 limit\.gpus: must have three decimals/],
    [{ limit: { disks: 1 } }, /^400 limit\.disks: /],
    [{ limit: {} }, /^400 guarantee: nothing is moved/],
    [{ until: NOW - 1 }, /^400 until: must not be in the past/],
    [{ until: NOW + 1, forSeconds: 5 }, /^400 forSeconds: /],
    [{ drainSeconds: 0 }, /^400 drainSeconds: must be positive/],
    [{ colour: 'red' }, /^400 colour: /],
  ];
  for (const [change, expected] of cases) {
    assert.match(validate(change), expected);
    assert.ok(!validate(change).includes('\n'));
  }
  assert.equal(validate({}), 'taken');
});
