/**
 * A user submits one huge array. The service has to go on serving: no controller may end by itself,
 * and a job that is accepted afterwards has to run.
 */
import { Fleet } from '../lib/fleet.mjs';
import { BROKEN, COULD_NOT_RUN, HELD, hasTrouble, konyvjel, runCase } from '../lib/deployment.mjs';

const SMALL = { crew: 'cataloguing', pieces: 5, vcpus: 4, gpus: 1, memoryGb: 20, runMs: 3000 };

/** CPU-only tasks, more than half a machine each; `pieces` is the most that PROTOCOL allows. */
const HUGE = {
  crew: 'egyetem-lab',
  pieces: 100_000,
  vcpus: 25,
  gpus: 0,
  memoryGb: 20,
  runMs: 60_000,
};

const isDone = ({ phase }) => phase === 'done';

await runCase(new Fleet(konyvjel(import.meta.url)), async (fleet) => {
  await fleet.submit('req-000001', SMALL);
  if (!(await fleet.pollUntil('req-000001', isDone, 20_000))) return COULD_NOT_RUN;
  if (hasTrouble) {
    const answer = await fleet.submit('req-000002', HUGE);
    if (answer?.status !== 201 && answer?.status !== 200) return COULD_NOT_RUN;
  }
  await fleet.until(() => fleet.ends.length > 0, 10_000);
  const answer = await fleet.submit('req-000003', SMALL, { forMs: 15_000 });
  const isAccepted = answer?.status === 201 || answer?.status === 200;
  fleet.record(`the later job was ${isAccepted ? 'accepted' : 'not accepted'}`);
  const isServed = await fleet.pollUntil('req-000003', isDone, 50_000);
  fleet.record(`controllers that ended by themselves: ${fleet.ends.length}`);
  if (fleet.ends.length > 0) return BROKEN;
  return isServed ? HELD : BROKEN;
});
