import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  askQuotaTransfers,
  EIGHT_MACHINES,
  transferPhase,
  withQuotaTransfers,
} from './fakes/quota-checker.js';
import type { FakeWorker, FakeTask } from './fakes/worker.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

/** Machines with as many GPUs as the limits of both teams add up to. */
const TWELVE = [...EIGHT_MACHINES, ...EIGHT_MACHINES.slice(2, 6)];
const TUNING_TASKS = 80;
const SERVICE_TASKS = 16;
const MORE_REPLICAS = 8;

/** Number of machines that send no heartbeat for a fraction of their lease. */
const SILENT_MACHINES = 5;

/** Reduces the limit of the team of the service to what its first replicas need. */
const LOWER_LIMIT = { id: 'm0', from: 'vision', to: 'speech', limit: { gpus: 16 } };
const TRANSFER = {
  id: 'm1',
  from: 'speech',
  to: 'vision',
  guarantee: { gpus: MORE_REPLICAS },
  limit: { gpus: MORE_REPLICAS },
};

interface Scenario {
  cluster: SimulatedCluster;
  tuning: string;
}

/** Starts a cluster in which the limit of the team of the service is what its first replicas need. */
async function startWithLowerLimit(): Promise<SimulatedCluster> {
  const simulatedCluster = new SimulatedCluster(TWELVE, 3);
  simulatedCluster.cloud.capacity = TWELVE.length;
  withQuotaTransfers(simulatedCluster);
  await simulatedCluster.start();
  await submitTransfer(simulatedCluster, LOWER_LIMIT);
  await simulatedCluster.until(
    () => transferPhase(simulatedCluster, 'm0') === 'done',
    60,
    'the limit is reduced',
  );
  return simulatedCluster;
}

/** Starts the first replicas, which use up the limit of their team. */
async function startService(cluster: SimulatedCluster): Promise<void> {
  const service = await cluster.submit({ shape: 'service', pieces: SERVICE_TASKS, runMs: 0 });
  await cluster.until(
    () => cluster.running(service) === SERVICE_TASKS,
    20,
    'the service is running',
  );
}

/** A tuning job and a service occupy all machines, with both teams at their limits. */
async function startScenario(): Promise<Scenario> {
  const cluster = await startWithLowerLimit();
  await startService(cluster);
  const tuning = await cluster.submit({ pieces: TUNING_TASKS, crew: 'speech', runMs: 600_000 });
  await cluster.until(
    () => cluster.running(tuning) === TUNING_TASKS,
    20,
    'all machines are fully occupied',
  );
  // By now all tasks would lose the work between two checkpoints, so the first ones would be stopped.
  await cluster.advance(12);
  return { cluster, tuning };
}

function muteMachines({ cluster, tuning }: Scenario): void {
  cluster.faults.loseHeartbeatsOf(cluster.machinesWith(tuning).slice(0, SILENT_MACHINES));
}

const isBeingStopped = ({ phase }: FakeTask): boolean => phase === 'flushing' || phase === 'ended';

async function submitTransfer(cluster: SimulatedCluster, body: object): Promise<void> {
  const answer = await askQuotaTransfers(cluster, cluster.leader, (api) => api.submit(body));
  assert.equal(answer.status, 201);
}

function runningOn(workers: FakeWorker[], wantedJob: string): number {
  const pieces = workers.flatMap((worker) => worker.pieces);
  return pieces.filter(({ job, phase }) => job === wantedJob && phase === 'running').length;
}

/** Submits more replicas, which exceed the limit of their team until the transfer has raised it. */
async function requestMoreReplicas(cluster: SimulatedCluster): Promise<string> {
  const replicas = await cluster.submit(
    { shape: 'service', pieces: MORE_REPLICAS, runMs: 0 },
    cluster.leader,
  );
  await submitTransfer(cluster, TRANSFER);
  return replicas;
}

/** The replicas get what they need and no more: no task of the tuning job is stopped and started again. */
async function assertNothingElseStopped(
  { cluster, tuning }: Scenario,
  replicas: string,
): Promise<void> {
  await cluster.until(
    () => cluster.running(replicas) === MORE_REPLICAS,
    60,
    'the replicas are running',
  );
  await cluster.advance(5);
  const starts = cluster.starts.filter((start) => start.startsWith(tuning));
  assert.deepEqual(
    [cluster.running(tuning), starts.length],
    [TUNING_TASKS - MORE_REPLICAS, TUNING_TASKS],
  );
  await cluster.close();
}

/** The replicas replace only tasks on machines that send heartbeats. */
async function assertSilentMachinesKeepTasks(scenario: Scenario): Promise<void> {
  const { cluster, tuning } = scenario;
  const silent = cluster.machinesWith(tuning).slice(0, SILENT_MACHINES);
  const before = runningOn(silent, tuning);
  const replicas = await requestMoreReplicas(cluster);
  await cluster.until(() => cluster.running(tuning) < TUNING_TASKS, 20, 'tasks are stopped');
  for (const worker of silent) worker.mute = false;
  assert.equal(runningOn(silent, tuning), before);
  await assertNothingElseStopped(scenario, replicas);
}

async function changeLeader(cluster: SimulatedCluster): Promise<void> {
  const former = cluster.leader;
  cluster.crash(former);
  await cluster.untilAnotherLeads(former, 20);
}

// Guards that a drain stops only tasks on machines that send heartbeats. The fault: tasks on silent machines
// were stopped, and in addition as many on the others.
test(`${SILENT_MACHINES} of ${TWELVE.length} machines are silent for seconds: a drain stops none of their tasks`, async () => {
  const scenario = await startScenario();
  muteMachines(scenario);
  await scenario.cluster.advance(4);
  await assertSilentMachinesKeepTasks(scenario);
});

// Guards that a new leader does not continue a drain before it has heartbeats of the machines: the stop commands
// of the former leader are recorded nowhere else.
test(`the leader crashes during a drain on ${TWELVE.length} machines: the next one stops no more tasks`, async () => {
  const scenario = await startScenario();
  const { cluster, tuning } = scenario;
  const replicas = await requestMoreReplicas(cluster);
  await cluster.until(() => cluster.running(tuning) < TUNING_TASKS, 20, 'tasks are stopped');
  const stopped = cluster.machinesWith(tuning).filter(({ pieces }) => pieces.some(isBeingStopped));
  cluster.faults.loseHeartbeatsOf(stopped);
  await changeLeader(cluster);
  await cluster.advance(1.8);
  for (const worker of stopped) worker.mute = false;
  await assertNothingElseStopped(scenario, replicas);
});

test(`one of ${TWELVE.length} machines is silent: a drain stops a gang of which all machines send heartbeats`, async () => {
  const cluster = await startWithLowerLimit();
  const gangs: string[] = [];
  for (let i = 0; i < TUNING_TASKS / 16; i++) {
    const pair = { shape: 'gang', pieces: 2, gpus: 8, runMs: 600_000 } as const;
    gangs.push(await cluster.submit({ ...pair, crew: 'speech' }));
  }
  await cluster.until(
    () => gangs.every((gang) => cluster.running(gang) === 2),
    60,
    'all gangs are running',
  );
  await startService(cluster);
  await cluster.advance(12);
  const silent = cluster.machinesWith(gangs[0]!)[0]!;
  cluster.faults.loseHeartbeatsOf([silent]);
  await cluster.advance(4);
  const replicas = await requestMoreReplicas(cluster);
  await cluster.until(
    () => gangs.some((gang) => cluster.running(gang) === 0),
    20,
    'a gang is stopped',
  );
  silent.mute = false;
  await cluster.until(
    () => cluster.running(replicas) === MORE_REPLICAS,
    60,
    'the replicas are running',
  );
  assert.equal(cluster.running(gangs[0]!), 2);
  await cluster.close();
});
