import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { rolloutCommand } from '@leverhatch/rollout/command';
import type { JobTemplate } from './fakes/job-factory.js';
import { Loopback } from './fakes/loopback.js';
import type { FakeWorker } from './fakes/worker.js';

const MACHINES = 30;
const REPLICAS = 12;
const GPUS = MACHINES * 8;
const TEAMS = [{ name: 'search', gpus: GPUS, gpusMax: GPUS }];

const SWITCHES = `<rollout>
  <probe>http://{address}/replicas/{job}/{task}/{attempt}</probe>
  <probeSeconds>0.6</probeSeconds>
  <probesPerSecond>100</probesPerSecond>
</rollout>`;

/** A controller may be away for the time of its lease, and a proof is older by then. */
const START = ['--steps', '50,100', '--surge', '6', '--ready', '20', '--judge', '3'];

const SERVICE: JobTemplate = {
  ...{ pieces: REPLICAS, gpus: 2, runMs: 0, fetchMs: 500, crew: 'search' },
  ...{ shape: 'service', urgency: 'production' },
};

/** Looks at the model servers of one service again and again: how many serve, and what machines took. */
class LevelChecker {
  readonly broken = new Set<string>();
  private lost = 0;
  private servingBefore = 0;
  private readonly timer = setInterval(() => this.look(), 25);

  constructor(
    private readonly fleet: Loopback,
    private readonly jobs: readonly string[],
  ) {}

  private get serving(): number {
    return this.jobs.reduce((sum, job) => sum + this.fleet.models.serving(job), 0);
  }

  /** To be called before and after machines die: what served there is lost to them. */
  beforeDeath(): void {
    this.servingBefore = this.serving;
  }

  afterDeath(): void {
    this.lost += this.servingBefore - this.serving;
  }

  private look(): void {
    const { serving } = this;
    if (serving < REPLICAS - this.lost) this.broken.add(`${serving} serve, ${this.lost} are lost`);
    if (serving >= REPLICAS) this.lost = 0;
    const where = new Set<string>();
    for (const { dead, pieces } of this.fleet.workers) {
      for (const { job, task, phase } of dead ? [] : pieces) {
        if (phase === 'ended' || phase === 'fetching') continue;
        if (where.has(`${job}/${task}`)) this.broken.add(`${job}/${task} is in two places`);
        where.add(`${job}/${task}`);
      }
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

/** One service with its old and its new version, and the rollout between them. */
interface Rolled {
  id: string;
  from: string;
  to: string;
  checker: LevelChecker;
}

async function deploy(t: TestContext, fleet: Loopback, id: string): Promise<Rolled> {
  const from = await fleet.submit({ ...SERVICE, crate: 'v1' });
  const next = fleet.wishes.create({ ...SERVICE, crate: 'v2' });
  await fleet.until(() => fleet.models.serving(from) === REPLICAS, 40, 'the old version serves');
  const checker = new LevelChecker(fleet, [from, next.ref]);
  t.after(() => checker.stop());
  return { id, from, to: next.ref, checker };
}

/** The leader is killed, and two machines that hold old replicas of every service die. */
async function trouble(fleet: Loopback, services: readonly Rolled[]): Promise<void> {
  const leader = fleet.leader!;
  fleet.kill(leader);
  for (const { checker } of services) checker.beforeDeath();
  const holds = (job: string): FakeWorker[] =>
    fleet.workers.filter((worker) =>
      worker.pieces.some((piece) => piece.job === job && piece.phase === 'running'),
    );
  const victims = new Set(services.map(({ from }) => holds(from)[0]!));
  for (const worker of fleet.workers) if (victims.size < 2) victims.add(worker);
  for (const worker of victims) fleet.die(worker);
  for (const { checker } of services) checker.afterDeath();
  await fleet.until(() => (fleet.leader ?? leader) !== leader, 20, 'another leads');
  fleet.spawn(leader);
}

test(`${MACHINES} machines and real processes: a good version takes over and a slow one goes back`, async (t) => {
  const fleet = new Loopback(MACHINES, TEAMS, SWITCHES);
  t.after(() => fleet.close());
  await fleet.start(3);
  const operator = (...words: string[]): ReturnType<Loopback['operate']> =>
    fleet.operate(rolloutCommand, ...words);
  const [good, slow] = await Promise.all(['good', 'slow'].map((id) => deploy(t, fleet, id)));
  const services = [good!, slow!];
  fleet.models.models.set(slow!.to, {
    readyMs: 300,
    // It is as good as the old one until a part of the load is its own.
    latencyMs: (serving) => (serving > REPLICAS / 4 ? 250 : 100),
    errorRate: 0,
  });
  const jobs = ['--from', good!.from, '--to', good!.to];
  const plan = await operator('start', ...jobs, ...START, '--dry-run');
  assert.equal(plan.code, 0, plan.said);
  assert.match(plan.said, /12 replicas; room needed beside them: 12 GPUs/);
  const askedAt = Date.now();
  for (const { id, from, to } of services) {
    const started = await operator('start', '--from', from, '--to', to, ...START, '--id', id);
    assert.equal(started.code, 0, started.said);
    await fleet.submitWished(fleet.wishes.created(to));
  }
  const phase = (id: string): string | undefined =>
    (fleet.store.get(`rollouts/status/${id}`) as { phase: string } | undefined)?.phase;
  const inTheMiddle = (): boolean =>
    services.every(({ id }) => ['judging', 'withdrawing'].includes(phase(id) ?? ''));
  await fleet.until(inTheMiddle, 40, 'new replicas of both are judged');
  await trouble(fleet, services);
  await fleet.until(() => phase('good') === 'done', 90, 'the good one is done');
  t.diagnostic(`done ${Date.now() - askedAt} ms after it was asked for`);
  await fleet.until(() => phase('slow') === 'rolled-back', 60, 'the slow one is back');
  t.diagnostic(`back ${Date.now() - askedAt} ms after it was asked for`);
  await fleet.until(() => fleet.models.serving(good!.to) === REPLICAS, 20, 'the new one is whole');
  await fleet.until(
    () => fleet.models.serving(slow!.from) === REPLICAS,
    20,
    'the old one is whole',
  );
  assert.deepEqual([fleet.on(good!.from), fleet.on(slow!.to)], [0, 0]);
  const status = await operator('status');
  assert.match(status.said, new RegExp(`job ${good!.from} stays open without replicas`));
  const again = await operator('rollback', 'good');
  assert.deepEqual([again.code, again.said], [1, 'id: rollout good is over (done)']);
  const history = await operator('history');
  assert.match(history.said, /worse under load/);
  for (const { checker } of services) assert.deepEqual([...checker.broken], []);
});
