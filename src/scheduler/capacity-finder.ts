import { fits } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';
import type { ContendedTypes } from './contended-types.js';
import { placeTasks, type Placed } from './placement.js';
import { isAllowedOn, schedulingShape, type ZoneRules } from './placement-rules.js';

/** Finds room on machines for the tasks of one round, and remembers where there is none left. */
export class CapacityFinder {
  /** For lists of machines: shapes of which no task fits there any more. */
  private readonly full = new Map<MachineView[], Set<string>>();
  private readonly byShape = new Map<string, MachineView[]>();

  constructor(
    private readonly up: MachineView[],
    private readonly contended: ContendedTypes,
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
    return placeTasks(job, count, machines, rules, this.contended, onlyBesideGpus);
  }

  /** True if no task of this shape fits on any of these machines. */
  isFull(spec: JobSpec, machines: MachineView[]): boolean {
    let full = this.full.get(machines);
    if (!full) this.full.set(machines, (full = new Set()));
    const shape = schedulingShape(spec);
    if (full.has(shape)) return true;
    if (machines.some((machine) => fits(spec.need, machine.free))) return false;
    full.add(shape);
    return true;
  }

  /** Machines that are up and may hold a task of this shape, whatever is on them. */
  suitable(spec: JobSpec): MachineView[] {
    const shape = schedulingShape(spec);
    let machines = this.byShape.get(shape);
    if (!machines) {
      machines = this.up.filter(
        (machine) =>
          isAllowedOn(spec, machine.type.name, machine.zone, machine.spot) &&
          fits(spec.need, machine.type.capacity),
      );
      this.byShape.set(shape, machines);
    }
    return machines;
  }
}
