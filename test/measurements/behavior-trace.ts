/**
 * Shows whether a change of the sources changes what controllers do. A fixed set of simulations is
 * played in fake time with seeded chance; of each a hash is printed over all that crosses the border of
 * a controller, with its time: requests to the store and the cloud, heartbeats of workers, direct
 * commands, frames between controllers, requests of users and operators, and the answers to all of
 * them. Log lines are left out. The same sources print the same hashes.
 *
 * Usage: npm run trace                 prints a line for each simulation
 *        npm run trace -- --check      compares them with behavior-trace.txt, and fails if one differs
 *        npm run trace -- --update     writes them there
 */
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { begin as beginRollout, finish, phaseIs, start } from '../fakes/rollout-story.js';
import { askShares, EIGHT, movePhase, withShares } from '../fakes/share-checker.js';
import { playSeed, type Beside } from '../fakes/trouble-search.js';
import { NEXT, ranged, runKeys } from '../fakes/upgrade.js';
import { change, install, startLongWork } from '../fakes/versions.js';
import { machines } from '../fakes/meeting.js';
import { World } from '../fakes/world.js';

type Observe = (world: World) => void;

/** One simulation: it calls `observe` with its world before anything happens there. */
interface Simulation {
  name: string;
  play(observe: Observe): Promise<void>;
}

const EXPECTED = fileURLToPath(
  new URL('../../../../test/measurements/behavior-trace.txt', import.meta.url),
);

/** The settings of the seeded search, and how many seeds of each are played. */
const SEARCHES: { name: string; seeds: number; beside: Beside }[] = [
  { name: 'search', seeds: 16, beside: {} },
  { name: 'search with moves of shares', seeds: 10, beside: { moving: true } },
  { name: 'search with a rollout', seeds: 10, beside: { rolling: true } },
  { name: 'search in three zones', seeds: 6, beside: { threeZones: true } },
];

const searches: Simulation[] = SEARCHES.flatMap(({ name, seeds, beside }) =>
  Array.from({ length: seeds }, (_, i) => ({
    name: `${name}, seed ${i + 1}`,
    play: (observe: Observe) => playSeed(i + 1, { ...beside, observe }),
  })),
);

/** A share is lent and goes back, while leaders end. */
async function loan(observe: Observe): Promise<void> {
  const w = new World(EIGHT, 3, 5);
  observe(w);
  w.cloud.capacity = EIGHT.length;
  withShares(w);
  await w.start();
  const tuning = await w.submit({ pieces: 64, crew: 'speech', runMs: 600_000 });
  await w.until(() => w.running(tuning) === 64, 20, 'the tuning run has every machine');
  const share = { gpus: 16 };
  const request = { id: 'm1', from: 'speech', to: 'vision', guarantee: share, limit: share };
  await askShares(w, 1, (api) => api.submit({ ...request, forSeconds: 40 }));
  await w.submit({ shape: 'service', pieces: 28, runMs: 0 });
  await w.until(() => movePhase(w, 'm1') === 'lent', 60, 'all of it is lent');
  await w.trouble.endLeader(3);
  await w.until(() => movePhase(w, 'm1') === 'returned', 120, 'all of it has gone back');
  await askShares(w, 0, (api) => api.history());
  await w.close();
}

/** A good version takes over in steps; the leader ends in the middle of it. */
async function rollout(observe: Observe): Promise<void> {
  const story = await beginRollout({ seed: 1, before: observe });
  await start(story, {}, 1);
  await phaseIs(story.w, 'withdrawing');
  await story.w.trouble.endLeader(3);
  await phaseIs(story.w, 'done');
  await finish(story, 'to');
}

/** Jobs that need others, some of them cancelled, under leaders that end. */
async function pipelines(observe: Observe): Promise<void> {
  const w = new World(machines('aabb'), 3, 2);
  observe(w);
  await w.start();
  void w.keepAsking(2000);
  const wish = { runMs: 6000, crew: 'speech' };
  const top = await w.accept(wish);
  const left = await w.accept({ ...wish, waitsOn: [top] });
  const right = await w.accept({ ...wish, shape: 'gang', pieces: 2, waitsOn: [top] });
  await w.accept({ ...wish, waitsOn: [left, right] });
  const last = await w.accept({ ...wish, gpus: 0, waitsOn: [right] });
  const beforehand = Array.from({ length: 220 }, (_, i) => `req-${900_000 + i}`);
  for (const ref of beforehand) w.doneBefore(ref);
  await w.accept({ ...wish, waitsOn: [...beforehand, last] });
  await w.cancel(left);
  await w.trouble.endLeader(2);
  await w.settle();
  await w.close();
}

/** Controllers of the version in production make way for this one, and the store's limits fall. */
async function upgrade(observe: Observe): Promise<void> {
  const w = new World(machines('abababab'), 3, 0, { next: NEXT });
  observe(w);
  install(w, ['104c759', '104c759', '104c759']);
  await w.start();
  void w.keepAsking();
  await startLongWork(w);
  for (const node of w.nodes.keys()) {
    await change(w, node, 'current');
    await w.accept({ pieces: 4, runMs: 3000, crew: 'speech' });
    await w.pass(8);
  }
  w.store.limits = NEXT;
  await w.until(() => runKeys(w).every(ranged), 60, 'all records have the new layout');
  await w.accept({ shape: 'gang', pieces: 4, gpus: 4, crew: 'speech', runMs: 5000 });
  await w.pass(60);
  await w.close();
}

/** Cheap machines that go with notice, a job with a mistake, work of low priority and many questions. */
async function nightShift(observe: Observe): Promise<void> {
  const spot = { yard: 'a', spot: true };
  const w = new World([...machines('aabb'), spot, spot], 3, 9);
  observe(w);
  w.cloud.spotCapacity = 4;
  await w.start();
  void w.keepAsking(500);
  await w.accept({ shape: 'service', pieces: 4, gpus: 2, runMs: 0, urgency: 'production' });
  await w.accept({ pieces: 30, runMs: 20_000, urgency: 'best_effort', crew: 'speech' });
  await w.accept({ pieces: 6, runMs: 30_000, failsAfterMs: 2000 });
  await w.accept({ shape: 'gang', pieces: 4, gpus: 8, runMs: 15_000, crew: 'speech' });
  await w.pass(20);
  const noticed = [...w.workers.values()].find((worker) => worker.driftwood);
  if (noticed) noticed.warningS = 20;
  await w.pass(20);
  w.trouble.outage();
  await w.pass(6);
  w.trouble.outageOver();
  await w.pass(60);
  await w.close();
}

const SIMULATIONS: Simulation[] = [
  ...searches,
  { name: 'a share is lent and goes back', play: loan },
  { name: 'a version takes over in steps', play: rollout },
  { name: 'pipelines with a cancellation', play: pipelines },
  { name: 'controllers of an earlier version are upgraded', play: upgrade },
  { name: 'notice, failures, low priority and questions', play: nightShift },
];

/** Plays one simulation; answers the hash over what crossed the borders, and how much did. */
async function traceOf({ name, play }: Simulation): Promise<string> {
  const hash = createHash('sha256');
  let crossings = 0;
  const observe = (world: World): void => {
    world.onCrossing = (border, ...what) => {
      crossings++;
      hash.update(`${world.clock.now()} ${border} ${JSON.stringify(what)}\n`);
    };
  };
  let end = '';
  try {
    await play(observe);
  } catch (error) {
    // What went wrong goes wrong again, and the hash tells whether in the same way.
    end = `; ended with ${error instanceof Error ? error.message : String(error)}`;
  }
  return `${hash.digest('hex').slice(0, 32)} ${String(crossings).padStart(6)} ${name}${end}`;
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
