/** Places tasks on free capacity and caches which machine lists have none left for a shape. */
import { fits } from '../fleet/resources.js';
import type { JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';
import type { ContendedTypes } from './contended-types.js';
import { placeTasks, type Placed } from './placement.js';
import { isAllowedOn, schedulingShape, type ZoneRules } from './placement-rules.js';

/** Finds and takes free capacity for the tasks of one scheduling cycle. */
export class CapacityFinder {
  /** For each machine list (by identity), the shapes that no longer fit on any of its machines. */
  private readonly fullShapes = new Map<MachineView[], Set<string>>();
  private readonly suitableByShape = new Map<string, MachineView[]>();

  constructor(
    private readonly upMachines: MachineView[],
    private readonly contended: ContendedTypes,
  ) {}

  /**
   * Places up to `count` tasks of a job. Free capacity only shrinks during a scheduling cycle, so
   * once a machine list has no capacity for a shape, it is not searched again for that shape.
   * Without this cache, a cycle with hundreds of waiting jobs would cost more than handling all
   * heartbeats.
   */
  placeTasks(
    job: JobView,
    count: number,
    rules: ZoneRules,
    machines: MachineView[],
    keepGpuShare = false,
  ): Placed[] {
    if (this.isFull(job.spec, machines)) return [];
    return placeTasks(job, count, machines, rules, this.contended, keepGpuShare);
  }

  /** True if no task of this shape fits on any of the machines; caches the result per list. */
  isFull(spec: JobSpec, machines: MachineView[]): boolean {
    let shapes = this.fullShapes.get(machines);
    if (!shapes) this.fullShapes.set(machines, (shapes = new Set()));
    const shape = schedulingShape(spec);
    if (shapes.has(shape)) return true;
    if (machines.some((machine) => fits(spec.need, machine.free))) return false;
    shapes.add(shape);
    return true;
  }

  /** Returns the machines that are up and would fit a task of this shape when empty. */
  suitableMachines(spec: JobSpec): MachineView[] {
    const shape = schedulingShape(spec);
    let machines = this.suitableByShape.get(shape);
    if (!machines) {
      machines = this.upMachines.filter(
        (machine) =>
          isAllowedOn(spec, machine.type.name, machine.zone, machine.spot) &&
          fits(spec.need, machine.type.capacity),
      );
      this.suitableByShape.set(shape, machines);
    }
    return machines;
  }
}
