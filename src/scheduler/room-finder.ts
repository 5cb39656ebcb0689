import { fits } from '../fleet/types.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './model.js';
import {
  allows,
  place,
  shapeOf,
  type Placed,
  type ScarceTypes,
  type ZoneRules,
} from './placement.js';

/** Finds room on machines for the tasks of one round, and remembers where there is none left. */
export class RoomFinder {
  /** For lists of machines: shapes of which no task fits there any more. */
  private readonly full = new Map<MachineView[], Set<string>>();
  private readonly byShape = new Map<string, MachineView[]>();

  constructor(
    private readonly up: MachineView[],
    private readonly scarce: ScarceTypes,
  ) {}

  /**
   * Room for tasks of a job. Free room only shrinks while a round goes on, so once machines have
   * none for a shape, no other job of that shape looks there again: with hundreds of jobs waiting,
   * a round would else cost more than all reports.
   */
  find(
    job: JobView,
    count: number,
    rules: ZoneRules,
    machines: MachineView[],
    onlyBesideGpus = false,
  ): Placed[] {
    if (this.isFull(job.spec, machines)) return [];
    return place(job, count, machines, rules, this.scarce, onlyBesideGpus);
  }

  /** True if no task of this shape fits on any of these machines. */
  isFull(spec: JobSpec, machines: MachineView[]): boolean {
    let full = this.full.get(machines);
    if (!full) this.full.set(machines, (full = new Set()));
    const shape = shapeOf(spec);
    if (full.has(shape)) return true;
    if (machines.some((m) => fits(spec.need, m.free))) return false;
    full.add(shape);
    return true;
  }

  /** Machines that are up and may hold a task of this shape, whatever is on them. */
  suitable(spec: JobSpec): MachineView[] {
    const shape = shapeOf(spec);
    let machines = this.byShape.get(shape);
    if (!machines) {
      machines = this.up.filter(
        (m) => allows(spec, m.type.name, m.zone, m.spot) && fits(spec.need, m.type.room),
      );
      this.byShape.set(shape, machines);
    }
    return machines;
  }
}
