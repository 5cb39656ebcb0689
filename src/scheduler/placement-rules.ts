/** Which machines and zones a job's tasks may be placed on, whatever is free there. */
import { spreadLimit, type JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** True if a task of this job may be on a machine of this type, in this zone, spot or not. */
export function isAllowedOn(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

/** True if the job's rules allow this machine and the job has not failed there. */
export function canUse(job: JobView, machine: MachineView): boolean {
  return (
    isAllowedOn(job.spec, machine.type.name, machine.zone, machine.spot) &&
    !job.avoidedMachines.has(machine.id)
  );
}

const shapes = new WeakMap<JobSpec, string>();

/** All that decides which machines a task fits on, as a key: jobs of one shape fit the same ones. */
export function schedulingShape(spec: JobSpec): string {
  let shape = shapes.get(spec);
  if (shape === undefined) {
    const { cpus, gpus, memoryGb } = spec.need;
    shape = `${cpus}/${gpus}/${memoryGb}/${spec.types?.join(',') ?? '*'}/${spec.zone ?? '*'}/${spec.spot}`;
    shapes.set(spec, shape);
  }
  return shape;
}

/** In which zones more tasks of one job may be placed, updated with every task that is placed. */
export class ZoneRules {
  private readonly tasksByZone: Map<string, number>;
  private readonly maxPerZone: number;

  constructor(
    private readonly spec: JobSpec,
    tasksByZone: ReadonlyMap<string, number>,
  ) {
    this.tasksByZone = new Map(tasksByZone);
    this.maxPerZone = spec.spread ? spreadLimit(spec.tasks) : Infinity;
  }

  /** How many more tasks the rules allow in a zone. */
  remaining(zone: string): number {
    if (this.spec.oneZone) {
      for (const [other, count] of this.tasksByZone) if (count > 0 && other !== zone) return 0;
    }
    return Math.max(0, this.maxPerZone - (this.tasksByZone.get(zone) ?? 0));
  }

  /** Counts tasks that were placed in a zone. */
  add(zone: string, count = 1): void {
    this.tasksByZone.set(zone, (this.tasksByZone.get(zone) ?? 0) + count);
  }
}
