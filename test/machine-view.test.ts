import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobKind, JobSpec } from '../src/jobs/job.js';
import { ContendedTypes } from '../src/scheduler/contended-types.js';
import { machineCount, provisionedMachines } from '../src/scheduler/machine-view.js';
import { placedCount, placeTasks } from '../src/scheduler/placement.js';
import { ZoneRules } from '../src/scheduler/placement-rules.js';
import type { MachineView } from '../src/scheduler/scheduling-model.js';
import { SeededRandom } from './fakes/random.js';
import { jobView, SPEC, TYPE } from './fakes/samples.js';

const SEEDS = 200;
const JOBS_PER_SEED = 12;
const MACHINES_PER_ZONE = 30;
const ZONES = ['a', 'b'];
const KINDS: JobKind[] = ['array', 'gang', 'service'];

/** Free capacity of each machine, in the order of the views. */
const freeByMachine = (views: MachineView[]): string[] =>
  views.flatMap(({ zone, free, count }) =>
    Array.from({ length: count }, () => JSON.stringify({ zone, free })),
  );

function randomSpec(random: SeededRandom): JobSpec {
  const gpus = random.pick([0, 1, 3, 8]);
  return {
    ...SPEC,
    kind: random.pick(KINDS),
    tasks: Math.ceil(random.between(0, 150)),
    need: { cpus: random.pick([1, 5, 25]), gpus, memoryGb: random.pick([1, 40]) },
    oneZone: random.next() < 0.2,
    spread: random.next() < 0.3,
  };
}

// Guards against views of several machines on which other tasks find room than on the machines alone.
test(`tasks are placed alike on one view of ${MACHINES_PER_ZONE} machines and on as many views (${SEEDS} seeds)`, () => {
  for (let seed = 0; seed < SEEDS; seed++) {
    const random = new SeededRandom(seed);
    const views = (perView: number): MachineView[] =>
      ZONES.flatMap((zone) =>
        Array.from({ length: MACHINES_PER_ZONE / perView }, () =>
          provisionedMachines({ type: TYPE, zone, spot: false }, perView, 'pending', 0),
        ),
      );
    const shared = views(MACHINES_PER_ZONE);
    const single = views(1);
    for (let i = 0; i < JOBS_PER_SEED; i++) {
      const spec = randomSpec(random);
      const job = jobView(`req-${i}`, spec);
      const [onShared, onSingle] = [shared, single].map((machines) => {
        const rules = new ZoneRules(spec, new Map());
        const contended = new ContendedTypes([], [TYPE], []);
        return placedCount(placeTasks(job, spec.tasks, machines, rules, contended));
      });
      assert.equal(onShared, onSingle, `seed ${seed}, job ${i}`);
      assert.deepEqual(freeByMachine(shared), freeByMachine(single), `seed ${seed}, job ${i}`);
    }
    assert.equal(machineCount(shared), ZONES.length * MACHINES_PER_ZONE);
  }
});
