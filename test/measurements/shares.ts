/**
 * Measures quota transfers, in memory and in simulated time, and prints raw results as JSON.
 * Usage: node target/check/test/measurements/shares.js [MACHINES...]
 */
import { performance } from 'node:perf_hooks';
import { build, type Histogram } from 'hdr-histogram-js';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { chooseTasksToPreempt, type DrainCandidate } from '@leverhatch/shares/preemption-choice';
import { transferPhase, quotaTransferApi, withQuotaTransfers } from '../fakes/quota-checker.js';
import { SimulatedCluster } from '../fakes/simulated-cluster.js';

/** Each of the sample's teams may use at most eight machines; together they may use more. */
const MACHINES_OF_SAMPLE = 8;
const RUN_MS = 3_600_000;
const RESTART_S = 3;

interface Times {
  machines: number;
  way: 'move' | 'restart';
  /** The time from the request until the receiver has the whole quota. */
  doneMs: number;
  firstReplicaMs: number;
  allReplicasMs: number;
  /** The donor's stopped tasks, and the replicas that needed their capacity. */
  stopped: number;
  replicas: number;
  /** Store writes for the transfer itself. */
  shareWrites: number;
  /** The real time that the simulation took. */
  realSeconds: number;
}

interface Scene {
  w: SimulatedCluster;
  scale: number;
  tuning: string;
}

/** Starts a cluster with a tuning job on every machine. */
async function startScene(machines: number, transfersEnabled: boolean): Promise<Scene> {
  const scale = machines / MACHINES_OF_SAMPLE;
  const yards = Array.from({ length: machines }, (_, i) => ({ yard: i % 2 ? 'a' : 'b' }));
  const simulatedCluster = new SimulatedCluster(yards, 3, 0, { rps: 2000, writeRps: 500 }, scale);
  simulatedCluster.cloud.capacity = machines;
  if (transfersEnabled) withQuotaTransfers(simulatedCluster);
  await simulatedCluster.start();
  const tuning = await simulatedCluster.submit({
    pieces: machines * 8,
    crew: 'speech',
    runMs: RUN_MS,
  });
  await simulatedCluster.until(
    () => simulatedCluster.running(tuning) === machines * 8,
    300,
    'the tuning run has every machine',
  );
  return { w: simulatedCluster, scale, tuning };
}

/** Submits the receiver's replicas: beyond its old guarantee, within the new one. */
async function startReceiverReplicas(
  { w: cluster, scale, tuning }: Scene,
  askedAt: number,
): Promise<Partial<Times>> {
  const replicas = Math.floor(24 * scale);
  const job = await cluster.submit({ shape: 'service', pieces: replicas, runMs: 0 });
  await cluster.until(() => cluster.running(job) > 0, 300, 'the first replica runs');
  const firstReplicaMs = cluster.clock.now() - askedAt;
  await cluster.until(() => cluster.running(job) === replicas, 600, 'all replicas run');
  const allReplicasMs = cluster.clock.now() - askedAt;
  const before = cluster.workers.size * 8;
  return { firstReplicaMs, allReplicasMs, replicas, stopped: before - cluster.running(tuning) };
}

async function measureTransfer(machines: number): Promise<Times> {
  const began = performance.now();
  const scene = await startScene(machines, true);
  const { w: cluster, scale } = scene;
  let shareWrites = 0;
  const before = cluster.store.onWrite;
  cluster.store.onWrite = (key) => {
    before(key);
    if (key.startsWith('shares/')) shareWrites++;
  };
  const askedAt = cluster.clock.now();
  let doneAt: number | null = null;
  const guarantee = { gpus: Math.floor(8 * scale) };
  const request = { id: 'm', from: 'speech', to: 'vision', guarantee, limit: guarantee };
  await cluster.drive(quotaTransferApi(cluster, 1)!.submit(request));
  const done = cluster
    .until(() => transferPhase(cluster, 'm') === 'done', 300, 'done')
    .then(() => {
      doneAt = cluster.clock.now();
    });
  const times = await startReceiverReplicas(scene, askedAt);
  await done;
  await cluster.close();
  return finish({ machines, way: 'move', shareWrites, doneMs: doneAt! - askedAt }, times, began);
}

/** The alternative without transfers: new settings and a rolling restart of the controllers. */
async function measureRestart(machines: number): Promise<Times> {
  const began = performance.now();
  const scene = await startScene(machines, false);
  const { w: cluster, scale } = scene;
  const askedAt = cluster.clock.now();
  const teams = new Map(cluster.teams);
  for (const [name, sign] of [['speech', -1] as const, ['vision', 1] as const]) {
    const team = teams.get(name)!;
    const by = Math.floor(8 * scale) * sign;
    const moved = (amounts: typeof team.limit): typeof team.limit => ({
      ...amounts,
      gpus: amounts.gpus + by,
    });
    teams.set(name, { ...team, guarantee: moved(team.guarantee), limit: moved(team.limit) });
    cluster.teamLimits.set(name, { cpus: Infinity, gpus: Infinity });
  }
  cluster.teams = teams;
  for (let i = 0; i < cluster.nodes.length; i++) {
    cluster.crash(i);
    await cluster.advance(RESTART_S);
    cluster.restart(i);
    await cluster.until(
      () => cluster.leader >= 0 && (cluster.nodes[i]!.controller?.ready() ?? false),
      60,
      'the controller is ready',
    );
  }
  const doneMs = cluster.clock.now() - askedAt;
  const times = await startReceiverReplicas(scene, askedAt);
  await cluster.close();
  return finish({ machines, way: 'restart', shareWrites: 0, doneMs }, times, began);
}

const finish = (
  facts: Pick<Times, 'machines' | 'way' | 'shareWrites' | 'doneMs'>,
  times: Partial<Times>,
  began: number,
): Times => {
  const realSeconds = Math.round((performance.now() - began) / 1000);
  return { ...facts, ...times, realSeconds } as Times;
};

// ---- lost work of preemption against the optimum

const CASES = 3000;
const MAX_TASKS = 12;

const lossOf = (tasks: readonly DrainCandidate[]): number =>
  tasks.reduce((sum, task) => sum + task.lostWorkMs, 0);

/** The least loss of any set of tasks that frees enough GPUs; gangs only as a whole. */
function leastLoss(wanted: number, candidates: readonly DrainCandidate[]): number {
  const units = new Map<string, DrainCandidate[]>();
  for (const candidate of candidates) {
    const name = candidate.isGangMember ? candidate.job : `${candidate.job}/${candidate.task}`;
    units.set(name, [...(units.get(name) ?? []), candidate]);
  }
  const list = [...units.values()];
  let least = Infinity;
  for (let set = 0; set < 1 << list.length; set++) {
    const chosen = list.filter((_, i) => set & (1 << i)).flat();
    const freed = chosen.reduce((sum, c) => sum + c.resources.gpus, 0);
    if (freed >= wanted) least = Math.min(least, lossOf(chosen));
  }
  return least;
}

/** A case with random jobs of one priority, so that only the loss matters. */
function drainCase(seed: number): { wanted: number; candidates: DrainCandidate[] } {
  const generator = xoroshiro128plus(seed);
  const randomBetween = (from: number, to: number): number => uniformInt(generator, from, to);
  const candidates: DrainCandidate[] = [];
  for (let job = 0; candidates.length < MAX_TASKS - 4 && job < 5; job++) {
    const need = { cpus: 0, gpus: randomBetween(1, 4) };
    const wholeGang = randomBetween(0, 2) === 0;
    for (let task = 0; task < randomBetween(1, 4); task++) {
      const lostWorkMs = randomBetween(1, 100) * 1000;
      candidates.push({
        job: `j${job}`,
        task,
        priority: 2,
        lostWorkMs,
        isGangMember: wholeGang,
        resources: need,
      });
    }
  }
  const total = candidates.reduce((sum, candidate) => sum + candidate.resources.gpus, 0);
  return { wanted: randomBetween(1, total), candidates };
}

/** The loss of the chosen preemptions, in percent of the optimum. */
function drainLoss(): { cases: number; percent: Record<string, number> } {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: 3,
  });
  for (let seed = 1; seed <= CASES; seed++) {
    const { wanted, candidates } = drainCase(seed);
    const lost = lossOf(chooseTasksToPreempt({ cpus: 0, gpus: wanted }, candidates));
    histogram.recordValue(Math.round((lost / leastLoss(wanted, candidates)) * 100));
  }
  const percent = {
    mean: Math.round(histogram.mean),
    p50: histogram.getValueAtPercentile(50),
    p90: histogram.getValueAtPercentile(90),
    p99: histogram.getValueAtPercentile(99),
    most: histogram.maxValue,
  };
  return { cases: CASES, percent };
}

const sizes = process.argv.slice(2).map(Number);
const results: Times[] = [];
for (const machines of sizes.length > 0 ? sizes : [8, 100]) {
  results.push(await measureTransfer(machines));
  results.push(await measureRestart(machines));
  console.error(JSON.stringify(results.slice(-2)));
}
console.log(JSON.stringify({ results, drain: drainLoss() }, null, 2));
process.exit(0);
