/**
 * Checks that controllers of two builds, this tree and another checkout, work together: as separate
 * processes over TCP with the same settings, store and workers. Prints a line for each check with
 * what was compared, and fails if a check does not hold.
 *
 * Usage: npm run mixed -- OLD_CHECKOUT     another checkout, built as its deploy file says
 */
import { execFile } from 'node:child_process';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { systemClock } from '@leverhatch/core/clock';
import type { JobTemplate } from '../fakes/job-factory.js';
import { Loopback, programPath, type ControllerProcess } from '../fakes/loopback.js';

const MACHINES = 8;
const TEAMS = [
  { name: 'vision', gpus: 48, gpusMax: 48 },
  { name: 'speech', gpus: 16, gpusMax: 16 },
];

const OPERATOR_SETTINGS = `<shares><enabled>yes</enabled></shares><rollout>
  <probe>http://{address}/replicas/{job}/{task}/{attempt}</probe>
  <probeSeconds>0.6</probeSeconds>
  <probesPerSecond>100</probesPerSecond>
</rollout>`;

/** Longer than all steps before the change of leader. */
const LONG_RUN_MS = 90_000;

/** Longer than the leases of workers (10 s) and of the leader (3 s): only votes extend them. */
const OUTAGE_MS = 14_000;

/** Longer than a worker's lease: tasks that a new leader does not know have ended by then. */
const SETTLE_MS = 15_000;

/** The dependencies of one job, too many for the job's own record. */
const FORMER_JOBS = Array.from({ length: 220 }, (_, i) => `req-${900_000 + i}`);

const REPLICAS = 4;
const SERVICE: JobTemplate = {
  ...{ shape: 'service', pieces: REPLICAS, runMs: 0, fetchMs: 500, urgency: 'production' },
};

/** The timeout of each step. */
const WITHIN_SECONDS = 60;

const runFile = promisify(execFile);

/** Which builds a scenario runs, each given as a checkout. */
interface Scenario {
  name: string;
  /** The builds of the first leader and of the other controllers. */
  leader: string;
  follower: string;
  /** The build with which all controllers are restarted; without it the followers take over. */
  restartedWith?: string;
}

/** The jobs of a scenario, one of each kind. */
type JobName =
  | 'short'
  | 'array'
  | 'gang'
  | 'service'
  | 'dependent'
  | 'waiting'
  | 'chunked'
  | 'cancelled'
  | 'version1'
  | 'version2';

interface UserAnswer {
  ref: string;
  phase: string;
  done: number;
  running: number;
}

/** Polls the workers: records the attempts of each task, and tasks on two machines at once. */
class StartChecker {
  readonly broken = new Set<string>();
  /** The attempts of each task that were seen on machines. */
  readonly attempts = new Map<string, Set<number>>();
  private readonly timer = setInterval(() => this.look(), 25);

  constructor(private readonly fleet: Loopback) {}

  private look(): void {
    const places = new Map<string, string>();
    for (const worker of this.fleet.workers) {
      for (const { job, task, attempt, phase } of worker.pieces) {
        if (phase === 'ended' || phase === 'fetching') continue;
        const name = `${job}/${task}`;
        const other = places.get(name);
        if (other !== undefined) this.broken.add(`${name} on ${other} and ${worker.id}`);
        places.set(name, worker.id);
        const attempts = this.attempts.get(name) ?? new Set();
        this.attempts.set(name, attempts.add(attempt));
      }
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

/** Runs one scenario and collects the lines to print. */
class MixedBuilds {
  readonly lines: string[] = [];
  failed = 0;
  private readonly warnings: string[] = [];
  private readonly fleet = new Loopback(MACHINES, TEAMS, OPERATOR_SETTINGS, {
    onLogLine: (controller, line) => this.warnings.push(`${controller.name} ${line}`),
  });
  private readonly starts = new StartChecker(this.fleet);
  private readonly jobs = new Map<JobName, string>();

  constructor(private readonly scenario: Scenario) {}

  async play(): Promise<void> {
    try {
      await this.start();
      await this.submitAll();
      await this.followersAnswer();
      await this.cancelAtFollower();
      await this.outage();
      await this.operate();
      await this.changeLeader();
      await this.everythingEnds();
    } catch (error) {
      this.check(false, 'scenario is played to its end', String(error));
      for (const line of this.warnings.slice(-10)) this.lines.push(`  log: ${line}`);
    } finally {
      this.starts.stop();
      await this.fleet.close();
    }
  }

  private check(holds: boolean, what: string, compared: string): void {
    if (!holds) this.failed++;
    this.lines.push(`${holds ? 'ok    ' : 'FAILED'} ${this.scenario.name}: ${what} (${compared})`);
  }

  private job(name: JobName): string {
    return this.jobs.get(name) ?? '';
  }

  private async start(): Promise<void> {
    const { leader, follower } = this.scenario;
    await this.fleet.start(3, [programPath(leader), null, null]);
    const [first, ...others] = this.fleet.controllers;
    await this.until(() => this.fleet.leader === first, 'the first controller leads');
    for (const other of others) {
      other.program = programPath(follower);
      this.fleet.spawn(other);
    }
    for (const ref of FORMER_JOBS) {
      this.fleet.store.write(`jobs/${ref}`, { w: 'w', phase: 'done', tasks: 1 });
    }
    await this.until(
      () => this.fleet.controllers.every(({ name }) => this.fleet.store.get(`members/${name}`)),
      'all controllers have written their member records',
    );
  }

  private until(holds: () => boolean, what: string): Promise<void> {
    return this.fleet.until(holds, WITHIN_SECONDS, what);
  }

  private async submit(name: JobName, template: JobTemplate): Promise<string> {
    const ref = await this.fleet.submit(template);
    this.jobs.set(name, ref);
    return ref;
  }

  private async submitAll(): Promise<void> {
    const short = await this.submit('short', { runMs: 2000 });
    const array = await this.submit('array', { pieces: 12, runMs: LONG_RUN_MS });
    const gang = await this.submit('gang', {
      ...{ shape: 'gang', pieces: 4, gpus: 2, runMs: LONG_RUN_MS },
    });
    await this.submit('service', { shape: 'service', pieces: 3, gpus: 2, runMs: 0 });
    await this.submit('dependent', { waitsOn: [short], runMs: 2000 });
    await this.submit('waiting', { waitsOn: [array, gang], runMs: 2000 });
    await this.submit('chunked', { waitsOn: [...FORMER_JOBS, array], runMs: 2000 });
    await this.submit('cancelled', { shape: 'service', pieces: 2, runMs: 0 });
    await this.submit('version1', { ...SERVICE, crate: 'v1' });
    const { fleet } = this;
    await this.until(
      () =>
        fleet.runningTaskCount(array) === 12 &&
        fleet.runningTaskCount(gang) === 4 &&
        fleet.runningTaskCount(this.job('service')) === 3 &&
        fleet.runningTaskCount(this.job('cancelled')) === 2 &&
        fleet.models.serving(this.job('version1')) === REPLICAS,
      'all jobs run',
    );
    const phase = (name: JobName): string | undefined => this.storedPhase(name);
    await this.until(() => phase('short') === 'done' && phase('dependent') === 'done', 'two end');
    const chunks = [...fleet.store.keys.keys()].filter((key) => key.startsWith('needs/')).length;
    this.check(chunks > 0, 'a long list of dependencies is stored in chunks', `${chunks} records`);
  }

  private storedPhase(name: JobName): string | undefined {
    return (this.fleet.store.get(`jobs/${this.job(name)}`) as { phase: string } | undefined)?.phase;
  }

  private async query(node: number, ref: string): Promise<string> {
    const reply = await this.fleet.request(node, 'GET', `/work/${ref}`);
    return reply?.status === 200 ? JSON.stringify(reply.body) : `status ${reply?.status}`;
  }

  /** Queries all controllers until they give the same answer for every job. */
  private async answersAgree(): Promise<{ agree: boolean; answers: string[] }> {
    let answers: string[] = [];
    for (let i = 0; i < WITHIN_SECONDS; i++) {
      let agree = true;
      answers = [];
      for (const ref of this.jobs.values()) {
        const all = await Promise.all(
          this.fleet.controllers.map((_, node) => this.query(node, ref)),
        );
        const same = all.every((answer) => answer === all[0] && answer.startsWith('{'));
        if (!same) agree = false;
        answers.push(same ? all[0]! : all.join(' / '));
      }
      if (agree) return { agree, answers };
      await systemClock.sleep(1000);
    }
    return { agree: false, answers };
  }

  private async followersAnswer(): Promise<void> {
    const { agree, answers } = await this.answersAgree();
    this.check(agree, 'all controllers answer alike', answers.join(' '));
    const array = answers
      // Where controllers disagree all their answers are in one text.
      .filter((answer) => answer.startsWith('{') && !answer.includes(' / '))
      .map((answer) => JSON.parse(answer) as UserAnswer)
      .find(({ ref }) => ref === this.job('array'));
    const counts = `${array?.phase}, ${array?.done} done, ${array?.running} running`;
    this.check(counts === 'running, 0 done, 12 running', 'progress reaches followers', counts);
    const repeated = await this.fleet.request(
      ...([1, 'POST', '/work', this.fleet.jobFactory.created(this.job('gang')).body] as const),
    );
    const said = JSON.stringify(repeated);
    const expected = { status: 200, body: { ref: this.job('gang'), phase: 'running' } };
    this.check(said === JSON.stringify(expected), 'a follower knows a repeated submission', said);
  }

  private async cancelAtFollower(): Promise<void> {
    const ref = this.job('cancelled');
    const reply = await this.fleet.request(1, 'POST', `/work/${ref}/abort`, {});
    const phase = (reply?.body as UserAnswer | undefined)?.phase;
    this.check(phase === 'withdrawn', 'a follower confirms a cancellation', String(phase));
    const began = Date.now();
    await this.until(() => this.fleet.runningTaskCount(ref) === 0, 'the cancelled tasks are gone');
    const tookMs = Date.now() - began;
    this.check(tookMs < 10_000, 'its tasks are stopped', `gone after ${tookMs} ms`);
  }

  /** The running tasks of the long jobs: machine, agent epoch, task and attempt. */
  private placements(): string[] {
    const refs = new Set(this.namesOf('array', 'gang', 'service'));
    return this.fleet.workers.flatMap(({ id, shift, pieces }) =>
      pieces
        .filter(({ job, phase }) => refs.has(job) && phase === 'running')
        .map(({ job, task, attempt }) => `${id} ${shift} ${job}/${task}#${attempt}`),
    );
  }

  private namesOf(...names: JobName[]): string[] {
    return names.map((name) => this.job(name));
  }

  private checkKept(before: string[], what: string): void {
    const now = new Set(this.placements());
    const lost = before.filter((placement) => !now.has(placement));
    const compared = `${before.length} placements, ${lost.length} lost ${lost.slice(0, 3).join(', ')}`;
    this.check(before.length === 19 && lost.length === 0, what, compared.trimEnd());
  }

  /** During a store outage the leader continues by the votes of the other controllers. */
  private async outage(): Promise<void> {
    const { fleet } = this;
    const before = this.placements();
    const { leader } = fleet;
    fleet.store.down = true;
    await systemClock.sleep(OUTAGE_MS);
    fleet.store.restore();
    await systemClock.sleep(2000);
    this.check(
      fleet.leader === leader,
      'the leader keeps its term in a store outage',
      `${leader?.name}`,
    );
    this.checkKept(before, 'no task is lost in a store outage');
  }

  private transferPhase(): string | undefined {
    return (this.fleet.store.get('shares/moves/m1') as { phase: string } | undefined)?.phase;
  }

  private rolloutPhase(): string | undefined {
    return (this.fleet.store.get('rollouts/status/r1') as { phase: string } | undefined)?.phase;
  }

  /** Runs the operator command of a checkout with the address of one controller. */
  private async command(checkout: string, node: number, ...words: string[]): Promise<string> {
    const at = this.fleet.controllers[node]!.operatorsAddress;
    const argv = [join(checkout, 'scripts', 'leverhatch.mjs'), ...words, '--at', at];
    try {
      return (await runFile(process.execPath, argv)).stdout.trim();
    } catch (error) {
      return `failed: ${String((error as { stderr?: string }).stderr ?? error).trim()}`;
    }
  }

  private async operate(): Promise<void> {
    const { leader, follower } = this.scenario;
    const move = ['--from', 'speech', '--to', 'vision', '--gpus', '8', '--for', '50', '--id', 'm1'];
    const moved = await this.command(leader, 1, 'shares', 'move', ...move);
    this.check(!moved.startsWith('failed'), 'a follower takes the request of a loan', moved);
    await this.until(() => this.transferPhase() === 'lent', 'the share is lent');
    const next = this.fleet.jobFactory.create({ ...SERVICE, crate: 'v2' });
    this.jobs.set('version2', next.ref);
    const jobs = ['--from', this.job('version1'), '--to', next.ref, '--id', 'r1'];
    const bounds = ['--steps', '50,100', '--surge', '2', '--ready', '30', '--judge', '3'];
    const started = await this.command(leader, 2, 'rollout', 'start', ...jobs, ...bounds);
    this.check(!started.startsWith('failed'), 'a follower takes the request of a rollout', started);
    await this.fleet.submitWished(next, 1);
    for (const [verb, words] of [
      ['quotas', ['shares', 'show', '--json']],
      ['rollouts', ['rollout', 'history', '--json']],
    ] as const) {
      const shown = await Promise.all([
        this.command(leader, 0, ...words),
        this.command(follower, 0, ...words),
      ]);
      const same = shown[0] === shown[1] && shown[0].startsWith('{');
      this.check(same, `the commands of both builds read ${verb}`, shown[0].slice(0, 120));
    }
    await this.until(() => this.rolloutPhase() === 'judging', 'the new version is judged');
  }

  /** The field names of the leader's answers to operators, once it has observed the rollout. */
  private async answerFields(): Promise<string> {
    const names = (value: unknown): string => Object.keys((value ?? {}) as object).join(' ');
    for (let i = 0; i < WITHIN_SECONDS; i++) {
      const node = this.fleet.controllers.findIndex((own) => own === this.fleet.leader);
      if (node < 0) continue;
      const shown = await this.command(now, node, 'rollout', 'status', '--json');
      const status = (shown.startsWith('{') ? JSON.parse(shown) : {}) as {
        rollouts?: { seen: { from: object } | null }[];
      };
      const [rollout] = status.rollouts ?? [];
      const quotas = await this.command(now, node, 'shares', 'show', '--json');
      if (!rollout?.seen || !quotas.startsWith('{')) continue;
      const table = JSON.parse(quotas) as { teams: object[]; moves: object[] };
      const parts = [status, rollout, rollout.seen, rollout.seen.from];
      return [...parts, table, table.teams[0], table.moves[0]].map(names).join('; ');
    }
    return 'no answer';
  }

  private async changeLeader(): Promise<void> {
    const { fleet } = this;
    const before = this.placements();
    const fieldsBefore = await this.answerFields();
    const former = fleet.leader!;
    const { restartedWith } = this.scenario;
    const ended = restartedWith === undefined ? [former] : fleet.controllers;
    for (const controller of ended) fleet.kill(controller);
    const key = JSON.stringify(fleet.store.get('leader'));
    this.restart(restartedWith === undefined ? [] : ended, restartedWith);
    const isNew = (): boolean =>
      fleet.leader !== undefined && JSON.stringify(fleet.store.get('leader')) !== key;
    await this.until(isNew, 'a controller of the other build leads');
    const newLeader = fleet.leader!;
    const expected = programPath(restartedWith ?? this.scenario.follower);
    const names = `${former.name}, ${newLeader.name}`;
    this.check(newLeader.program === expected, 'a controller of the other build takes over', names);
    const fields = await this.answerFields();
    const sameFields = fields === fieldsBefore && fields !== 'no answer';
    this.check(sameFields, 'both builds answer operators with the same fields', fields);
    await systemClock.sleep(SETTLE_MS);
    this.checkKept(before, 'no task is lost when the leader changes');
    // Restarts the controller that was killed, which then follows the new leader.
    this.restart(restartedWith === undefined ? ended : []);
  }

  private restart(processes: readonly ControllerProcess[], checkout?: string): void {
    for (const controller of processes) {
      if (checkout !== undefined) controller.program = programPath(checkout);
      this.fleet.spawn(controller);
    }
  }

  private async everythingEnds(): Promise<void> {
    const ended: JobName[] = ['short', 'array', 'gang', 'dependent', 'waiting', 'chunked'];
    const phases = (): string => ended.map((name) => this.storedPhase(name)).join(' ');
    const allDone = ended.map(() => 'done').join(' ');
    await this.fleet
      .until(() => phases() === allDone, 2 * WITHIN_SECONDS, 'all jobs are done')
      .catch(() => undefined);
    this.check(phases() === allDone, 'jobs are done, dependents too', phases());
    const operators = (): string => `${this.transferPhase()} ${this.rolloutPhase()}`;
    await this.until(() => operators() === 'returned done', 'both end').catch(() => undefined);
    this.check(
      operators() === 'returned done',
      'loan and rollout go on to their ends',
      operators(),
    );
    const { agree, answers } = await this.answersAgree();
    this.check(agree, 'all controllers answer alike at the end', answers.join(' '));
    const cancelled = await this.query(0, this.job('cancelled'));
    this.check(cancelled.includes('withdrawn'), 'the cancelled job stays cancelled', cancelled);
    const restarted = this.namesOf('array', 'gang', 'service').flatMap((ref) =>
      [...this.starts.attempts]
        .filter(([task, attempts]) => task.startsWith(`${ref}/`) && attempts.size > 1)
        .map(([task]) => task),
    );
    this.check(restarted.length === 0, 'no task is started again', `${restarted.length} of 19`);
    const twice = [...this.starts.broken];
    this.check(
      twice.length === 0,
      'no task is in two places',
      `${twice.length} ${twice.join(' ')}`,
    );
    await this.recordsAreRead();
  }

  private async recordsAreRead(): Promise<void> {
    const errors = this.warnings.filter((line) => /"level":(50|60|"error"|"fatal")/.test(line));
    this.check(errors.length === 0, 'no controller logs an error', errors.join(' ') || 'none');
    const node = this.fleet.controllers.findIndex((controller) => controller === this.fleet.leader);
    const { leader, follower, restartedWith } = this.scenario;
    for (const words of [
      ['shares', 'show', '--json'],
      ['rollout', 'status', '--json'],
    ]) {
      for (const checkout of new Set([leader, restartedWith ?? follower])) {
        const shown = await this.command(checkout, node, ...words);
        const { unreadable } = (shown.startsWith('{') ? JSON.parse(shown) : {}) as {
          unreadable?: unknown;
        };
        const empty = JSON.stringify(unreadable) === '[]';
        this.check(empty, `${words.join(' ')}: every record is read`, JSON.stringify(unreadable));
      }
    }
  }
}

const [oldArgument] = process.argv.slice(2);
if (oldArgument === undefined) {
  console.error('usage: npm run mixed -- OLD_CHECKOUT');
  process.exit(2);
}
const before = resolve(process.env.INIT_CWD ?? '.', oldArgument);
const now = resolve(fileURLToPath(new URL('../../../..', import.meta.url)));

const SCENARIOS: Scenario[] = [
  { name: 'old leads, new takes over', leader: before, follower: now },
  { name: 'new leads, old takes over', leader: now, follower: before },
  {
    ...{ name: 'old alone, then new on its data', leader: before, follower: before },
    restartedWith: now,
  },
];

const runs = SCENARIOS.map((scenario) => new MixedBuilds(scenario));
await Promise.all(runs.map((run) => run.play()));
for (const { lines } of runs) for (const line of lines) console.log(line);
const failed = runs.reduce((sum, run) => sum + run.failed, 0);
console.log(failed === 0 ? 'every check holds' : `${failed} checks do not hold`);
process.exit(failed === 0 ? 0 : 1);
