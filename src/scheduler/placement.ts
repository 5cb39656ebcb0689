import {
  fits,
  copiesThatFit,
  subtract,
  type MachineType,
  type Resources,
} from '../fleet/resources.js';
import { Priority, spreadLimit, type JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './scheduling-model.js';

/** May a task of this job be on a machine of this type, zone and kind at all? */
export function isAllowedOn(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

const shapes = new WeakMap<JobSpec, string>();

/** What decides on which machines a task fits, as one word: jobs of one shape fit the same ones. */
export function schedulingShape(spec: JobSpec): string {
  let shape = shapes.get(spec);
  if (shape === undefined) {
    const { cpus, gpus, memoryGb } = spec.need;
    shape = `${cpus}/${gpus}/${memoryGb}/${spec.types?.join(',') ?? '*'}/${spec.zone ?? '*'}/${spec.spot}`;
    shapes.set(spec, shape);
  }
  return shape;
}

/** Where the tasks of one job may still go while a round places them one by one. */
export class ZoneRules {
  private readonly counts: Map<string, number>;
  private readonly maxPerZone: number;

  constructor(
    private readonly spec: JobSpec,
    zones: ReadonlyMap<string, number>,
  ) {
    this.counts = new Map(zones);
    this.maxPerZone = spec.spread ? spreadLimit(spec.tasks) : Infinity;
  }

  remaining(zone: string): number {
    if (this.spec.oneZone) {
      for (const [other, count] of this.counts) if (count > 0 && other !== zone) return 0;
    }
    return Math.max(0, this.maxPerZone - (this.counts.get(zone) ?? 0));
  }

  add(zone: string, count = 1): void {
    this.counts.set(zone, (this.counts.get(zone) ?? 0) + count);
  }
}

/** Seconds until a task of this image could begin there: fetches on one machine share its rate. */
export function fetchSeconds(spec: JobSpec, machine: MachineView): number {
  const missing = machine.images.has(spec.image) ? 0 : spec.imageGb;
  if (missing === 0 && machine.incomingGb === 0) return 0;
  // An image on its way is counted by half: it has been fetched for some time already.
  return missing > 0
    ? (missing + machine.incomingGb) / machine.type.fetchGbPerS
    : machine.incomingGb / 2 / machine.type.fetchGbPerS;
}

/** What a second of fetching weighs against the other costs of a place. */
export const FETCH_WEIGHT = 4;

/** What it is worth, in seconds of waiting, to leave a machine without replicas without any. */
const REPLICA_FREE_MACHINE_SECONDS = 40;

/** What it is worth, in seconds of waiting, to put a task without GPUs on the fullest machine. */
const FULLEST_MACHINE_SECONDS = 4;

/**
 * What it costs to put a task there, in seconds of waiting or their like: the image's fetch first;
 * then the fullest machine, so that whole machines stay free for gangs and can be given back. The
 * replicas of one service keep apart, so that one loss takes little.
 */
export function placementCost(job: JobView, machine: MachineView, contention: number): number {
  const { spec } = job;
  const leftover =
    machine.type.capacity.gpus > 0 ? machine.free.gpus / machine.type.capacity.gpus : 0;
  let cost = fetchSeconds(spec, machine) * FETCH_WEIGHT + leftover * 8 + contention;
  // Beside what needs GPUs first, and then together, so that whole machines stay free for gangs.
  if (spec.need.gpus === 0)
    cost += (machine.free.cpus / machine.type.capacity.cpus) * FULLEST_MACHINE_SECONDS;
  if (spec.kind === 'service') {
    cost += (machine.tasksOf.get(job.id) ?? 0) * 20;
    // It would keep this machine from being given back for as long as it runs.
    if (machine.replicas === 0) cost += REPLICA_FREE_MACHINE_SECONDS;
  }
  // A cheap machine is for those who may use it; the others leave it free.
  if (spec.spot && machine.spot) cost -= 4;
  return cost;
}

/** What it is worth, in seconds of waiting, to leave a type to those who can use no other. */
const CONTENDED_SECONDS = 12;
/** The same where there is little of it left for them. */
const SCARCE_SECONDS = 60;
/** Room for this share of what the dependents have open is kept for those that come next. */
const KEPT_RATIO = 0.25;

/** Who can use one type only, and how many tasks of theirs are open. */
interface Dependents {
  spec: JobSpec;
  tasks: number;
  /** Some of them may use cheap machines. */
  spot: boolean;
}

/** Types that some open jobs depend on: jobs that fit elsewhere too leave them alone if they can. */
export class ContendedTypes {
  private readonly dependents = new Map<string, Dependents>();
  private readonly byShape = new Map<string, MachineType[]>();

  constructor(
    jobs: JobView[],
    private readonly types: MachineType[],
    private readonly up: MachineView[],
  ) {
    if (types.length < 2) return;
    for (const { spec, unfinishedTasks: unfinishedTasks } of jobs) {
      const fitting = this.fitting(spec);
      if (fitting.length !== 1) continue;
      const name = fitting[0]!.name;
      const known = this.dependents.get(name);
      if (!known) this.dependents.set(name, { spec, tasks: unfinishedTasks, spot: spec.spot });
      else {
        known.tasks += unfinishedTasks;
        known.spot ||= spec.spot;
      }
    }
  }

  /** What a task of `spec` should pay, in seconds of waiting, for a machine of each type. */
  prices(spec: JobSpec): (machine: MachineView) => number {
    if (this.dependents.size === 0 || this.fitting(spec).length < 2) return () => 0;
    const byType = new Map<string, number>();
    for (const [name, dependents] of this.dependents) {
      const price = this.isScarce(name, dependents) ? SCARCE_SECONDS : CONTENDED_SECONDS;
      byType.set(name, spec.priority === Priority.Low ? price * 4 : price);
    }
    return (machine) => {
      const dependents = this.dependents.get(machine.type.name);
      return dependents && (dependents.spot || !machine.spot) ? byType.get(machine.type.name)! : 0;
    };
  }

  /** How long its image takes on the types that nobody depends on; without such, without end. */
  fetchSecondsOutside(spec: JobSpec): number {
    const outside = this.fitting(spec).filter((type) => !this.dependents.has(type.name));
    return Math.min(...outside.map((type) => spec.imageGb / type.fetchGbPerS));
  }

  private isScarce(name: string, dependents: Dependents): boolean {
    let left = dependents.tasks * KEPT_RATIO;
    for (const machine of this.up) {
      if (machine.type.name === name && (dependents.spot || !machine.spot))
        left -= copiesThatFit(dependents.spec.need, machine.free);
    }
    return left > 0;
  }

  private fitting(spec: JobSpec): MachineType[] {
    const shape = schedulingShape(spec);
    let types = this.byShape.get(shape);
    if (!types) {
      types = this.types.filter(
        (type) =>
          (spec.types === null || spec.types.includes(type.name)) && fits(spec.need, type.capacity),
      );
      this.byShape.set(shape, types);
    }
    return types;
  }
}

/** The image will be fetched there, which slows other fetches down. */
export function noteImageFetch(spec: JobSpec, machine: MachineView): void {
  if (machine.images.has(spec.image)) return;
  machine.images.add(spec.image);
  machine.incomingGb += spec.imageGb;
}

export interface Placed {
  machine: MachineView;
  count: number;
}

/** What is left of a machine when each of its free GPUs has its share of processors and memory. */
function besideGpus(machine: MachineView): Resources {
  const { capacity: capacity } = machine.type;
  const share = capacity.gpus > 0 ? machine.free.gpus / capacity.gpus : 0;
  return {
    cpus: machine.free.cpus - capacity.cpus * share,
    gpus: machine.free.gpus,
    memoryGb: machine.free.memoryGb - capacity.memoryGb * share,
  };
}

/**
 * Puts up to `count` tasks on machines, taking their room; answers where they went. `onlyBesideGpus`:
 * only on what free GPUs do not need.
 */
export function placeTasks(
  job: JobView,
  count: number,
  machines: MachineView[],
  rules: ZoneRules,
  contended: ContendedTypes,
  onlyBesideGpus = false,
): Placed[] {
  const { spec } = job;
  const price = contended.prices(spec);
  const candidates = machines
    .filter(
      (machine) =>
        fits(spec.need, machine.free) &&
        isAllowedOn(spec, machine.type.name, machine.zone, machine.spot) &&
        !job.avoidedMachines.has(machine.id),
    )
    .map((machine) => ({ machine, cost: placementCost(job, machine, price(machine)) }))
    .sort((a, b) => a.cost - b.cost);
  const placed = new Map<MachineView, number>();
  let left = count;
  const put = (machine: MachineView, most: number): void => {
    const count = Math.min(
      most,
      left,
      rules.remaining(machine.zone),
      copiesThatFit(spec.need, machine.free),
    );
    if (count <= 0) return;
    subtract(machine.free, spec.need, count);
    rules.add(machine.zone, count);
    placed.set(machine, (placed.get(machine) ?? 0) + count);
    left -= count;
  };
  // Replicas of one service go to different machines as far as there are any.
  if (spec.kind === 'service') for (const { machine } of candidates) put(machine, 1);
  // Where no GPU is left without its processors, they are nobody else's: a contended type too.
  if (spec.need.gpus === 0) {
    const beside = candidates
      .map(({ machine, cost }) => ({ machine, cost: cost - price(machine) }))
      .sort((a, b) => a.cost - b.cost);
    for (const { machine } of beside) put(machine, copiesThatFit(spec.need, besideGpus(machine)));
  }
  if (!onlyBesideGpus) for (const { machine } of candidates) put(machine, Infinity);
  return [...placed].map(([machine, count]) => ({ machine, count }));
}

/** Gives back the room that a trial took. */
export function undoPlacement(need: Resources, placed: Placed[]): void {
  for (const { machine, count } of placed) subtract(machine.free, need, -count);
}

/** Places a gang whole or not at all. */
export function placeGang(
  job: JobView,
  machines: MachineView[],
  contended: ContendedTypes,
): Placed[] | null {
  const zones = job.spec.oneZone ? [...new Set(machines.map((machine) => machine.zone))] : [null];
  let best: { placed: Placed[]; cost: number } | null = null;
  for (const zone of zones) {
    const inZone = zone === null ? machines : machines.filter((machine) => machine.zone === zone);
    const placed = placeTasks(
      job,
      job.spec.tasks,
      inZone,
      new ZoneRules(job.spec, job.tasksByZone),
      contended,
    );
    const size = placed.reduce((sum, placed) => sum + placed.count, 0);
    undoPlacement(job.spec.need, placed);
    if (size < job.spec.tasks) continue;
    const cost = Math.max(...placed.map((placed) => placementCost(job, placed.machine, 0)));
    if (!best || cost < best.cost) best = { placed, cost };
  }
  if (best)
    for (const { machine, count } of best.placed) subtract(machine.free, job.spec.need, count);
  return best?.placed ?? null;
}
