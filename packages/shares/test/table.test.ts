import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { RESOURCES, type Amounts } from '@leverhatch/shares/amounts';
import { isFinal, type MoveRecord } from '@leverhatch/shares/move';
import { newMove } from '@leverhatch/shares/request';
import { shareTable, whyRefused, type TeamShare } from '@leverhatch/shares/table';
import { nextTransitions, type StepContext } from '@leverhatch/shares/transitions';

const MINUTE = 60_000;

const gpus = (n: number): Amounts => ({ cpus: 0, gpus: n });

const share = (guarantee: number, limit: number): TeamShare => ({
  guarantee: gpus(guarantee),
  limit: { cpus: Infinity, gpus: limit },
});

const BASE = new Map([
  ['tuning', share(16, 64)],
  ['desk', share(8, 16)],
  ['search', share(0, 32)],
]);

function move(id: string, from: string, to: string, guarantee: number, limit: number): MoveRecord {
  const request = { id, from, to, guarantee: gpus(guarantee), limit: gpus(limit) };
  return newMove({ ...request, until: null, drainBy: null }, 'w', 1000);
}

const contextOf = (used: Record<string, number>, wall = 2000): StepContext => ({
  base: BASE,
  used: new Map(Object.entries(used).map(([team, n]) => [team, gpus(n)])),
  wall,
  clockErrorMs: 100,
  mayBegin: true,
});

/** Carries moves on until nothing more can be done; answers the records after each step. */
function carryOn(moves: MoveRecord[], context: StepContext): MoveRecord[] {
  let records = moves;
  for (let i = 0; i < 100; i++) {
    const requests = records.filter((m) => m.phase === 'requested');
    const steps = nextTransitions({ settled: [], moves: records }, requests, context, 10);
    if (steps.length === 0) return records;
    const after = new Map(steps.map((s) => [s.after.id, s.after]));
    records = records.map((m) => after.get(m.id) ?? m);
  }
  return assert.fail('it never comes to rest');
}

test('the donor loses its limit first, and the receiver gains as the work of the donor leaves', () => {
  const asked = [move('m', 'tuning', 'search', 0, 32)];
  const full = carryOn(asked, contextOf({ tuning: 64 }));
  const draining = shareTable(BASE, { settled: [], moves: full });
  assert.equal(full[0]!.phase, 'draining');
  assert.equal(draining.teams.get('tuning')!.limit.gpus, 32);
  assert.equal(draining.teams.get('tuning')!.ceiling.gpus, 64);
  assert.equal(draining.teams.get('search')!.limit.gpus, 32, 'nothing is passed on yet');

  const half = carryOn(full, contextOf({ tuning: 48 }));
  assert.deepEqual(half[0]!.passed, gpus(16));
  assert.equal(shareTable(BASE, { settled: [], moves: half }).teams.get('search')!.limit.gpus, 48);

  const done = carryOn(half, contextOf({ tuning: 32 }));
  assert.equal(done[0]!.phase, 'done');
  assert.equal(shareTable(BASE, { settled: [], moves: done }).teams.get('search')!.limit.gpus, 64);
});

test('a loan goes back by itself, never early, and only as the work of the borrower leaves', () => {
  const loan = { ...move('m', 'tuning', 'desk', 8, 8), until: MINUTE };
  const lent = carryOn([loan], contextOf({}));
  assert.equal(lent[0]!.phase, 'lent');
  assert.equal(carryOn(lent, contextOf({}, MINUTE + 99))[0]!.phase, 'lent');
  const back = carryOn(lent, contextOf({ desk: 24 }, MINUTE + 100));
  assert.equal(back[0]!.phase, 'returning');
  const table = shareTable(BASE, { settled: [], moves: back });
  assert.equal(table.teams.get('desk')!.limit.gpus, 16);
  assert.equal(table.teams.get('desk')!.guarantee.gpus, 8);
  assert.equal(table.teams.get('tuning')!.limit.gpus, 56, 'the donor waits for it');
  const over = carryOn(back, contextOf({ desk: 16 }, MINUTE + 100));
  assert.equal(over[0]!.phase, 'returned');
  const { limit, guarantee } = shareTable(BASE, { settled: [], moves: over }).teams.get('tuning')!;
  assert.deepEqual([guarantee.gpus, limit.gpus], [16, 64]);
});

test('what cannot be moved is refused with the field that says why', () => {
  const table = shareTable(BASE, { settled: [], moves: [] });
  assert.match(
    whyRefused(table, move('m', 'desk', 'search', 9, 9))!,
    /^guarantee\.gpus: team desk/,
  );
  assert.match(
    whyRefused(table, move('m', 'desk', 'search', 0, 9))!,
    /^limit\.gpus: team desk .*below/,
  );
  const cpus = { ...move('m', 'desk', 'search', 0, 0), limit: { cpus: 1, gpus: 0 } };
  assert.match(whyRefused(table, cpus)!, /^limit\.cpus: team desk has no limit/);
  assert.equal(whyRefused(table, move('m', 'desk', 'search', 8, 8)), null);
});

test('what was borrowed cannot be moved on, so a chain of loans cannot close', () => {
  const loan = { ...move('m1', 'tuning', 'search', 16, 32), until: MINUTE };
  const lent = carryOn([loan], contextOf({}));
  const onward = carryOn([...lent, move('m2', 'search', 'tuning', 16, 16)], contextOf({}));
  assert.equal(onward[1]!.phase, 'refused');
});

test('what changed settings have no room for is suspended on both sides and named', () => {
  const done = carryOn([move('m', 'tuning', 'desk', 16, 32)], contextOf({}));
  const shrunk = new Map([...BASE, ['tuning', share(8, 32)]]);
  const { teams, suspended } = shareTable(shrunk, { settled: [], moves: done });
  assert.deepEqual(suspended, [
    { what: 'm', reason: 'guarantee.gpus: team tuning has not so much' },
  ]);
  assert.deepEqual([teams.get('tuning')!.limit.gpus, teams.get('desk')!.limit.gpus], [32, 16]);
});

test('over thousands of random steps no share counts twice and no team is above its ceiling', () => {
  const names = [...BASE.keys()];
  for (let seed = 1; seed <= 200; seed++) {
    const generator = xoroshiro128plus(seed);
    const upTo = (n: number): number => uniformInt(generator, 0, n);
    const used: Record<string, number> = Object.fromEntries(names.map((n) => [n, 0]));
    let moves: MoveRecord[] = [];
    for (let step = 0; step < 60; step++) {
      const wall = 2000 + step * 1000;
      if (upTo(3) === 0) {
        const from = upTo(2);
        const to = (from + 1 + upTo(1)) % 3;
        const asked = move(`m${step}`, names[from]!, names[to]!, upTo(8), upTo(20));
        moves.push({ ...asked, until: upTo(1) ? wall + upTo(20_000) : null });
      }
      if (moves.length > 0 && upTo(4) === 0) {
        const at = upTo(moves.length - 1);
        if (!isFinal(moves[at]!.phase)) moves[at] = { ...moves[at]!, cancelRequested: true };
      }
      const context = contextOf(used, wall);
      const requests = moves.filter((m) => m.phase === 'requested');
      const steps = nextTransitions({ settled: [], moves }, requests, context, 1 + upTo(5));
      const after = new Map(steps.map((s) => [s.after.id, s.after]));
      moves = moves.map((m) => after.get(m.id) ?? m);
      const { teams, suspended } = shareTable(BASE, { settled: [], moves });
      assert.deepEqual(suspended, []);
      let ceilings = 0;
      let guarantees = 0;
      for (const [name, { limit, ceiling, guarantee }] of teams) {
        for (const r of RESOURCES) assert.ok(limit[r] >= -1e-6 && limit[r] <= ceiling[r] + 1e-6);
        assert.ok(used[name]! <= ceiling.gpus + 1e-6, `seed ${seed} step ${step}: ${name}`);
        ceilings += ceiling.gpus;
        guarantees += guarantee.gpus;
        // Work starts up to the limit, and ends whenever it likes.
        if (used[name]! < limit.gpus) used[name] = Math.min(limit.gpus, used[name]! + upTo(24));
        else used[name] = Math.max(0, used[name]! - upTo(6));
      }
      assert.ok(Math.abs(ceilings - 112) < 1e-6, 'ceilings add up to the limits of the settings');
      assert.ok(guarantees <= 24 + 1e-6);
    }
  }
});
