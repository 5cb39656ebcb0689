import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster.js';

const FOUR = [{ yard: 'a' }, { yard: 'a' }, { yard: 'b' }, { yard: 'b' }];

/** The moments between the last task of a job and the first of the one that needs it. */
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

/** Calls `then` once, as the moment comes; `write` decides what becomes of a write that is the moment. */
function at(
  cluster: SimulatedCluster,
  moment: Moment,
  [first, next]: [string, string],
  then: () => void,
): void {
  let over = false;
  const once = (): void => {
    if (!over) then();
    over = true;
  };
  cluster.onDone = ({ job }) => {
    if (job !== first || cluster.on(first).length > 0) return;
    if (moment === 'the last task ends') once();
    if (moment === 'its report has come') void cluster.clock.sleep(4).then(once);
  };
  const written: Partial<Record<Moment, string>> = {
    'its end is written': `"write":"jobs/${first}"`,
    'the start of the next is written': `"write":"runs/${next}/`,
  };
  const text = written[moment];
  const { leader } = cluster;
  if (text !== undefined) {
    cluster.nodes[leader]!.fate = (_m, path, body) => {
      if (over || path !== '/txn' || !JSON.stringify(body).includes(text)) return 'serve';
      once();
      // Nobody hears of it; it comes to the store long after.
      return { applyAfterMs: 9000 };
    };
  }
  const { onWrite } = cluster.store;
  cluster.store.onWrite = (key) => {
    onWrite(key);
    if (
      moment === 'its end is stored' &&
      key === `jobs/${first}` &&
      cluster.stored(first) === 'done'
    ) {
      once();
    }
    if (moment === 'the start of the next is stored' && key.startsWith(`runs/${next}/`)) once();
  };
  if (moment === 'the next has begun') {
    void cluster
      .until(() => cluster.on(next).length > 0, 60, 'the next begins')
      .then(once, () => undefined);
  }
}

/** What becomes of the leader at that moment. */
const ENDS: Record<string, (cluster: SimulatedCluster, leader: number) => void> = {
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
    cluster.faults.outage();
    void cluster.clock.sleep(7000).then(() => cluster.faults.outageOver());
  },
};

for (const moment of MOMENTS) {
  for (const [what, end] of Object.entries(ENDS)) {
    test(`as ${moment}, ${what}`, async () => {
      const simulatedCluster = new SimulatedCluster(FOUR, 3, moment.length + what.length);
      await simulatedCluster.start();
      void simulatedCluster.keepAsking();
      simulatedCluster.faults.share.lateReports = 0.3;
      simulatedCluster.faults.share.reportsForNext = 0.3;
      simulatedCluster.faults.copiesEverywhere = true;
      const first = await simulatedCluster.accept({ pieces: 3, runMs: 5000, fetchMs: 500 });
      const next = await simulatedCluster.accept({
        pieces: 3,
        runMs: 5000,
        fetchMs: 500,
        waitsOn: [first],
      });
      const gang = { shape: 'gang', pieces: 2, runMs: 4000, fetchMs: 500 } as const;
      const last = await simulatedCluster.accept({ ...gang, crew: 'speech', waitsOn: [next] });
      const { leader } = simulatedCluster;
      let came = false;
      at(simulatedCluster, moment, [first, next], () => {
        came = true;
        void simulatedCluster.queryEverywhere(first);
        end(simulatedCluster, leader);
      });
      await simulatedCluster.until(() => came, 60, moment);
      await simulatedCluster.pass(25);
      await simulatedCluster.settle();
      assert.equal(simulatedCluster.stored(last), 'done');
      await simulatedCluster.close();
    });
  }
}
