import assert from 'node:assert/strict';
import type { OperatorResponse } from '@leverhatch/operators/operator-response';
import type { RolloutApi } from '@leverhatch/rollout';
import { machines } from './fault-scenario.js';
import type { ModelServers } from './model-servers.js';
import { writes } from './observe.js';
import { askUntilServed } from './operators.js';
import { RolloutChecker, rolloutApi, rolloutStatus, withRollouts } from './rollout-checker.js';
import { SimulatedCluster, type JobTemplate, type MachineTemplate } from './simulated-cluster.js';

/** Four machines with eight GPUs each: room for both jobs, of eight replicas with two GPUs each. */
const MACHINES = machines('aabb');
export const REPLICAS = 8;
export const MAX_SURGE = 2;

/** A rollout with short windows, which keeps scenarios short. */
export const REQUEST = {
  id: 'r1',
  steps: [0.25, 1],
  maxSurge: MAX_SURGE,
  readySeconds: 20,
  judgeSeconds: 6,
  minSamples: 100,
};

export interface RolloutScenario {
  w: SimulatedCluster;
  models: ModelServers;
  checker: RolloutChecker;
  from: string;
  to: string;
  /** The new job, which has not been submitted yet. */
  next: { ref: string; body: object };
}

export interface RolloutScenarioOptions {
  seed?: number;
  machines?: MachineTemplate[];
  /** Prepares the cluster before any controller starts. */
  before?(cluster: SimulatedCluster): void;
  /** Overrides for the templates of both jobs. */
  template?: JobTemplate;
}

const SERVICE: JobTemplate = {
  shape: 'service',
  pieces: REPLICAS,
  gpus: 2,
  runMs: 0,
  crew: 'speech',
  urgency: 'production',
};

/** Sends a request to one controller, and retries while it does not serve. */
export function ask(
  cluster: SimulatedCluster,
  node: number,
  request: (api: RolloutApi) => Promise<OperatorResponse>,
): Promise<OperatorResponse> {
  return askUntilServed(cluster, () => {
    const api = rolloutApi(cluster, node);
    return api && request(api);
  });
}

export const phaseOf = (cluster: SimulatedCluster, id = 'r1'): string | undefined =>
  rolloutStatus(cluster, id)?.phase;

export const untilPhase = (
  cluster: SimulatedCluster,
  phase: string,
  seconds = 150,
  id = 'r1',
): Promise<void> =>
  cluster.until(() => phaseOf(cluster, id) === phase, seconds, `${id} is ${phase}`);

/** Whether a transaction writes the status of a rollout in this phase. */
export const writesPhase = (body: unknown, phase: string): boolean =>
  writes(body, 'rollouts/status/') && JSON.stringify(body).includes(`"phase":"${phase}"`);

/** Starts three controllers and the old version of the service. */
export async function startScenario(
  options: RolloutScenarioOptions = {},
): Promise<RolloutScenario> {
  const templates = options.machines ?? MACHINES;
  const simulatedCluster = new SimulatedCluster(templates, 3, options.seed ?? 0);
  simulatedCluster.cloud.capacity = templates.length;
  const models = withRollouts(simulatedCluster);
  const checker = new RolloutChecker(simulatedCluster, models, MAX_SURGE);
  options.before?.(simulatedCluster);
  await simulatedCluster.start();
  const from = await simulatedCluster.accept({ ...SERVICE, ...options.template, crate: 'v1' });
  await simulatedCluster.until(
    () => models.serving(from) === REPLICAS,
    60,
    'the old version serves',
  );
  const next = simulatedCluster.createSubmission({ ...SERVICE, ...options.template, crate: 'v2' });
  return { w: simulatedCluster, models, checker, from, to: next.ref, next };
}

/** Requests the rollout at one controller, then submits the new job. */
export async function startRollout(
  scenario: RolloutScenario,
  overrides: object = {},
  node = 0,
): Promise<void> {
  const { w: cluster, from, to } = scenario;
  const answer = await ask(cluster, node, (api) =>
    api.start({ ...REQUEST, from, to, ...overrides }),
  );
  assert.equal(answer.status, 201, JSON.stringify(answer.body));
  await submitNext(scenario);
}

/** Submits the new job, with retries until it is accepted. */
export async function submitNext({
  w: cluster,
  next,
}: Pick<RolloutScenario, 'w' | 'next'>): Promise<void> {
  await cluster.drive(cluster.acceptSubmissionInBackground(next));
}

/** Cancels the losing job, and checks that all else runs and no check of the rollout failed. */
export async function finishScenario(
  scenario: RolloutScenario,
  winner: 'from' | 'to',
): Promise<void> {
  const { w: cluster, checker } = scenario;
  const loser = winner === 'from' ? scenario.to : scenario.from;
  assert.equal(cluster.tasksOf(loser).length, 0, 'the losing version is gone');
  assert.equal(
    cluster.storedPhase(loser),
    'open',
    'the user of the losing version has not cancelled it yet',
  );
  await cluster.cancel(loser);
  await cluster.waitUntilSettled();
  await cluster.close();
  assert.deepEqual([...checker.violations], []);
}
