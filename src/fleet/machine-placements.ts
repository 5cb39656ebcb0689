/** The placements on one machine, counted by job and by image. */

/** The part of a placement that this module reads. */
interface MachinePlacement<P> {
  readonly task: number;
  readonly job: {
    readonly id: string;
    readonly spec: { readonly image: string };
    readonly placements: ReadonlyMap<number, P>;
  };
}

/** A job that has placements on the machine, and how many. */
interface PlacedJob<P> {
  readonly job: MachinePlacement<P>['job'];
  count: number;
}

/**
 * The placements on a machine. A task is found through the placements of its job, since keys of their own
 * would take as much memory as the placements. Whether an image is in use takes constant time, since each
 * end of a task asks for it and a machine may have thousands of small tasks.
 */
export class MachinePlacements<P extends MachinePlacement<P>> extends Set<P> {
  private readonly jobs = new Map<string, PlacedJob<P>>();
  private readonly usersByImage = new Map<string, number>();

  /** Returns the placement of a task on this machine; undefined if it has none here. */
  find(job: string, task: number): P | undefined {
    const placement = this.jobs.get(job)?.job.placements.get(task);
    return placement && this.has(placement) ? placement : undefined;
  }

  /** Whether a task on the machine uses the image. */
  usesImage(image: string): boolean {
    return this.usersByImage.has(image);
  }

  override add(placement: P): this {
    if (!this.has(placement)) this.count(placement, 1);
    return super.add(placement);
  }

  override delete(placement: P): boolean {
    if (this.has(placement)) this.count(placement, -1);
    return super.delete(placement);
  }

  override clear(): void {
    super.clear();
    this.jobs.clear();
    this.usersByImage.clear();
  }

  private count({ job }: P, change: 1 | -1): void {
    const placed = this.jobs.get(job.id) ?? { job, count: 0 };
    placed.count += change;
    if (placed.count > 0) this.jobs.set(job.id, placed);
    else this.jobs.delete(job.id);
    const { image } = job.spec;
    const users = (this.usersByImage.get(image) ?? 0) + change;
    if (users > 0) this.usersByImage.set(image, users);
    else this.usersByImage.delete(image);
  }
}
