import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { deflateSync } from 'node:zlib';
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import { ceilingsOf } from '@leverhatch/rollout/ceilings';
import { InvalidHistogramError, readLatencies } from '@leverhatch/rollout/latencies';
import type { Replica } from '@leverhatch/rollout/ports';
import {
  AddressTemplate,
  HttpReplicaProbe,
  InvalidTemplateError,
} from '@leverhatch/rollout/http-probe';
import { parseProbeAnswer, type ProbeAnswer } from '@leverhatch/rollout/probe';
import { Prober } from '@leverhatch/rollout/prober';
import { ReadinessProofs } from '@leverhatch/rollout/readiness-proofs';
import type { Rollout } from '@leverhatch/rollout/rollout-repository';
import { ComparisonWindow } from '@leverhatch/rollout/verdict';
import { FakeClock } from '../../../test/fakes/clock.js';
import { fakeRandom } from '../../../test/fakes/random.js';
import { httpTransportFactory } from '../../../src/http/client.js';

const REPLICA: Replica = {
  key: 'j/3/2@m#4',
  ...{
    job: 'j',
    task: 3,
    attempt: 2,
    machine: 'm',
    agentEpoch: 4,
    address: '127.0.0.1:9',
    image: 'v',
  },
  ...{ running: true, starting: false, stopping: false },
};

const ANSWER = {
  ...{ job: 'j', task: 3, attempt: 2, session: 4, version: 'v' },
  ...{ requests: 10, errors: 1, latencies: null },
};

test('a probe answer is valid only if it comes from exactly the probed replica', () => {
  assert.ok(parseProbeAnswer(REPLICA, ANSWER));
  assert.ok(parseProbeAnswer(REPLICA, { ...ANSWER, colour: 'red' }), 'unknown fields are ignored');
  for (const change of [
    { job: 'k' },
    { task: 4 },
    { attempt: 1 },
    { session: 3 },
    { version: 'old' },
    { errors: 11 },
    { requests: -1 },
    { requests: 'many' },
    { latencies: 7 },
    { latencies: 'x'.repeat(20_000) },
  ]) {
    assert.equal(parseProbeAnswer(REPLICA, { ...ANSWER, ...change }), null, JSON.stringify(change));
  }
  assert.equal(parseProbeAnswer(REPLICA, null), null);
});

test('three consecutive answers prove a replica until the last one expires', () => {
  const proofs = new ReadinessProofs(1000);
  for (const at of [0, 1000]) proofs.recordAnswer(REPLICA, at);
  assert.ok(!proofs.isProven(REPLICA, 1000));
  proofs.recordAnswer(REPLICA, 2000);
  assert.ok(proofs.isProven(REPLICA, 4500));
  assert.ok(!proofs.isProven(REPLICA, 4501), 'the last answer has expired');
  assert.ok(!proofs.isProven({ ...REPLICA, running: false }, 2000), 'not reported as running');
  assert.ok(!proofs.isProven({ ...REPLICA, stopping: true }, 2000), 'it was told to stop');
  assert.ok(!proofs.isProven({ ...REPLICA, key: 'j/3/3@m#4' }, 2000), 'another start attempt');
  assert.ok(!proofs.isProven({ ...REPLICA, key: 'j/3/2@m#5' }, 2000), 'another agent epoch');
  proofs.recordFailure(REPLICA, 3000);
  assert.ok(!proofs.isProven(REPLICA, 3000), 'one failure');
  for (const at of [4000, 5000, 9000, 10_000]) proofs.recordAnswer(REPLICA, at);
  assert.ok(!proofs.isProven(REPLICA, 10_000), 'answers with a gap are not consecutive');
});

test('the time probed without proof counts from the first probe, and is 0 after a proof', () => {
  const proofs = new ReadinessProofs(1000);
  assert.equal(proofs.probedWithoutProofMs(REPLICA, 9000), 0, 'not probed yet');
  proofs.recordFailure(REPLICA, 1000);
  assert.equal(proofs.probedWithoutProofMs(REPLICA, 9000), 8000);
  proofs.retainOnly(new Set());
  assert.equal(proofs.probedWithoutProofMs(REPLICA, 9000), 0, 'discarded while it was not probed');
  for (const at of [9000, 9500, 10_000]) proofs.recordAnswer(REPLICA, at);
  proofs.recordFailure(REPLICA, 10_500);
  assert.equal(proofs.probedWithoutProofMs(REPLICA, 90_000), 0);
});

test('probes of 500 replicas are spread over the interval and do not exceed the rate', async () => {
  const clock = new FakeClock();
  const replicas = Array.from({ length: 500 }, (_, task) => ({
    ...REPLICA,
    ...{ task, key: `j/${task}` },
  }));
  const perTenth = new Map<number, number>();
  let inFlight = 0;
  let maxInFlight = 0;
  const stop = new AbortController();
  const prober = new Prober({
    clock,
    random: fakeRandom('p', 7),
    settings: { intervalMs: 2000, perSecond: 100 },
    proofs: new ReadinessProofs(2000),
    replicas: () => replicas,
    onAnswer: () => undefined,
    probe: {
      send: async (replica) => {
        const tenth = Math.floor(clock.now() / 100);
        perTenth.set(tenth, (perTenth.get(tenth) ?? 0) + 1);
        maxInFlight = Math.max(maxInFlight, ++inFlight);
        await clock.sleep(300);
        inFlight--;
        return { ...ANSWER, task: replica.task };
      },
    },
  });
  const run = prober.run(stop.signal);
  await clock.advance(20_000);
  const sent = [...perTenth.values()].reduce((a, b) => a + b, 0);
  assert.ok(sent <= 100 * 20 + 50 && sent >= 100 * 15, `${sent} probes in 20 s`);
  assert.ok(Math.max(...perTenth.values()) <= 50 && maxInFlight <= 50);
  stop.abort();
  await clock.advance(1000);
  await run;
});

const encodedHistogram = (values: number[], digits: 1 | 2 | 3 | 4 | 5 = 2): string => {
  const histogram = build({ numberOfSignificantValueDigits: digits });
  for (const value of values) histogram.recordValue(value);
  return encodeIntoCompressedBase64(histogram);
};

const answerWithLoad = (latencyUs: number, requests: number, errors = 0): ProbeAnswer => ({
  ...ANSWER,
  ...{ requests, errors, latencies: encodedHistogram(Array(requests - errors).fill(latencyUs)) },
});

const THRESHOLDS = {
  ...{ judgeSeconds: 10, minSamples: 100, percentile: 95 },
  ...{ maxLatencyRatio: 1.3, maxErrorIncrease: 0.01 },
};

test('verdicts for latency, error rate, insufficient samples and missing replicas', () => {
  const judge = (old: ProbeAnswer, fresh: ProbeAnswer, atMs: number, complete = true) => {
    const window = new ComparisonWindow(0);
    window.add('old', old);
    window.add('new', fresh);
    window.evaluate(THRESHOLDS, 0, complete);
    return window.evaluate(THRESHOLDS, atMs, complete);
  };
  assert.equal(
    judge(answerWithLoad(1000, 200), answerWithLoad(1000, 200), 9000),
    null,
    'the window has not ended',
  );
  const verdicts: [ProbeAnswer, ProbeAnswer, string][] = [
    [answerWithLoad(1000, 200), answerWithLoad(1200, 200), 'better-or-same'],
    [answerWithLoad(1000, 200), answerWithLoad(500, 200), 'better-or-same'],
    [answerWithLoad(1000, 200), answerWithLoad(1500, 200), 'worse'],
    [answerWithLoad(1000, 200), answerWithLoad(1000, 200, 8), 'worse'],
    [answerWithLoad(1000, 200, 8), answerWithLoad(1000, 200, 9), 'better-or-same'],
  ];
  for (const [old, fresh, verdict] of verdicts) {
    assert.equal(judge(old, fresh, 10_000)!.verdict, verdict);
  }
  assert.equal(
    judge(answerWithLoad(1000, 200), answerWithLoad(1000, 50), 10_000),
    null,
    'enough samples may still arrive',
  );
  assert.equal(
    judge(answerWithLoad(1000, 200), answerWithLoad(1000, 50), 30_000)!.verdict,
    'undecided',
  );
  assert.equal(
    judge(answerWithLoad(1000, 200), answerWithLoad(1000, 50), 99_000, false),
    null,
    'time with missing replicas does not count',
  );
  assert.equal(
    judge(answerWithLoad(1000, 200), answerWithLoad(1000, 50), 100_000, false)!.verdict,
    'undecided',
  );
});

test('invalid histograms and those that would take too much memory are rejected', () => {
  assert.equal(readLatencies(encodedHistogram([100, 200, 300])).totalCount, 3);
  const zipBomb = Buffer.concat([Buffer.alloc(8), deflateSync(Buffer.alloc(8 * 1024 * 1024))]);
  for (const text of ['', 'nonsense', encodedHistogram([100], 5), zipBomb.toString('base64')]) {
    assert.throws(() => readLatencies(text), InvalidHistogramError);
  }
  assert.equal(new ComparisonWindow(0).add('new', { ...ANSWER, latencies: 'nonsense' }), false);
});

test('probe addresses are built from the template, and an invalid template is rejected', () => {
  const template = new AddressTemplate('http://{host}:9100/r/{job}/{task}/{attempt}');
  const replica = { ...REPLICA, address: '10.1.0.5:9000', job: 'a/b' };
  assert.equal(template.of(replica).href, 'http://10.1.0.5:9100/r/a%2Fb/3/2');
  assert.equal(new AddressTemplate('http://{address}/x').of(replica).host, '10.1.0.5:9000');
  for (const bad of ['', 'nonsense', 'https://{host}:1/', 'http://{host}/x', 'http://{rack}:1/x']) {
    assert.throws(() => new AddressTemplate(bad), InvalidTemplateError, bad);
  }
});

test('HTTP probes reuse their connection, and reject on an error status, a timeout or a missing address', async () => {
  let connections = 0;
  let status = 200;
  const server = createServer((request, response) => {
    if (request.url?.endsWith('/9/2')) return;
    response.writeHead(status).end(JSON.stringify(ANSWER));
  });
  server.on('connection', () => connections++);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const limits = { sockets: 4, maxResponseBytes: 1024, keepIdleMs: 5000 };
  const template = new AddressTemplate(`http://{host}:${port}/r/{job}/{task}/{attempt}`);
  const probe = new HttpReplicaProbe(template, httpTransportFactory(limits));
  const { signal } = new AbortController();
  for (let i = 0; i < 3; i++) assert.deepEqual(await probe.send(REPLICA, 1000, signal), ANSWER);
  assert.equal(connections, 1);
  await assert.rejects(probe.send({ ...REPLICA, task: 9 }, 100, signal), 'no answer in time');
  status = 500;
  await assert.rejects(probe.send(REPLICA, 1000, signal), /500/);
  await assert.rejects(probe.send({ ...REPLICA, address: null }, 1000, signal));
  server.close();
  server.closeAllConnections();
});

test('ceilings are derived from the records, and the latest rollout of a job determines its ceiling', () => {
  const rollout = (id: string, version: number, status: object | null, jobs: object): Rollout =>
    ({
      id,
      spec: { record: { id, ...jobs }, version },
      status: status && { record: { id, ...jobs, ...status }, version },
    }) as Rollout;
  const forward = { from: 'a', to: 'b' };
  const back = { from: 'b', to: 'a' };
  const done = { phase: 'done', ceilings: { from: 0, to: null } };
  const of = (...rollouts: Rollout[]): Record<string, number> =>
    Object.fromEntries(ceilingsOf(rollouts, () => 5));
  assert.deepEqual(of(rollout('r1', 1, null, forward)), { b: 0 }, 'requested only');
  assert.deepEqual(of(rollout('r1', 1, done, forward)), { a: 0 });
  const surging = { phase: 'surging', ceilings: { from: 8, to: 2 } };
  assert.deepEqual(of(rollout('r1', 1, done, forward), rollout('r2', 2, surging, back)), {
    b: 8,
    a: 2,
  });
  assert.deepEqual(of(rollout('r1', 1, done, forward), rollout('r2', 2, done, back)), { b: 0 });
  const refused = { phase: 'refused', ceilings: { from: null, to: null } };
  assert.deepEqual(of(rollout('r1', 1, done, forward), rollout('r2', 2, refused, back)), { a: 0 });
  const broken = { ...rollout('r1', 1, null, forward), status: { record: null, version: 3 } };
  assert.deepEqual(of(broken), { a: 5, b: 5 }, 'limited to the placed replicas');
});
