/**
 * Shows whether a source change alters the behavior of controllers. Runs a fixed set of simulations
 * with simulated time and seeded randomness, and prints for each a hash over all messages that
 * controllers send or receive, with their times: requests to the store and the cloud, heartbeats of
 * workers, direct commands, frames between controllers, requests of users and operators, and the
 * responses to all of them. Log lines are not included. The same sources print the same hashes.
 *
 * Usage: npm run trace                 prints a line for each simulation
 *        npm run trace -- --check      compares them with behavior-trace.txt, and fails if one differs
 *        npm run trace -- --update     writes them there
 */
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import {
  startScenario as beginRollout,
  finishScenario,
  untilPhase,
  startRollout,
} from '../fakes/rollout-scenario.js';
import {
  askQuotaTransfers,
  EIGHT_MACHINES,
  transferPhase,
  withQuotaTransfers,
} from '../fakes/quota-checker.js';
import { simulateSeed, type SearchOptions } from '../fakes/fault-search.js';
import { ANNOUNCED_LIMITS, isRangedRunKey, runKeys } from '../fakes/upgrade.js';
import { changeVersion, setVersions, startLongWork } from '../fakes/versions.js';
import { machines } from '../fakes/fault-scenario.js';
import { SimulatedCluster } from '../fakes/simulated-cluster.js';

type Observe = (cluster: SimulatedCluster) => void;

/** One simulation; `play` passes its cluster to `observe` before the simulation starts. */
interface Simulation {
  name: string;
  play(observe: Observe): Promise<void>;
}

const EXPECTED = fileURLToPath(
  new URL('../../../../test/measurements/behavior-trace.txt', import.meta.url),
);

/** The options of the seeded fault search, and the number of seeds for each. */
const SEARCHES: { name: string; seeds: number; beside: SearchOptions }[] = [
  { name: 'search', seeds: 16, beside: {} },
  { name: 'search with moves of shares', seeds: 10, beside: { quotaTransfers: true } },
  { name: 'search with a rollout', seeds: 10, beside: { rollout: true } },
  { name: 'search in three zones', seeds: 6, beside: { threeZones: true } },
];

const searches: Simulation[] = SEARCHES.flatMap(({ name, seeds, beside: options }) =>
  Array.from({ length: seeds }, (_, i) => ({
    name: `${name}, seed ${i + 1}`,
    play: (observe: Observe) => simulateSeed(i + 1, { ...options, observe }),
  })),
);

/** A quota is lent and returned while leaders crash. */
async function loan(observe: Observe): Promise<void> {
  const simulatedCluster = new SimulatedCluster(EIGHT_MACHINES, 3, 5);
  observe(simulatedCluster);
  simulatedCluster.cloud.capacity = EIGHT_MACHINES.length;
  withQuotaTransfers(simulatedCluster);
  await simulatedCluster.start();
  const tuning = await simulatedCluster.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await simulatedCluster.until(
    () => simulatedCluster.running(tuning) === 64,
    20,
    'the tuning run has every machine',
  );
  const share = { gpus: 16 };
  const request = { id: 'm1', from: 'speech', to: 'vision', guarantee: share, limit: share };
  await askQuotaTransfers(simulatedCluster, 1, (api) => api.submit({ ...request, forSeconds: 40 }));
  await simulatedCluster.submit({ shape: 'service', pieces: 28, runMs: 0 });
  await simulatedCluster.until(
    () => transferPhase(simulatedCluster, 'm1') === 'lent',
    60,
    'all of it is lent',
  );
  await simulatedCluster.faults.restartLeader(3);
  await simulatedCluster.until(
    () => transferPhase(simulatedCluster, 'm1') === 'returned',
    120,
    'all of it has gone back',
  );
  await askQuotaTransfers(simulatedCluster, 0, (api) => api.history());
  await simulatedCluster.close();
}

/** A healthy version is rolled out in steps; the leader crashes in between. */
async function rollout(observe: Observe): Promise<void> {
  const scenario = await beginRollout({ seed: 1, before: observe });
  await startRollout(scenario, {}, 1);
  await untilPhase(scenario.w, 'withdrawing');
  await scenario.w.faults.restartLeader(3);
  await untilPhase(scenario.w, 'done');
  await finishScenario(scenario, 'to');
}

/** Jobs with dependencies, some of them cancelled, while a leader crashes. */
async function pipelines(observe: Observe): Promise<void> {
  const simulatedCluster = new SimulatedCluster(machines('aabb'), 3, 2);
  observe(simulatedCluster);
  await simulatedCluster.start();
  void simulatedCluster.startQueries(2000);
  const template = { runMs: 6000, crew: 'speech' };
  const top = await simulatedCluster.accept(template);
  const left = await simulatedCluster.accept({ ...template, waitsOn: [top] });
  const right = await simulatedCluster.accept({
    ...template,
    shape: 'gang',
    pieces: 2,
    waitsOn: [top],
  });
  await simulatedCluster.accept({ ...template, waitsOn: [left, right] });
  const last = await simulatedCluster.accept({ ...template, gpus: 0, waitsOn: [right] });
  const beforehand = Array.from({ length: 220 }, (_, i) => `req-${900_000 + i}`);
  for (const ref of beforehand) simulatedCluster.addDoneJob(ref);
  await simulatedCluster.accept({ ...template, waitsOn: [...beforehand, last] });
  await simulatedCluster.cancel(left);
  await simulatedCluster.faults.restartLeader(2);
  await simulatedCluster.waitUntilSettled();
  await simulatedCluster.close();
}

/** Controllers are upgraded from a released version, then the store's limits are lowered. */
async function upgrade(observe: Observe): Promise<void> {
  const simulatedCluster = new SimulatedCluster(machines('abababab'), 3, 0, {
    next: ANNOUNCED_LIMITS,
  });
  observe(simulatedCluster);
  setVersions(simulatedCluster, ['104c759', '104c759', '104c759']);
  await simulatedCluster.start();
  void simulatedCluster.startQueries();
  await startLongWork(simulatedCluster);
  for (const node of simulatedCluster.nodes.keys()) {
    await changeVersion(simulatedCluster, node, 'current');
    await simulatedCluster.accept({ pieces: 4, runMs: 3000, crew: 'speech' });
    await simulatedCluster.advance(8);
  }
  simulatedCluster.store.limits = ANNOUNCED_LIMITS;
  await simulatedCluster.until(
    () => runKeys(simulatedCluster).every(isRangedRunKey),
    60,
    'all records have the new layout',
  );
  await simulatedCluster.accept({ shape: 'gang', pieces: 4, gpus: 4, crew: 'speech', runMs: 5000 });
  await simulatedCluster.advance(60);
  await simulatedCluster.close();
}

/** Spot machines with a termination notice, a failing job, best-effort work and many queries. */
async function mixedWorkload(observe: Observe): Promise<void> {
  const spot = { yard: 'a', spot: true };
  const simulatedCluster = new SimulatedCluster([...machines('aabb'), spot, spot], 3, 9);
  observe(simulatedCluster);
  simulatedCluster.cloud.spotCapacity = 4;
  await simulatedCluster.start();
  void simulatedCluster.startQueries(500);
  await simulatedCluster.accept({
    shape: 'service',
    pieces: 4,
    gpus: 2,
    runMs: 0,
    urgency: 'production',
  });
  await simulatedCluster.accept({
    pieces: 30,
    runMs: 20_000,
    urgency: 'best_effort',
    crew: 'speech',
  });
  await simulatedCluster.accept({ pieces: 6, runMs: 30_000, failsAfterMs: 2000 });
  await simulatedCluster.accept({
    shape: 'gang',
    pieces: 4,
    gpus: 8,
    runMs: 15_000,
    crew: 'speech',
  });
  await simulatedCluster.advance(20);
  const noticed = [...simulatedCluster.workers.values()].find((worker) => worker.driftwood);
  if (noticed) noticed.warningS = 20;
  await simulatedCluster.advance(20);
  simulatedCluster.faults.startStoreOutage();
  await simulatedCluster.advance(6);
  simulatedCluster.faults.endStoreOutage();
  await simulatedCluster.advance(60);
  await simulatedCluster.close();
}

const SIMULATIONS: Simulation[] = [
  ...searches,
  { name: 'a share is lent and goes back', play: loan },
  { name: 'a version takes over in steps', play: rollout },
  { name: 'pipelines with a cancellation', play: pipelines },
  { name: 'controllers of an earlier version are upgraded', play: upgrade },
  { name: 'notice, failures, low priority and questions', play: mixedWorkload },
];

/** Runs one simulation; returns a line with the hash and the number of messages. */
async function traceOf({ name, play }: Simulation): Promise<string> {
  const hash = createHash('sha256');
  let messages = 0;
  const observe = (cluster: SimulatedCluster): void => {
    cluster.onBoundaryCrossing = (boundary, ...what) => {
      messages++;
      hash.update(`${cluster.clock.now()} ${boundary} ${JSON.stringify(what)}\n`);
    };
  };
  let outcome = '';
  try {
    await play(observe);
  } catch (error) {
    // A simulation that fails does so every time, and the hash shows whether in the same way.
    outcome = `; ended with ${error instanceof Error ? error.message : String(error)}`;
  }
  return `${hash.digest('hex').slice(0, 32)} ${String(messages).padStart(6)} ${name}${outcome}`;
}

const lines: string[] = [];
for (const simulation of SIMULATIONS) {
  const line = await traceOf(simulation);
  lines.push(line);
  console.log(line);
}
if (process.argv.includes('--update')) writeFileSync(EXPECTED, `${lines.join('\n')}\n`);
if (process.argv.includes('--check')) {
  const expected = readFileSync(EXPECTED, 'utf8').trimEnd().split('\n');
  const changed = lines.filter((line, i) => line !== expected[i]);
  for (const line of changed) console.log(`differs: ${line}`);
  if (changed.length > 0 || lines.length !== expected.length) process.exitCode = 1;
}
