/** Machine types that some jobs depend on, and the placement penalty of other jobs on them. */
import { fits, countFittingTasks, type MachineType } from '../fleet/resources.js';
import { Priority, type JobSpec } from '../jobs/job.js';
import { schedulingShape } from './placement-rules.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** Penalty, in seconds of waiting, for using a type that other jobs depend on. */
const CONTENDED_PENALTY_SECONDS = 12;

/** Penalty, in seconds of waiting, where little capacity is left for the dependent jobs. */
const SCARCE_PENALTY_SECONDS = 60;

/** Factor on the penalty of low-priority jobs. */
const LOW_PRIORITY_FACTOR = 4;

/**
 * A type is scarce when its free capacity holds less than this share of the unfinished tasks of its
 * dependent jobs; the higher penalty then keeps capacity for the dependent tasks that come next.
 */
const RESERVED_RATIO = 0.25;

/** The jobs that fit on one machine type only. */
interface Dependents {
  /** Spec of the first dependent job, which represents all of them when capacity is estimated. */
  spec: JobSpec;
  unfinishedTasks: number;
  /** Whether any of them may use spot instances. */
  spot: boolean;
}

/** Tracks the types that open jobs depend on, so that jobs that also fit elsewhere avoid them. */
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

  /** Returns the penalty function of `spec`: seconds of waiting to add to a machine's cost. */
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

  /**
   * Shortest image fetch on a type without dependent jobs, in seconds; Infinity if there is none.
   */
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
        missing -= countFittingTasks(dependents.spec.need, machine.free);
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
