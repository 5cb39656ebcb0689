import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { RESOURCES, type Amounts } from '@leverhatch/shares/amounts';
import { isFinal, type TransferRecord } from '@leverhatch/shares/transfer-record';
import { newTransfer } from '@leverhatch/shares/request';
import { quotaTable, refusalReason, type TeamQuota } from '@leverhatch/shares/quota-table';
import { nextTransitions, type StepContext } from '@leverhatch/shares/transitions';

const MINUTE = 60_000;

const gpus = (count: number): Amounts => ({ cpus: 0, gpus: count });

const quota = (guarantee: number, limit: number): TeamQuota => ({
  guarantee: gpus(guarantee),
  limit: { cpus: Infinity, gpus: limit },
});

const BASE = new Map([
  ['tuning', quota(16, 64)],
  ['desk', quota(8, 16)],
  ['search', quota(0, 32)],
]);

function newTestTransfer(
  id: string,
  from: string,
  to: string,
  guarantee: number,
  limit: number,
): TransferRecord {
  const request = { id, from, to, guarantee: gpus(guarantee), limit: gpus(limit) };
  return newTransfer({ ...request, until: null, drainBy: null }, 'w', 1000);
}

const contextOf = (used: Record<string, number>, wall = 2000): StepContext => ({
  base: BASE,
  used: new Map(Object.entries(used).map(([team, count]) => [team, gpus(count)])),
  wall,
  clockErrorMs: 100,
  mayBegin: true,
});

/** Advances transfers until no step is possible and returns the resulting records. */
function advanceUntilStable(transfers: TransferRecord[], context: StepContext): TransferRecord[] {
  let records = transfers;
  for (let i = 0; i < 100; i++) {
    const requests = records.filter((record) => record.phase === 'requested');
    const steps = nextTransitions(
      { archivedTotals: [], transfers: records },
      requests,
      context,
      10,
    );
    if (steps.length === 0) return records;
    const after = new Map(steps.map((step) => [step.after.id, step.after]));
    records = records.map((record) => after.get(record.id) ?? record);
  }
  return assert.fail('the transfers never become stable');
}

test('the donor loses its limit first, and the receiver gains it as tasks of the donor end', () => {
  const requested = [newTestTransfer('m', 'tuning', 'search', 0, 32)];
  const drainingRecords = advanceUntilStable(requested, contextOf({ tuning: 64 }));
  const draining = quotaTable(BASE, { archivedTotals: [], transfers: drainingRecords });
  assert.equal(drainingRecords[0]!.phase, 'draining');
  assert.equal(draining.teams.get('tuning')!.limit.gpus, 32);
  assert.equal(draining.teams.get('tuning')!.ceiling.gpus, 64);
  assert.equal(draining.teams.get('search')!.limit.gpus, 32, 'nothing has been passed on yet');

  const halfPassed = advanceUntilStable(drainingRecords, contextOf({ tuning: 48 }));
  assert.deepEqual(halfPassed[0]!.passed, gpus(16));
  assert.equal(
    quotaTable(BASE, { archivedTotals: [], transfers: halfPassed }).teams.get('search')!.limit.gpus,
    48,
  );

  const done = advanceUntilStable(halfPassed, contextOf({ tuning: 32 }));
  assert.equal(done[0]!.phase, 'done');
  assert.equal(
    quotaTable(BASE, { archivedTotals: [], transfers: done }).teams.get('search')!.limit.gpus,
    64,
  );
});

test('a loan is returned automatically, never early, and only as tasks of the borrower end', () => {
  const loan = { ...newTestTransfer('m', 'tuning', 'desk', 8, 8), until: MINUTE };
  const lent = advanceUntilStable([loan], contextOf({}));
  assert.equal(lent[0]!.phase, 'lent');
  assert.equal(advanceUntilStable(lent, contextOf({}, MINUTE + 99))[0]!.phase, 'lent');
  const returning = advanceUntilStable(lent, contextOf({ desk: 24 }, MINUTE + 100));
  assert.equal(returning[0]!.phase, 'returning');
  const table = quotaTable(BASE, { archivedTotals: [], transfers: returning });
  assert.equal(table.teams.get('desk')!.limit.gpus, 16);
  assert.equal(table.teams.get('desk')!.guarantee.gpus, 8);
  assert.equal(
    table.teams.get('tuning')!.limit.gpus,
    56,
    'the donor waits for tasks of the borrower to end',
  );
  const returned = advanceUntilStable(returning, contextOf({ desk: 16 }, MINUTE + 100));
  assert.equal(returned[0]!.phase, 'returned');
  const { limit, guarantee } = quotaTable(BASE, {
    archivedTotals: [],
    transfers: returned,
  }).teams.get('tuning')!;
  assert.deepEqual([guarantee.gpus, limit.gpus], [16, 64]);
});

test('a transfer that is not possible is refused with the field and the reason', () => {
  const table = quotaTable(BASE, { archivedTotals: [], transfers: [] });
  assert.match(
    refusalReason(table, newTestTransfer('m', 'desk', 'search', 9, 9))!,
    /^guarantee\.gpus: team desk/,
  );
  assert.match(
    refusalReason(table, newTestTransfer('m', 'desk', 'search', 0, 9))!,
    /^limit\.gpus: team desk .*below/,
  );
  const cpus = { ...newTestTransfer('m', 'desk', 'search', 0, 0), limit: { cpus: 1, gpus: 0 } };
  assert.match(refusalReason(table, cpus)!, /^limit\.cpus: team desk has no limit/);
  assert.equal(refusalReason(table, newTestTransfer('m', 'desk', 'search', 8, 8)), null);
});

test('borrowed quota cannot be transferred again, so loans cannot form a cycle', () => {
  const loan = { ...newTestTransfer('m1', 'tuning', 'search', 16, 32), until: MINUTE };
  const lent = advanceUntilStable([loan], contextOf({}));
  const afterSecond = advanceUntilStable(
    [...lent, newTestTransfer('m2', 'search', 'tuning', 16, 16)],
    contextOf({}),
  );
  assert.equal(afterSecond[1]!.phase, 'refused');
});

test('a transfer that no longer fits changed settings is suspended for both teams and reported', () => {
  const done = advanceUntilStable([newTestTransfer('m', 'tuning', 'desk', 16, 32)], contextOf({}));
  const shrunk = new Map([...BASE, ['tuning', quota(8, 32)]]);
  const { teams, suspended } = quotaTable(shrunk, { archivedTotals: [], transfers: done });
  assert.deepEqual(suspended, [
    { what: 'm', reason: 'guarantee.gpus: team tuning has not so much' },
  ]);
  assert.deepEqual([teams.get('tuning')!.limit.gpus, teams.get('desk')!.limit.gpus], [32, 16]);
});

test('over thousands of random steps no quota counts twice and no team exceeds its ceiling', () => {
  const names = [...BASE.keys()];
  for (let seed = 1; seed <= 200; seed++) {
    const generator = xoroshiro128plus(seed);
    const randomUpTo = (count: number): number => uniformInt(generator, 0, count);
    const used: Record<string, number> = Object.fromEntries(names.map((name) => [name, 0]));
    let transfers: TransferRecord[] = [];
    for (let step = 0; step < 60; step++) {
      const wall = 2000 + step * 1000;
      if (randomUpTo(3) === 0) {
        const from = randomUpTo(2);
        const to = (from + 1 + randomUpTo(1)) % 3;
        const requested = newTestTransfer(
          `m${step}`,
          names[from]!,
          names[to]!,
          randomUpTo(8),
          randomUpTo(20),
        );
        transfers.push({ ...requested, until: randomUpTo(1) ? wall + randomUpTo(20_000) : null });
      }
      if (transfers.length > 0 && randomUpTo(4) === 0) {
        const at = randomUpTo(transfers.length - 1);
        if (!isFinal(transfers[at]!.phase))
          transfers[at] = { ...transfers[at]!, cancelRequested: true };
      }
      const context = contextOf(used, wall);
      const requests = transfers.filter((transfer) => transfer.phase === 'requested');
      const steps = nextTransitions(
        { archivedTotals: [], transfers },
        requests,
        context,
        1 + randomUpTo(5),
      );
      const after = new Map(steps.map((step) => [step.after.id, step.after]));
      transfers = transfers.map((transfer) => after.get(transfer.id) ?? transfer);
      const { teams, suspended } = quotaTable(BASE, { archivedTotals: [], transfers });
      assert.deepEqual(suspended, []);
      let ceilings = 0;
      let guarantees = 0;
      for (const [name, { limit, ceiling, guarantee }] of teams) {
        for (const r of RESOURCES) assert.ok(limit[r] >= -1e-6 && limit[r] <= ceiling[r] + 1e-6);
        assert.ok(used[name]! <= ceiling.gpus + 1e-6, `seed ${seed} step ${step}: ${name}`);
        ceilings += ceiling.gpus;
        guarantees += guarantee.gpus;
        // Tasks start up to the limit and end at arbitrary times.
        if (used[name]! < limit.gpus)
          used[name] = Math.min(limit.gpus, used[name]! + randomUpTo(24));
        else used[name] = Math.max(0, used[name]! - randomUpTo(6));
      }
      assert.ok(Math.abs(ceilings - 112) < 1e-6, 'the ceilings add up to the configured limits');
      assert.ok(guarantees <= 24 + 1e-6);
    }
  }
});
