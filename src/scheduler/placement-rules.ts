/** Rules on the machines and zones that a job's tasks may use, regardless of free capacity. */
import { spreadLimit, type JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** True if the job's spec allows a machine of this type, zone and spot status. */
export function isAllowedOn(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

/** True if the job's spec allows this machine and the job does not avoid it after a failure. */
export function canUse(job: JobView, machine: MachineView): boolean {
  return (
    isAllowedOn(job.spec, machine.type.name, machine.zone, machine.spot) &&
    !job.avoidedMachines.has(machine.id)
  );
}

const shapes = new WeakMap<JobSpec, string>();

/**
 * Returns a key for everything that decides which machines fit; jobs with equal keys fit the same.
 */
export function schedulingShape(spec: JobSpec): string {
  let shape = shapes.get(spec);
  if (shape === undefined) {
    const { cpus, gpus, memoryGb } = spec.need;
    shape = `${cpus}/${gpus}/${memoryGb}/${spec.types?.join(',') ?? '*'}/${spec.zone ?? '*'}/${spec.spot}`;
    shapes.set(spec, shape);
  }
  return shape;
}

/** Tracks how many more tasks of one job each zone may hold, updated with every placement. */
export class ZoneRules {
  private readonly tasksByZone: Map<string, number>;
  private readonly maxPerZone: number;

  /** @param onlyZone the only zone to use, or null for any that the rules allow */
  constructor(
    private readonly spec: JobSpec,
    tasksByZone: ReadonlyMap<string, number>,
    private readonly onlyZone: string | null = null,
  ) {
    this.tasksByZone = new Map(tasksByZone);
    this.maxPerZone = spec.spread ? spreadLimit(spec.tasks) : Infinity;
  }

  /** Returns how many more tasks the rules allow in a zone. */
  remaining(zone: string): number {
    if (this.onlyZone !== null && zone !== this.onlyZone) return 0;
    if (this.spec.oneZone) {
      for (const [other, count] of this.tasksByZone) if (count > 0 && other !== zone) return 0;
    }
    return Math.max(0, this.maxPerZone - (this.tasksByZone.get(zone) ?? 0));
  }

  /** Records tasks that were placed in a zone. */
  add(zone: string, count = 1): void {
    this.tasksByZone.set(zone, (this.tasksByZone.get(zone) ?? 0) + count);
  }
}
