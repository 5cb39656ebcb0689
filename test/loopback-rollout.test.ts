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

const ROLLOUT_SETTINGS = `<rollout>
  <probe>http://{address}/replicas/{job}/{task}/{attempt}</probe>
  <probeSeconds>0.6</probeSeconds>
  <probesPerSecond>100</probesPerSecond>
</rollout>`;

/** Options of each rollout. A controller may be unavailable for a lease time, in which proofs expire. */
const START_OPTIONS = ['--steps', '50,100', '--surge', '6', '--ready', '20', '--judge', '3'];

const SERVICE: JobTemplate = {
  ...{ pieces: REPLICAS, gpus: 2, runMs: 0, fetchMs: 500, crew: 'search' },
  ...{ shape: 'service', urgency: 'production' },
};

/**
 * Polls the model servers of one service: checks that enough replicas serve, apart from those lost with their
 * machines, and that no task runs in two places.
 */
class CapacityChecker {
  readonly violations = new Set<string>();
  private lostWithMachines = 0;
  private servingBefore = 0;
  private readonly timer = setInterval(() => this.check(), 25);

  constructor(
    private readonly fleet: Loopback,
    private readonly jobs: readonly string[],
  ) {}

  private get serving(): number {
    return this.jobs.reduce((sum, job) => sum + this.fleet.models.serving(job), 0);
  }

  /** Call before and after machines are killed; replicas that served on them are counted as lost. */
  beforeMachineLoss(): void {
    this.servingBefore = this.serving;
  }

  afterMachineLoss(): void {
    this.lostWithMachines += this.servingBefore - this.serving;
  }

  private check(): void {
    const { serving } = this;
    if (serving < REPLICAS - this.lostWithMachines)
      this.violations.add(`${serving} serve, ${this.lostWithMachines} are lost`);
    if (serving >= REPLICAS) this.lostWithMachines = 0;
    const where = new Set<string>();
    for (const { dead, pieces } of this.fleet.workers) {
      for (const { job, task, phase } of dead ? [] : pieces) {
        if (phase === 'ended' || phase === 'fetching') continue;
        if (where.has(`${job}/${task}`)) this.violations.add(`${job}/${task} runs in two places`);
        where.add(`${job}/${task}`);
      }
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

/** A service with its old and new version, and the rollout between them. */
interface ServiceRollout {
  id: string;
  from: string;
  to: string;
  checker: CapacityChecker;
}

async function deploy(t: TestContext, fleet: Loopback, id: string): Promise<ServiceRollout> {
  const from = await fleet.submit({ ...SERVICE, crate: 'v1' });
  const next = fleet.jobFactory.create({ ...SERVICE, crate: 'v2' });
  await fleet.until(() => fleet.models.serving(from) === REPLICAS, 40, 'all old replicas serve');
  const checker = new CapacityChecker(fleet, [from, next.ref]);
  t.after(() => checker.stop());
  return { id, from, to: next.ref, checker };
}

/** Kills the leader and two machines, which hold old replicas of the services. */
async function injectFailures(fleet: Loopback, services: readonly ServiceRollout[]): Promise<void> {
  const leader = fleet.leader!;
  fleet.kill(leader);
  for (const { checker } of services) checker.beforeMachineLoss();
  const holds = (job: string): FakeWorker[] =>
    fleet.workers.filter((worker) =>
      worker.pieces.some((piece) => piece.job === job && piece.phase === 'running'),
    );
  const victims = new Set(services.map(({ from }) => holds(from)[0]!));
  for (const worker of fleet.workers) if (victims.size < 2) victims.add(worker);
  for (const worker of victims) fleet.killMachine(worker);
  for (const { checker } of services) checker.afterMachineLoss();
  await fleet.until(() => (fleet.leader ?? leader) !== leader, 20, 'another controller leads');
  fleet.spawn(leader);
}

test(`${MACHINES} machines and real processes: a good version is rolled out and a slow one is rolled back`, async (t) => {
  const fleet = new Loopback(MACHINES, TEAMS, ROLLOUT_SETTINGS);
  t.after(() => fleet.close());
  await fleet.start(3);
  const operator = (...words: string[]): ReturnType<Loopback['runOperatorCommand']> =>
    fleet.runOperatorCommand(rolloutCommand, ...words);
  const [good, slow] = await Promise.all(['good', 'slow'].map((id) => deploy(t, fleet, id)));
  const services = [good!, slow!];
  fleet.models.models.set(slow!.to, {
    readyMs: 300,
    // Becomes slower than the old version only when more than a quarter of its replicas serve.
    latencyMs: (serving) => (serving > REPLICAS / 4 ? 250 : 100),
    errorRate: 0,
  });
  const jobs = ['--from', good!.from, '--to', good!.to];
  const plan = await operator('start', ...jobs, ...START_OPTIONS, '--dry-run');
  assert.equal(plan.code, 0, plan.output);
  assert.match(plan.output, /12 replicas; room needed beside them: 12 GPUs/);
  const requestedAt = Date.now();
  for (const { id, from, to } of services) {
    const started = await operator(
      'start',
      '--from',
      from,
      '--to',
      to,
      ...START_OPTIONS,
      '--id',
      id,
    );
    assert.equal(started.code, 0, started.output);
    await fleet.submitWished(fleet.jobFactory.created(to));
  }
  const phase = (id: string): string | undefined =>
    (fleet.store.get(`rollouts/status/${id}`) as { phase: string } | undefined)?.phase;
  const inTheMiddle = (): boolean =>
    services.every(({ id }) => ['judging', 'withdrawing'].includes(phase(id) ?? ''));
  await fleet.until(inTheMiddle, 40, 'both rollouts are in the middle of a step');
  await injectFailures(fleet, services);
  await fleet.until(() => phase('good') === 'done', 90, 'the good rollout is done');
  t.diagnostic(`done ${Date.now() - requestedAt} ms after the request`);
  await fleet.until(() => phase('slow') === 'rolled-back', 60, 'the slow rollout is rolled back');
  t.diagnostic(`rolled back ${Date.now() - requestedAt} ms after the request`);
  await fleet.until(
    () => fleet.models.serving(good!.to) === REPLICAS,
    20,
    'all new replicas of the good one serve',
  );
  await fleet.until(
    () => fleet.models.serving(slow!.from) === REPLICAS,
    20,
    'all old replicas of the slow one serve',
  );
  assert.deepEqual([fleet.runningTaskCount(good!.from), fleet.runningTaskCount(slow!.to)], [0, 0]);
  const status = await operator('status');
  assert.match(status.output, new RegExp(`job ${good!.from} stays open without replicas`));
  const again = await operator('rollback', 'good');
  assert.deepEqual([again.code, again.output], [1, 'id: rollout good is over (done)']);
  const history = await operator('history');
  assert.match(history.output, /worse under load/);
  for (const { checker } of services) assert.deepEqual([...checker.violations], []);
});
