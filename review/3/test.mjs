/**
 * A user submits a large gang with a mistake, a wrong image say: each of its tasks fails on its
 * machine soon after its start. No controller may end by itself.
 */
import { setTimeout } from 'node:timers';
import { Fleet } from '../lib/fleet.mjs';
import {
  BROKEN,
  COULD_NOT_RUN,
  HELD,
  hasTrouble,
  konyvjel,
  machines,
  runCase,
} from '../lib/deployment.mjs';

const SMALL = { crew: 'cataloguing', pieces: 5, vcpus: 0.5, gpus: 1, memoryGb: 2, runMs: 2000 };

const GANG = {
  crew: 'cataloguing',
  shape: 'gang',
  pieces: 6000,
  vcpus: 0.1,
  memoryGb: 0.2,
  fetchMs: 300,
  runMs: 5000,
};

const FAILS_AFTER_MS = 300;

let failures = 0;
const hooks = {
  onLaunch: (worker, piece) => {
    if (!hasTrouble || piece.ref !== 'req-000002') return;
    setTimeout(() => {
      failures++;
      worker.end(piece, 'error');
    }, FAILS_AFTER_MS);
  },
};
const fleet = new Fleet(konyvjel(import.meta.url, { hooks, machines: machines(14), capacity: 14 }));

await runCase(fleet, async () => {
  const isDone = ({ phase }) => phase === 'done';
  await fleet.submit('req-000001', SMALL);
  if (!(await fleet.pollUntil('req-000001', isDone, 30_000))) return COULD_NOT_RUN;
  const answer = await fleet.submit('req-000002', GANG);
  if (answer?.status !== 201 && answer?.status !== 200) return COULD_NOT_RUN;
  const isServed = await fleet.pollUntil('req-000002', isDone, 60_000);
  fleet.record(`the gang was ${isServed ? '' : 'not '}done, ${failures} of its starts failed`);
  fleet.record(`controllers that ended by themselves: ${fleet.ends.length}`);
  if (hasTrouble && failures === 0) return COULD_NOT_RUN;
  return fleet.ends.length > 0 ? BROKEN : HELD;
});
