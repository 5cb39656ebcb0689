import assert from 'node:assert/strict';
import type { ApiAnswer } from '@leverhatch/operators/answer';
import type { RolloutApi } from '@leverhatch/rollout';
import { machines } from './meeting.js';
import type { ModelServers } from './model-servers.js';
import { writes } from './observe.js';
import { askUntilServed } from './operators.js';
import { RolloutChecker, rolloutApi, rolloutStatus, withRollouts } from './rollout-checker.js';
import { World, type JobWish, type MachineWish } from './world.js';

/** Four machines with eight GPUs each: the two jobs have eight replicas of two GPUs, with room to spare. */
const MACHINES = machines('aabb');
export const REPLICAS = 8;
export const MAX_SURGE = 2;

/** Short windows, so that stories are. */
export const REQUEST = {
  id: 'r1',
  steps: [0.25, 1],
  maxSurge: MAX_SURGE,
  readySeconds: 20,
  judgeSeconds: 6,
  minSamples: 100,
};

export interface RolloutStory {
  w: World;
  models: ModelServers;
  checker: RolloutChecker;
  from: string;
  to: string;
  /** The new job, which has not been submitted yet. */
  next: { ref: string; body: object };
}

export interface StoryOptions {
  seed?: number;
  machines?: MachineWish[];
  /** Changes the world before any controller starts. */
  before?(w: World): void;
  /** What differs of both jobs. */
  wish?: JobWish;
}

const SERVICE: JobWish = {
  shape: 'service',
  pieces: REPLICAS,
  gpus: 2,
  runMs: 0,
  crew: 'speech',
  urgency: 'production',
};

/** Asks one controller, and again while it does not serve. */
export function ask(
  w: World,
  node: number,
  what: (api: RolloutApi) => Promise<ApiAnswer>,
): Promise<ApiAnswer> {
  return askUntilServed(w, () => {
    const api = rolloutApi(w, node);
    return api && what(api);
  });
}

export const phaseOf = (w: World, id = 'r1'): string | undefined => rolloutStatus(w, id)?.phase;

export const phaseIs = (w: World, phase: string, seconds = 150, id = 'r1'): Promise<void> =>
  w.until(() => phaseOf(w, id) === phase, seconds, `${id} is ${phase}`);

/** Whether a transaction writes the status of a rollout in this phase. */
export const writesPhase = (body: unknown, phase: string): boolean =>
  writes(body, 'rollouts/status/') && JSON.stringify(body).includes(`"phase":"${phase}"`);

/** Three controllers, and the old version on all machines. */
export async function begin(options: StoryOptions = {}): Promise<RolloutStory> {
  const wishes = options.machines ?? MACHINES;
  const w = new World(wishes, 3, options.seed ?? 0);
  w.cloud.capacity = wishes.length;
  const models = withRollouts(w);
  const checker = new RolloutChecker(w, models, MAX_SURGE);
  options.before?.(w);
  await w.start();
  const from = await w.accept({ ...SERVICE, ...options.wish, crate: 'v1' });
  await w.until(() => models.serving(from) === REPLICAS, 60, 'the old version serves');
  const next = w.wish({ ...SERVICE, ...options.wish, crate: 'v2' });
  return { w, models, checker, from, to: next.ref, next };
}

/** The rollout is asked for at one controller, then the new job is submitted. */
export async function start(story: RolloutStory, change: object = {}, node = 0): Promise<void> {
  const { w, from, to } = story;
  const answer = await ask(w, node, (api) => api.start({ ...REQUEST, from, to, ...change }));
  assert.equal(answer.status, 201, JSON.stringify(answer.body));
  await submitNext(story);
}

/** The user of the new job submits it, again and again until it is accepted. */
export async function submitNext({ w, next }: Pick<RolloutStory, 'w' | 'next'>): Promise<void> {
  await w.drive(w.acceptingWished(next));
}

/** The user of the job that lost cancels it; everything else runs, and nothing was broken. */
export async function finish(story: RolloutStory, winner: 'from' | 'to'): Promise<void> {
  const { w, checker } = story;
  const loser = winner === 'from' ? story.to : story.from;
  assert.equal(w.on(loser).length, 0, 'the losing version is gone');
  assert.equal(w.stored(loser), 'open', 'its user has not cancelled it');
  await w.cancel(loser);
  await w.settle();
  await w.close();
  assert.deepEqual([...checker.broken], []);
}
