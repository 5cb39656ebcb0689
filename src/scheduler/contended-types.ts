/** Machine types that some jobs depend on, and what other jobs pay for using them. */
import { fits, copiesThatFit, type MachineType } from '../fleet/resources.js';
import { Priority, type JobSpec } from '../jobs/job.js';
import { schedulingShape } from './placement-rules.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** Cost, in seconds of waiting, of a type that others depend on. */
const CONTENDED_PENALTY_SECONDS = 12;

/** The same where little capacity is left for those that depend on it. */
const SCARCE_PENALTY_SECONDS = 60;

/** A low-priority job pays this many times the cost. */
const LOW_PRIORITY_FACTOR = 4;

/** Capacity for this share of the dependents' unfinished tasks is kept for those that come next. */
const RESERVED_RATIO = 0.25;

/** The jobs that can use one machine type only. */
interface Dependents {
  /** Of the first of them: stands for all in the estimate of the capacity left. */
  spec: JobSpec;
  unfinishedTasks: number;
  /** Some of them may use spot instances. */
  spot: boolean;
}

/** Types that some open jobs depend on: jobs that fit elsewhere too avoid them if they can. */
export class ContendedTypes {
  private readonly dependents = new Map<string, Dependents>();
  private readonly typesByShape = new Map<string, MachineType[]>();

  constructor(
    jobs: JobView[],
    private readonly types: MachineType[],
    private readonly upMachines: MachineView[],
  ) {
    if (types.length < 2) return;
    for (const { spec, unfinishedTasks } of jobs) {
      const [type, ...others] = this.fittingTypes(spec);
      if (type && others.length === 0) this.addDependent(type.name, spec, unfinishedTasks);
    }
  }

  /** What a task of `spec` should pay, in seconds of waiting, for a machine. */
  penaltySeconds(spec: JobSpec): (machine: MachineView) => number {
    if (this.dependents.size === 0 || this.fittingTypes(spec).length < 2) return () => 0;
    const byType = new Map<string, { price: number; spot: boolean }>();
    for (const [name, dependents] of this.dependents) {
      const seconds = this.isScarce(name, dependents)
        ? SCARCE_PENALTY_SECONDS
        : CONTENDED_PENALTY_SECONDS;
      const price = spec.priority === Priority.Low ? seconds * LOW_PRIORITY_FACTOR : seconds;
      byType.set(name, { price, spot: dependents.spot });
    }
    return (machine) => {
      const contended = byType.get(machine.type.name);
      return contended && (contended.spot || !machine.spot) ? contended.price : 0;
    };
  }

  /** Seconds to fetch its image on the types without dependents; Infinity if there are none. */
  minFetchSecondsOnUncontended(spec: JobSpec): number {
    const uncontended = this.fittingTypes(spec).filter((type) => !this.dependents.has(type.name));
    return Math.min(...uncontended.map((type) => spec.imageGb / type.fetchGbPerS));
  }

  private addDependent(type: string, spec: JobSpec, unfinishedTasks: number): void {
    const known = this.dependents.get(type);
    if (!known) {
      this.dependents.set(type, { spec, unfinishedTasks, spot: spec.spot });
      return;
    }
    known.unfinishedTasks += unfinishedTasks;
    known.spot ||= spec.spot;
  }

  private isScarce(name: string, dependents: Dependents): boolean {
    let missing = dependents.unfinishedTasks * RESERVED_RATIO;
    for (const machine of this.upMachines) {
      if (machine.type.name === name && (dependents.spot || !machine.spot))
        missing -= copiesThatFit(dependents.spec.need, machine.free);
    }
    return missing > 0;
  }

  private fittingTypes(spec: JobSpec): MachineType[] {
    const shape = schedulingShape(spec);
    let types = this.typesByShape.get(shape);
    if (!types) {
      types = this.types.filter(
        (type) =>
          (spec.types === null || spec.types.includes(type.name)) && fits(spec.need, type.capacity),
      );
      this.typesByShape.set(shape, types);
    }
    return types;
  }
}
