import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sharesCommand } from '@leverhatch/shares/command';
import { Loopback } from './fakes/loopback.js';

const MACHINES = 40;
const GPUS = MACHINES * 8;

const TEAMS = [
  { name: 'tuning', gpus: 80, gpusMax: GPUS },
  { name: 'search', gpus: 8, gpusMax: 16 },
  { name: 'booking', gpus: 8, gpusMax: 16 },
  { name: 'reports', gpus: 0, gpusMax: 16 },
];

interface StoredTransfer {
  from: string;
  to: string;
  passed: { gpus: number };
  phase: string;
}

/** Periodically compares what the workers run with the limits that follow from the records in the store. */
class QuotaUsageChecker {
  readonly violations = new Set<string>();
  private readonly timer = setInterval(() => this.checkUsage(), 50);
  private readonly teamOf = new Map<string, string>();

  constructor(private readonly fleet: Loopback) {}

  assignTeam(team: string, job: string): void {
    this.teamOf.set(job, team);
  }

  private checkUsage(): void {
    const used = new Map<string, number>();
    const workerByTask = new Map<string, string>();
    for (const worker of this.fleet.workers) {
      let tasksOnWorker = 0;
      for (const { job, task, phase } of worker.pieces) {
        if (phase === 'ended' || phase === 'fetching') continue;
        tasksOnWorker++;
        const team = this.teamOf.get(job) ?? 'nobody';
        used.set(team, (used.get(team) ?? 0) + 1);
        const otherWorker = workerByTask.get(`${job}/${task}`);
        if (otherWorker !== undefined)
          this.violations.add(`${job}/${task} on ${otherWorker} and ${worker.id}`);
        workerByTask.set(`${job}/${task}`, worker.id);
      }
      if (tasksOnWorker > 8) this.violations.add(`${worker.id} holds ${tasksOnWorker} GPUs`);
    }
    for (const [team, limit] of this.limits()) {
      const gpus = used.get(team) ?? 0;
      if (gpus > limit) this.violations.add(`${team} uses ${gpus} GPUs of ${limit}`);
    }
  }

  private limits(): Map<string, number> {
    const limits = new Map(TEAMS.map(({ name, gpusMax }) => [name, gpusMax]));
    for (const [key, { value }] of this.fleet.store.keys) {
      if (!key.startsWith('shares/moves/')) continue;
      const { from, to, passed } = value as StoredTransfer;
      limits.set(from, limits.get(from)! - passed.gpus);
      limits.set(to, limits.get(to)! + passed.gpus);
    }
    return limits;
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

test(`${MACHINES} machines and real processes: quota is transferred while the leader is killed`, async (t) => {
  const fleet = new Loopback(MACHINES, TEAMS);
  const checker = new QuotaUsageChecker(fleet);
  t.after(async () => {
    checker.stop();
    await fleet.close();
  });
  await fleet.start(3);
  const operator = (...args: string[]): ReturnType<Loopback['runOperatorCommand']> =>
    fleet.runOperatorCommand(sharesCommand, ...args);

  const tuning = await fleet.submit({ pieces: GPUS, crew: 'tuning', runMs: 600_000 });
  checker.assignTeam('tuning', tuning);
  await fleet.until(
    () => fleet.runningTaskCount(tuning) === GPUS,
    60,
    'the tuning job occupies every machine',
  );

  const plan = await operator('plan', '--from', 'tuning', '--to', 'search', '--gpus', '16');
  assert.equal(plan.code, 0, plan.output);
  assert.match(plan.output, /team tuning keeps 64 .* 304 .* uses 320/);

  const transferArgs = ['search', 'booking'].map((to) => [
    '--from',
    'tuning',
    '--to',
    to,
    '--gpus',
    '16',
  ]);
  for (const [i, transfer] of transferArgs.entries()) {
    const { code, output: said } = await operator('move', ...transfer, '--id', `move-${i}`);
    assert.equal(code, 0, said);
  }
  const transferBegan = (id: string): boolean => {
    const transfer = fleet.store.get(`shares/moves/${id}`) as StoredTransfer | undefined;
    return transfer !== undefined && transfer.phase !== 'requested';
  };
  await fleet.until(
    () => transferBegan('move-0') && transferBegan('move-1'),
    20,
    'both transfers begin',
  );
  // Both teams submit services in the same second, to different controllers.
  const submittedAt = Date.now();
  const replicas = { shape: 'service', pieces: 20, runMs: 0 } as const;
  const services = await Promise.all(
    ['search', 'booking'].map((crew, i) => fleet.submit({ ...replicas, crew }, i)),
  );
  checker.assignTeam('search', services[0]!);
  checker.assignTeam('booking', services[1]!);
  fleet.kill(fleet.leader!);

  const ready = (): boolean => services.every((job) => fleet.runningTaskCount(job) === 20);
  await fleet.until(ready, 60, 'the replicas of both teams are running');
  t.diagnostic(`replicas of both teams ran after ${Date.now() - submittedAt} ms`);
  assert.ok(fleet.runningTaskCount(tuning) >= GPUS - 40, 'no task that still fits was stopped');

  const shown = await operator('show', '--json');
  assert.equal(shown.code, 0, shown.output);
  const repeated = await operator('move', ...transferArgs[0]!, '--id', 'move-0');
  assert.equal(repeated.code, 0, repeated.output);
  const other = await operator('move', ...transferArgs[1]!, '--id', 'move-0');
  assert.deepEqual([other.code, other.output], [1, 'id: move-0 names another move']);
  const invalid = await operator('move', '--from', 'nobody', '--to', 'search', '--gpus', '1');
  assert.deepEqual([invalid.code, invalid.output], [2, 'from: unknown team nobody']);
  assert.deepEqual([...checker.violations], []);
});
