/**
 * Measures stepped rollouts, in memory and in simulated time, and prints raw results as JSON.
 * Usage: node target/check/test/measurements/rollout.js [MACHINES...]
 */
import { performance } from 'node:perf_hooks';
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import { systemRandom } from '@leverhatch/core/random';
import { Prober } from '@leverhatch/rollout/prober';
import { ReadinessProofs } from '@leverhatch/rollout/readiness-proofs';
import type { Replica } from '@leverhatch/rollout';
import { FakeClock } from '../fakes/clock.js';
import type { ModelServers } from '../fakes/model-servers.js';
import { rolloutApi, rolloutStatus, withRollouts } from '../fakes/rollout-checker.js';
import { SimulatedCluster, type JobTemplate } from '../fakes/simulated-cluster.js';

/** Each of the sample's teams may use at most the capacity of eight machines. */
const MACHINES_OF_SAMPLE = 8;
const REPLICAS_PER_MACHINE = 2;
const SURGE_SHARE = 0.1;
const PROBE_MS = 2000;
const STEPS = [0.1, 0.5, 1];
const JUDGE_S = 20;
const FETCH_MS = 2000;
const MAX_SECONDS = 3600;
const REQUESTS_PER_REPLICA = 25;

type Method = 'rollout' | 'new beside old' | 'new after old';

interface Result {
  machines: number;
  replicas: number;
  way: Method;
  /** The time from the request until only the new version is placed. */
  doneS: number;
  level: number;
  lowest: number;
  /** Replicas beyond the required number, over time; and the minimum for fetching the image. */
  surgeReplicaSeconds: number;
  leastSurgeReplicaSeconds: number | null;
  /** The writes of the rollout's status, and all writes of rollout records. */
  transitions: number;
  rolloutWrites: number;
  probesPerSecond: number;
  realSeconds: number;
}

interface Scene {
  w: SimulatedCluster;
  models: ModelServers;
  from: string;
  next: { ref: string; body: object };
  replicas: number;
  surge: number;
}

async function startScene(machines: number): Promise<Scene> {
  const yards = Array.from({ length: machines }, (_, i) => ({ yard: i % 2 ? 'a' : 'b' }));
  const scale = machines / MACHINES_OF_SAMPLE;
  const simulatedCluster = new SimulatedCluster(yards, 3, 0, { rps: 2000, writeRps: 500 }, scale);
  simulatedCluster.cloud.capacity = machines;
  const replicas = machines * REPLICAS_PER_MACHINE;
  const perSecond = (replicas * 2000) / PROBE_MS;
  const models = withRollouts(simulatedCluster, { intervalMs: PROBE_MS, perSecond });
  models.requestsPerSecond = replicas * REQUESTS_PER_REPLICA;
  await simulatedCluster.start();
  const service: JobTemplate = {
    ...{ shape: 'service', pieces: replicas, gpus: 2, runMs: 0, crew: 'speech' },
    ...{ urgency: 'production', fetchMs: FETCH_MS },
  };
  const from = await simulatedCluster.accept({ ...service, crate: 'v1' });
  await simulatedCluster.until(
    () => models.serving(from) === replicas,
    300,
    'the old version serves',
  );
  const next = simulatedCluster.createSubmission({ ...service, crate: 'v2' });
  return {
    w: simulatedCluster,
    models,
    from,
    next,
    replicas,
    surge: Math.ceil(replicas * SURGE_SHARE),
  };
}

/** Samples the numbers of serving and placed replicas every quarter of a second. */
class ReplicaMeter {
  lowest = Infinity;
  surgeReplicaSeconds = 0;
  private readonly from: string;

  constructor(private readonly scene: Scene) {
    this.from = scene.from;
    scene.w.observers.add(() => this.sample());
  }

  private sample(): void {
    const { w: cluster, models, next, replicas } = this.scene;
    const serving = models.serving(this.from) + models.serving(next.ref);
    this.lowest = Math.min(this.lowest, serving);
    const placed = cluster.tasksOf(this.from).length + cluster.tasksOf(next.ref).length;
    this.surgeReplicaSeconds += Math.max(0, placed - replicas) / 4;
  }
}

async function measure(machines: number, way: Method): Promise<Result> {
  const began = performance.now();
  const scene = await startScene(machines);
  const { w: cluster, models, from, next, replicas, surge } = scene;
  const meter = new ReplicaMeter(scene);
  let rolloutWrites = 0;
  let transitions = 0;
  const before = cluster.store.onWrite;
  cluster.store.onWrite = (key) => {
    before(key);
    if (key.startsWith('rollouts/')) rolloutWrites++;
    if (key.startsWith('rollouts/status/')) transitions++;
  };
  const askedAt = cluster.clock.now();
  if (way === 'rollout') {
    const request = {
      ...{ id: 'r', from, to: next.ref, steps: STEPS, maxSurge: surge },
      ...{ judgeSeconds: JUDGE_S, minSamples: 100 },
    };
    await cluster.drive(rolloutApi(cluster, 1)!.start(request));
    await cluster.drive(cluster.acceptSubmissionInBackground(next));
    await cluster.until(
      () => rolloutStatus(cluster, 'r')?.phase === 'done',
      MAX_SECONDS,
      'the rollout is done',
    );
  } else if (way === 'new beside old') {
    await cluster.drive(cluster.acceptSubmissionInBackground(next));
    await cluster.until(
      () => models.serving(next.ref) === replicas,
      MAX_SECONDS,
      'the new version serves',
    );
    await cluster.cancel(from);
  } else {
    await cluster.cancel(from);
    await cluster.drive(cluster.acceptSubmissionInBackground(next));
  }
  const over = (): boolean =>
    models.serving(next.ref) === replicas && cluster.tasksOf(from).length === 0;
  await cluster.until(over, MAX_SECONDS, 'only the new version is placed');
  const doneS = (cluster.clock.now() - askedAt) / 1000;
  const { lowest, surgeReplicaSeconds } = meter;
  const result: Result = {
    ...{ machines, replicas, way, doneS, level: replicas, lowest, surgeReplicaSeconds },
    leastSurgeReplicaSeconds: way === 'rollout' ? (replicas * FETCH_MS) / 1000 : null,
    ...{ transitions, rolloutWrites },
    probesPerSecond: Math.round(models.probesSent / doneS),
    realSeconds: Math.round((performance.now() - began) / 1000),
  };
  if (way !== 'new after old') await cluster.cancel(from);
  await cluster.close();
  return result;
}

// ---- how soon a slower version is detected

interface Detection {
  timesSlower: number;
  phase: string;
  /** The time from its first serving replica until the rollback starts. */
  noticedS: number;
  /** The time until only the old version is placed. */
  backS: number;
  oldReplicasWithdrawn: number;
  lowest: number;
}

async function detect(timesSlower: number): Promise<Detection> {
  const scene = await startScene(MACHINES_OF_SAMPLE);
  const { w: cluster, models, from, next, replicas, surge } = scene;
  const meter = new ReplicaMeter(scene);
  models.models.set(next.ref, {
    readyMs: 500,
    latencyMs: () => 100 * timesSlower,
    errorRate: 0,
  });
  const request = { id: 'r', from, to: next.ref, steps: STEPS, maxSurge: surge };
  await cluster.drive(
    rolloutApi(cluster, 1)!.start({ ...request, judgeSeconds: JUDGE_S, minSamples: 100 }),
  );
  await cluster.drive(cluster.acceptSubmissionInBackground(next));
  await cluster.until(() => models.serving(next.ref) > 0, 120, 'a new replica serves');
  const servesAt = cluster.clock.now();
  const turned = ['rolling-back', 'rolled-back', 'done'];
  await cluster.until(
    () => turned.includes(rolloutStatus(cluster, 'r')?.phase ?? ''),
    MAX_SECONDS,
    'a rollback starts or the rollout is done',
  );
  const noticedS = (cluster.clock.now() - servesAt) / 1000;
  const oldReplicasWithdrawn = replicas - models.serving(from);
  const ends = ['rolled-back', 'done'];
  await cluster.until(
    () => ends.includes(rolloutStatus(cluster, 'r')?.phase ?? ''),
    MAX_SECONDS,
    'the rollout has ended',
  );
  const { phase } = rolloutStatus(cluster, 'r')!;
  const backS = (cluster.clock.now() - servesAt) / 1000;
  const { lowest } = meter;
  await cluster.close();
  return { timesSlower, phase, noticedS, backS, oldReplicasWithdrawn, lowest };
}

// ---- the CPU time of probes in the leader, without the network

async function probeCost(): Promise<{ probes: number; microsecondsEach: number }> {
  const clock = new FakeClock();
  const histogram = build({ numberOfSignificantValueDigits: 2 });
  for (let i = 0; i < 200; i++) histogram.recordValue(50_000 + i * 997);
  const latencies = encodeIntoCompressedBase64(histogram);
  const replicas = Array.from({ length: 1000 }, (_, task): Replica => ({
    key: `j/${task}`,
    ...{
      job: 'j',
      task,
      attempt: 1,
      machine: `m${task}`,
      agentEpoch: 1,
      address: 'a:1',
      image: 'v',
    },
    ...{ running: true, starting: false, stopping: false },
  }));
  let probes = 0;
  const prober = new Prober({
    clock,
    random: systemRandom(),
    settings: { intervalMs: PROBE_MS, perSecond: 1000 },
    proofs: new ReadinessProofs(PROBE_MS),
    replicas: () => replicas,
    onAnswer: () => void probes++,
    probe: {
      send: async ({ job, task, attempt, agentEpoch, image }) => ({
        ...{
          job,
          task,
          attempt,
          session: agentEpoch,
          version: image,
          requests: 200,
          errors: 0,
          latencies,
        },
      }),
    },
  });
  const stop = new AbortController();
  void prober.run(stop.signal);
  const began = process.cpuUsage();
  await clock.advance(60_000);
  const { user, system } = process.cpuUsage(began);
  stop.abort();
  return { probes, microsecondsEach: Math.round((user + system) / probes) };
}

const sizes = process.argv.slice(2).map(Number);
const results: Result[] = [];
const METHODS: Method[] = ['rollout', 'new beside old', 'new after old'];
for (const machines of sizes.length > 0 ? sizes : [8, 100]) {
  for (const way of METHODS) {
    results.push(await measure(machines, way));
    console.error(JSON.stringify(results.at(-1)));
  }
}
const detections: Detection[] = [];
for (const timesSlower of [1, 1.5, 2, 5]) detections.push(await detect(timesSlower));
console.log(JSON.stringify({ results, detections, probeCost: await probeCost() }, null, 2));
process.exit(0);
