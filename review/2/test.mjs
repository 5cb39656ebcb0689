/**
 * A user submits one huge array of tiny tasks. No answer to a worker may contain a line of more
 * than 64 KiB, and the work that runs on the machines already has to go on.
 */
import { Fleet } from '../lib/fleet.mjs';
import { BROKEN, COULD_NOT_RUN, HELD, hasTrouble, konyvjel, runCase } from '../lib/deployment.mjs';

const MAX_LINE_BYTES = 64 * 1024;

const REPLICAS = {
  crew: 'cataloguing',
  shape: 'service',
  urgency: 'production',
  pieces: 4,
  vcpus: 8,
  gpus: 2,
  memoryGb: 40,
};

const HUGE = {
  crew: 'egyetem-lab',
  urgency: 'best_effort',
  pieces: 8000,
  vcpus: 0.02,
  memoryGb: 0.05,
  runMs: 20_000,
};

let longestLine = 0;
let killedReplicas = 0;
const hooks = {
  onAnswer: (worker, bytes) => {
    if (bytes > MAX_LINE_BYTES)
      fleet.record(`${worker.ref}: an answer with a line of ${bytes} bytes`);
    longestLine = Math.max(longestLine, bytes);
  },
  onLeaseEnd: (worker, pieces) => {
    killedReplicas += pieces.filter(({ ref }) => ref === 'req-000001').length;
  },
};
const fleet = new Fleet(konyvjel(import.meta.url, { hooks }));

await runCase(fleet, async () => {
  await fleet.submit('req-000001', REPLICAS);
  if (!(await fleet.pollUntil('req-000001', ({ running }) => running === 4, 30_000)))
    return COULD_NOT_RUN;
  if (hasTrouble) {
    const answer = await fleet.submit('req-000002', HUGE);
    if (answer?.status !== 201 && answer?.status !== 200) return COULD_NOT_RUN;
    const isDone = await fleet.pollUntil('req-000002', ({ phase }) => phase === 'done', 60_000);
    fleet.record(`the huge array was ${isDone ? '' : 'not '}done`);
  } else await fleet.pollUntil('req-000001', () => false, 10_000);
  fleet.record(`longest line in an answer to a worker: ${longestLine} bytes`);
  fleet.record(`replicas that ended with their worker's lease: ${killedReplicas}`);
  return longestLine > MAX_LINE_BYTES ? BROKEN : HELD;
});
