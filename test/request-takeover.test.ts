import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './fakes/world.js';

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
function at(w: World, moment: Moment, [first, next]: [string, string], then: () => void): void {
  let over = false;
  const once = (): void => {
    if (!over) then();
    over = true;
  };
  w.onDone = ({ job }) => {
    if (job !== first || w.on(first).length > 0) return;
    if (moment === 'the last task ends') once();
    if (moment === 'its report has come') void w.clock.sleep(4).then(once);
  };
  const written: Partial<Record<Moment, string>> = {
    'its end is written': `"write":"jobs/${first}"`,
    'the start of the next is written': `"write":"runs/${next}/`,
  };
  const text = written[moment];
  const { leader } = w;
  if (text !== undefined) {
    w.nodes[leader]!.fate = (_m, path, body) => {
      if (over || path !== '/txn' || !JSON.stringify(body).includes(text)) return 'serve';
      once();
      // Nobody hears of it; it comes to the store long after.
      return { applyAfterMs: 9000 };
    };
  }
  const { onWrite } = w.store;
  w.store.onWrite = (key) => {
    onWrite(key);
    if (moment === 'its end is stored' && key === `jobs/${first}` && w.stored(first) === 'done') {
      once();
    }
    if (moment === 'the start of the next is stored' && key.startsWith(`runs/${next}/`)) once();
  };
  if (moment === 'the next has begun') {
    void w.until(() => w.on(next).length > 0, 60, 'the next begins').then(once, () => undefined);
  }
}

/** What becomes of the leader at that moment. */
const ENDS: Record<string, (w: World, leader: number) => void> = {
  'the leader ends and comes back': (w, leader) => {
    w.crash(leader);
    void w.clock.sleep(2500).then(() => w.restart(leader));
  },
  'the leader is refused by the store': (w, leader) => {
    w.trouble.refuse(leader);
    void w.clock.sleep(15_000).then(() => w.trouble.serve(leader));
  },
  'the leader stands still': (w, leader) => w.freeze(leader, 8000),
  'the store is out': (w) => {
    w.trouble.outage();
    void w.clock.sleep(7000).then(() => w.trouble.outageOver());
  },
};

for (const moment of MOMENTS) {
  for (const [what, end] of Object.entries(ENDS)) {
    test(`as ${moment}, ${what}`, async () => {
      const w = new World(FOUR, 3, moment.length + what.length);
      await w.start();
      void w.keepAsking();
      w.trouble.share.lateReports = 0.3;
      w.trouble.share.reportsForNext = 0.3;
      w.trouble.copiesEverywhere = true;
      const first = await w.accept({ pieces: 3, runMs: 5000, fetchMs: 500 });
      const next = await w.accept({ pieces: 3, runMs: 5000, fetchMs: 500, waitsOn: [first] });
      const gang = { shape: 'gang', pieces: 2, runMs: 4000, fetchMs: 500 } as const;
      const last = await w.accept({ ...gang, crew: 'speech', waitsOn: [next] });
      const { leader } = w;
      let came = false;
      at(w, moment, [first, next], () => {
        came = true;
        void w.lookClosely(first);
        end(w, leader);
      });
      await w.until(() => came, 60, moment);
      await w.pass(25);
      await w.settle();
      assert.equal(w.stored(last), 'done');
      await w.close();
    });
  }
}
