/** The placements on one machine, counted by image. */

/** The part of a placement that is counted. */
interface PlacementWithImage {
  readonly job: { readonly spec: { readonly image: string } };
}

/**
 * The placements on a machine by task key. Whether an image is in use takes constant time, since each end
 * of a task asks for it and a machine may have thousands of small tasks.
 */
export class MachinePlacements<P extends PlacementWithImage> extends Map<string, P> {
  private readonly usersByImage = new Map<string, number>();

  /** Whether a task on the machine uses the image. */
  usesImage(image: string): boolean {
    return this.usersByImage.has(image);
  }

  override set(key: string, placement: P): this {
    const previous = this.get(key);
    if (previous) this.countUser(previous, -1);
    this.countUser(placement, 1);
    return super.set(key, placement);
  }

  override delete(key: string): boolean {
    const placement = this.get(key);
    if (placement) this.countUser(placement, -1);
    return super.delete(key);
  }

  override clear(): void {
    super.clear();
    this.usersByImage.clear();
  }

  private countUser({ job }: P, change: 1 | -1): void {
    const { image } = job.spec;
    const users = (this.usersByImage.get(image) ?? 0) + change;
    if (users > 0) this.usersByImage.set(image, users);
    else this.usersByImage.delete(image);
  }
}
