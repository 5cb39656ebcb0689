import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR_MACHINES = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/**
 * The moments between the last task of a job and the first task of the next job, which depends on
 * it. The seed of each test depends on the lengths of these texts and of the keys of `FAULTS`.
 */
const MOMENTS = [
  'the last task ends',
  'its report has come',
  'its end is written',
  'its end is stored',
  'the start of the next is written',
  'the start of the next is stored',
  'the next has begun',
] as const;
type Moment = (typeof MOMENTS)[number];

/** Calls `callback` once at `moment`; a write at that moment gets no response and is applied late. */
function runAtMoment(
  cluster: SimulatedCluster,
  moment: Moment,
  [first, next]: [string, string],
  callback: () => void,
): void {
  let called = false;
  const callOnce = (): void => {
    if (!called) callback();
    called = true;
  };
  cluster.onDone = ({ job }) => {
    if (job !== first || cluster.tasksOf(first).length > 0) return;
    if (moment === 'the last task ends') callOnce();
    if (moment === 'its report has come') void cluster.clock.sleep(4).then(callOnce);
  };
  const writeTexts: Partial<Record<Moment, string>> = {
    'its end is written': `"write":"jobs/${first}"`,
    'the start of the next is written': `"write":"runs/${next}/`,
  };
  const text = writeTexts[moment];
  const { leader } = cluster;
  if (text !== undefined) {
    cluster.nodes[leader]!.storeOutcome = (_m, path, body) => {
      if (called || path !== '/txn' || !JSON.stringify(body).includes(text)) return 'serve';
      callOnce();
      // The write gets no response and is applied long afterwards.
      return { applyAfterMs: 9000 };
    };
  }
  const { onWrite } = cluster.store;
  cluster.store.onWrite = (key) => {
    onWrite(key);
    if (
      moment === 'its end is stored' &&
      key === `jobs/${first}` &&
      cluster.storedPhase(first) === 'done'
    ) {
      callOnce();
    }
    if (moment === 'the start of the next is stored' && key.startsWith(`runs/${next}/`)) callOnce();
  };
  if (moment === 'the next has begun') {
    void cluster
      .until(() => cluster.tasksOf(next).length > 0, 60, 'the dependent job starts')
      .then(callOnce, () => undefined);
  }
}

/** The fault that is injected at that moment; the lengths of the keys are part of the seed. */
const FAULTS: Record<string, (cluster: SimulatedCluster, leader: number) => void> = {
  'the leader ends and comes back': (cluster, leader) => {
    cluster.crash(leader);
    void cluster.clock.sleep(2500).then(() => cluster.restart(leader));
  },
  'the leader is refused by the store': (cluster, leader) => {
    cluster.faults.refuse(leader);
    void cluster.clock.sleep(15_000).then(() => cluster.faults.serve(leader));
  },
  'the leader stands still': (cluster, leader) => cluster.freeze(leader, 8000),
  'the store is out': (cluster) => {
    cluster.faults.startStoreOutage();
    void cluster.clock.sleep(7000).then(() => cluster.faults.endStoreOutage());
  },
};

for (const moment of MOMENTS) {
  for (const [fault, injectFault] of Object.entries(FAULTS)) {
    test(`when ${moment}, ${fault}`, async () => {
      const simulatedCluster = new SimulatedCluster(FOUR_MACHINES, 3, moment.length + fault.length);
      await simulatedCluster.start();
      void simulatedCluster.startQueries();
      simulatedCluster.faults.share.lateReports = 0.3;
      simulatedCluster.faults.share.reportsForNext = 0.3;
      simulatedCluster.faults.copyToAllControllers = true;
      const first = await simulatedCluster.accept({ pieces: 3, runMs: 5000, fetchMs: 500 });
      const next = await simulatedCluster.accept({
        pieces: 3,
        runMs: 5000,
        fetchMs: 500,
        waitsOn: [first],
      });
      const gangTemplate = { shape: 'gang', pieces: 2, runMs: 4000, fetchMs: 500 } as const;
      const last = await simulatedCluster.accept({
        ...gangTemplate,
        crew: 'speech',
        waitsOn: [next],
      });
      const { leader } = simulatedCluster;
      let reached = false;
      runAtMoment(simulatedCluster, moment, [first, next], () => {
        reached = true;
        void simulatedCluster.queryEverywhere(first);
        injectFault(simulatedCluster, leader);
      });
      await simulatedCluster.until(() => reached, 60, moment);
      await simulatedCluster.advance(25);
      await simulatedCluster.waitUntilSettled();
      assert.equal(simulatedCluster.storedPhase(last), 'done');
      await simulatedCluster.close();
    });
  }
}
