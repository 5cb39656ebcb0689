import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StopCommandSender } from '../src/fleet/stop-command-sender.js';
import { Machine } from '../src/fleet/machine.js';
import type { Transport } from '../src/http/client.js';
import { Term } from '../src/election/term.js';
import { MessageErrors } from '../src/runtime/message-errors.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import { FakeClock } from './fakes/clock.js';
import { leaderOf } from './fakes/leader.js';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const fail = (): never => {
  throw new RangeError('broken');
};

/** A running cluster whose job has a task on a machine. */
async function clusterWithJob(): Promise<{ cluster: SimulatedCluster; job: string }> {
  const cluster = new SimulatedCluster([{ yard: 'a' }, { yard: 'a' }], 3);
  await cluster.start();
  const job = await cluster.submit({ pieces: 2, runMs: 30_000 });
  await cluster.until(() => cluster.running(job) === 2, 10, 'runs');
  return { cluster, job };
}

const failuresIn = (cluster: SimulatedCluster): object[] =>
  cluster.logged.filter((line) => JSON.stringify(line).includes('message handling failed'));

test('errors of handlers are logged with the message and counted by its kind', async () => {
  const logged: object[] = [];
  const errors = new MessageErrors({ error: (fields) => logged.push(fields) });
  const message = { message: 'heartbeat', machine: 'host-1' };
  assert.equal(
    errors.handle(message, fail, () => 1),
    1,
  );
  assert.equal(
    await errors.handle(
      message,
      () => Promise.reject(new Error('late')),
      () => 2,
    ),
    2,
  );
  assert.equal(
    errors.handle({ message: 'cancellation', job: 'req-1' }, fail, () => 3),
    3,
  );
  assert.equal(
    errors.handle(
      message,
      () => 4,
      () => 0,
    ),
    4,
  );
  assert.deepEqual(
    logged.map((fields) => ({ ...fields, stack: undefined })),
    [
      { ...message, error: 'RangeError: broken', stack: undefined, count: 1 },
      { ...message, error: 'Error: late', stack: undefined, count: 2 },
      {
        ...{ message: 'cancellation', job: 'req-1', error: 'RangeError: broken' },
        ...{ stack: undefined, count: 1 },
      },
    ],
  );
});

// Guards against a leader that goes on with half of a heartbeat applied, and against the end of its process.
test('a leader that fails to apply a heartbeat resigns, and the next one finishes the job', async () => {
  const { cluster, job } = await clusterWithJob();
  const former = cluster.leader;
  leaderOf(cluster).fleet.applyHeartbeat = fail;
  await cluster.untilAnotherLeads(former, 20);
  assert.equal(failuresIn(cluster).length > 0, true);
  assert.match(JSON.stringify(failuresIn(cluster)[0]), /"message":"heartbeat","machine":"host-/);
  await cluster.until(() => cluster.storedPhase(job) === 'done', 60, 'the job is done');
  assert.ok(cluster.nodes[former]!.controller, 'its process goes on');
  await cluster.close();
});

test('a leader that fails to apply an announced cancellation resigns; the user is told all the same', async () => {
  const { cluster, job } = await clusterWithJob();
  const former = cluster.leader;
  leaderOf(cluster).jobRecords.onCancellationAnnounced = fail;
  assert.equal(await cluster.cancel(job, former), 'withdrawn');
  await cluster.untilAnotherLeads(former, 20);
  assert.match(JSON.stringify(failuresIn(cluster)[0]), new RegExp(`"job":"${job}"`));
  await cluster.until(() => cluster.tasksOf(job).length === 0, 30, 'its tasks are stopped');
  await cluster.close();
});

test('a leader that fails to apply an answer of the cloud resigns', async () => {
  for (const answer of ['applyListing', 'confirmReleased'] as const) {
    const { cluster, job } = await clusterWithJob();
    const former = cluster.leader;
    const { reconciler, provisioner } = leaderOf(cluster);
    reconciler[answer] = fail;
    const [idle] = [...cluster.workers.values()].filter(({ pieces }) => pieces.length === 0);
    if (idle) provisioner.release(idle.id);
    else provisioner.release([...cluster.workers.keys()][0]!);
    await cluster.untilAnotherLeads(former, 30);
    assert.equal(failuresIn(cluster).length > 0, true, answer);
    await cluster.until(() => cluster.storedPhase(job) === 'done', 200, 'the job is done');
    await cluster.close();
  }
});

// Guards against an error in a subscriber, which rxjs rethrows where it ends the process.
test('a message of another controller that cannot be handled affects no other message', async () => {
  const { cluster, job } = await clusterWithJob();
  const [voter] = cluster.nodes.keys();
  const { controller } = cluster.nodes[voter!]!;
  const parts = controller as unknown as { peerAnnouncements: { receive: () => void } };
  const { receive } = parts.peerAnnouncements;
  let failures = 0;
  parts.peerAnnouncements.receive = (...message: []) => {
    if (failures++ < 3) fail();
    receive.apply(parts.peerAnnouncements, message);
  };
  await cluster.until(() => cluster.storedPhase(job) === 'done', 60, 'the job is done');
  assert.equal(failuresIn(cluster).length, 3);
  await cluster.close();
});

// Guards against a rejection that nobody handles, and against a count of requests that never falls.
test('a stop that cannot be sent at all fails alone', async () => {
  const warnings: object[] = [];
  const log = { debug() {}, warn: (fields: object) => warnings.push(fields) };
  const runtime = { clock: new FakeClock(), log } as unknown as Runtime;
  const term = new Term('t', 1, 0, Infinity);
  const requests: string[] = [];
  const transportTo = (address: string): Transport => {
    if (address === 'no address') fail();
    requests.push(address);
    return { request: () => Promise.reject(new TypeError('no socket')) };
  };
  const maxInFlight = 1;
  const sender = new StopCommandSender(transportTo, runtime, term, 1000, maxInFlight, fail);
  const machine = new Machine('host-1', 0);
  for (const address of ['no address', 'host-1:9000', 'host-1:9001']) {
    machine.address = address;
    sender.add(machine, { kind: 'stop', job: 'req-1', task: 0, attempt: 1, graceMs: 0 });
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.deepEqual(requests, ['host-1:9000', 'host-1:9001']);
  assert.deepEqual(
    warnings.map((fields) => (fields as { error: string }).error),
    ['RangeError: broken', 'TypeError: no socket', 'TypeError: no socket'],
  );
});
