import { fits, howMany, take, type MachineType, type Need } from '../fleet/types.js';
import { Priority, spreadLimit, type JobSpec } from '../jobs/job.js';
import type { JobView, MachineView } from './model.js';

/** May a task of this job be on a machine of this type, zone and kind at all? */
export function allows(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

const shapes = new WeakMap<JobSpec, string>();

/** What decides on which machines a task fits, as one word: jobs of one shape fit the same ones. */
export function shapeOf(spec: JobSpec): string {
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
  private readonly most: number;

  constructor(
    private readonly spec: JobSpec,
    zones: ReadonlyMap<string, number>,
  ) {
    this.counts = new Map(zones);
    this.most = spec.spread ? spreadLimit(spec.tasks) : Infinity;
  }

  room(zone: string): number {
    if (this.spec.oneZone) {
      for (const [other, n] of this.counts) if (n > 0 && other !== zone) return 0;
    }
    return Math.max(0, this.most - (this.counts.get(zone) ?? 0));
  }

  add(zone: string, n = 1): void {
    this.counts.set(zone, (this.counts.get(zone) ?? 0) + n);
  }
}

/** Seconds until a task of this image could begin there: fetches on one machine share its rate. */
export function fetchSeconds(spec: JobSpec, m: MachineView): number {
  const missing = m.images.has(spec.image) ? 0 : spec.imageGb;
  if (missing === 0 && m.incomingGb === 0) return 0;
  // An image on its way is counted by half: it has been fetched for some time already.
  return missing > 0
    ? (missing + m.incomingGb) / m.type.fetchGbPerS
    : m.incomingGb / 2 / m.type.fetchGbPerS;
}

/** What a second of fetching weighs against the other costs of a place. */
export const FETCH_WEIGHT = 4;

/** What it is worth, in seconds of waiting, to leave a machine without replicas without any. */
const PIN_SECONDS = 40;

/** What it is worth, in seconds of waiting, to put a task without GPUs on the fullest machine. */
const FULLEST_SECONDS = 4;

/**
 * What it costs to put a task there, in seconds of waiting or their like: the image's fetch first;
 * then the fullest machine, so that whole machines stay free for gangs and can be given back. The
 * replicas of one service keep apart, so that one loss takes little.
 */
export function placementCost(job: JobView, m: MachineView, contention: number): number {
  const { spec } = job;
  const leftover = m.type.room.gpus > 0 ? m.free.gpus / m.type.room.gpus : 0;
  let cost = fetchSeconds(spec, m) * FETCH_WEIGHT + leftover * 8 + contention;
  // Beside what needs GPUs first, and then together, so that whole machines stay free for gangs.
  if (spec.need.gpus === 0) cost += (m.free.cpus / m.type.room.cpus) * FULLEST_SECONDS;
  if (spec.kind === 'service') {
    cost += (m.tasksOf.get(job.id) ?? 0) * 20;
    // It would keep this machine from being given back for as long as it runs.
    if (m.replicas === 0) cost += PIN_SECONDS;
  }
  // A cheap machine is for those who may use it; the others leave it free.
  if (spec.spot && m.spot) cost -= 4;
  return cost;
}

/** What it is worth, in seconds of waiting, to leave a type to those who can use no other. */
const CONTENDED_SECONDS = 12;
/** The same where there is little of it left for them. */
const SHORT_SECONDS = 60;
/** Room for this share of what the dependents have open is kept for those that come next. */
const KEPT_SHARE = 0.25;

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
    for (const { spec, unfinished } of jobs) {
      const fitting = this.fitting(spec);
      if (fitting.length !== 1) continue;
      const name = fitting[0]!.name;
      const known = this.dependents.get(name);
      if (!known) this.dependents.set(name, { spec, tasks: unfinished, spot: spec.spot });
      else {
        known.tasks += unfinished;
        known.spot ||= spec.spot;
      }
    }
  }

  /** What a task of `spec` should pay, in seconds of waiting, for a machine of each type. */
  prices(spec: JobSpec): (m: MachineView) => number {
    if (this.dependents.size === 0 || this.fitting(spec).length < 2) return () => 0;
    const byType = new Map<string, number>();
    for (const [name, d] of this.dependents) {
      const price = this.short(name, d) ? SHORT_SECONDS : CONTENDED_SECONDS;
      byType.set(name, spec.priority === Priority.Low ? price * 4 : price);
    }
    return (m) => {
      const d = this.dependents.get(m.type.name);
      return d && (d.spot || !m.spot) ? byType.get(m.type.name)! : 0;
    };
  }

  /** How long its image takes on the types that nobody depends on; without such, without end. */
  fetchSecondsOutside(spec: JobSpec): number {
    const outside = this.fitting(spec).filter((t) => !this.dependents.has(t.name));
    return Math.min(...outside.map((t) => spec.imageGb / t.fetchGbPerS));
  }

  private short(name: string, d: Dependents): boolean {
    let left = d.tasks * KEPT_SHARE;
    for (const m of this.up) {
      if (m.type.name === name && (d.spot || !m.spot)) left -= howMany(d.spec.need, m.free);
    }
    return left > 0;
  }

  private fitting(spec: JobSpec): MachineType[] {
    const shape = shapeOf(spec);
    let types = this.byShape.get(shape);
    if (!types) {
      types = this.types.filter(
        (t) => (spec.types === null || spec.types.includes(t.name)) && fits(spec.need, t.room),
      );
      this.byShape.set(shape, types);
    }
    return types;
  }
}

/** The image will be fetched there, which slows other fetches down. */
export function expectImage(spec: JobSpec, m: MachineView): void {
  if (m.images.has(spec.image)) return;
  m.images.add(spec.image);
  m.incomingGb += spec.imageGb;
}

export interface Placed {
  machine: MachineView;
  count: number;
}

/** What is left of a machine when each of its free GPUs has its share of processors and memory. */
function besideGpus(m: MachineView): Need {
  const { room } = m.type;
  const share = room.gpus > 0 ? m.free.gpus / room.gpus : 0;
  return {
    cpus: m.free.cpus - room.cpus * share,
    gpus: m.free.gpus,
    memoryGb: m.free.memoryGb - room.memoryGb * share,
  };
}

/**
 * Puts up to `count` tasks on machines, taking their room; answers where they went. `onlyBesideGpus`:
 * only on what free GPUs do not need.
 */
export function place(
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
      (m) =>
        fits(spec.need, m.free) &&
        allows(spec, m.type.name, m.zone, m.spot) &&
        !job.avoid.has(m.id),
    )
    .map((machine) => ({ machine, cost: placementCost(job, machine, price(machine)) }))
    .sort((a, b) => a.cost - b.cost);
  const placed = new Map<MachineView, number>();
  let left = count;
  const put = (m: MachineView, most: number): void => {
    const n = Math.min(most, left, rules.room(m.zone), howMany(spec.need, m.free));
    if (n <= 0) return;
    take(m.free, spec.need, n);
    rules.add(m.zone, n);
    placed.set(m, (placed.get(m) ?? 0) + n);
    left -= n;
  };
  // Replicas of one service go to different machines as far as there are any.
  if (spec.kind === 'service') for (const { machine } of candidates) put(machine, 1);
  // Where no GPU is left without its processors, they are nobody else's: a contended type too.
  if (spec.need.gpus === 0) {
    const beside = candidates
      .map(({ machine, cost }) => ({ machine, cost: cost - price(machine) }))
      .sort((a, b) => a.cost - b.cost);
    for (const { machine } of beside) put(machine, howMany(spec.need, besideGpus(machine)));
  }
  if (!onlyBesideGpus) for (const { machine } of candidates) put(machine, Infinity);
  return [...placed].map(([machine, n]) => ({ machine, count: n }));
}

/** Gives back the room that a trial took. */
export function unplace(need: Need, placed: Placed[]): void {
  for (const { machine, count } of placed) take(machine.free, need, -count);
}

/** Places a gang whole or not at all. */
export function placeGang(
  job: JobView,
  machines: MachineView[],
  contended: ContendedTypes,
): Placed[] | null {
  const zones = job.spec.oneZone ? [...new Set(machines.map((m) => m.zone))] : [null];
  let best: { placed: Placed[]; cost: number } | null = null;
  for (const zone of zones) {
    const inZone = zone === null ? machines : machines.filter((m) => m.zone === zone);
    const placed = place(
      job,
      job.spec.tasks,
      inZone,
      new ZoneRules(job.spec, job.zones),
      contended,
    );
    const size = placed.reduce((n, p) => n + p.count, 0);
    unplace(job.spec.need, placed);
    if (size < job.spec.tasks) continue;
    const cost = Math.max(...placed.map((p) => placementCost(job, p.machine, 0)));
    if (!best || cost < best.cost) best = { placed, cost };
  }
  if (best) for (const { machine, count } of best.placed) take(machine.free, job.spec.need, count);
  return best?.placed ?? null;
}
