/** The leader's view of the container images that are cached on one machine. */

/** Maximum number of images tracked per machine, whatever their sizes. */
const MAX_IMAGES = 200;

/** An image that a machine has or is fetching. */
export interface CachedImage {
  /** Size in gigabytes. */
  gb: number;
  /** False while the image is still being fetched. */
  isPresent: boolean;
}

/** Model of an image cache with least-recently-used eviction; images in use are never evicted. */
export class ImageCache {
  private readonly entries = new Map<string, CachedImage>();

  /** @param isInUse whether a task placed on the machine uses the image */
  constructor(private readonly isInUse: (image: string) => boolean) {}

  /** The cached images, least recently used first. */
  get images(): ReadonlyMap<string, CachedImage> {
    return this.entries;
  }

  /**
   * Records that a task needs the image.
   *
   * @param isPresent whether a task has started with it, so that the machine has fetched it
   * @param cacheGb capacity of the machine's cache
   */
  recordUse(image: string, gb: number, isPresent: boolean, cacheGb: number): void {
    const known = this.entries.get(image);
    this.entries.delete(image);
    this.entries.set(image, { gb, isPresent: isPresent || (known?.isPresent ?? false) });
    let totalGb = 0;
    for (const entry of this.entries.values()) totalGb += entry.gb;
    for (const [name, entry] of this.entries) {
      if (totalGb <= cacheGb && this.entries.size <= MAX_IMAGES) break;
      if (name === image || this.isInUse(name)) continue;
      this.entries.delete(name);
      totalGb -= entry.gb;
    }
  }

  /**
   * Drops an image that is still being fetched: a worker cancels the fetch when no task needs it.
   */
  cancelFetch(image: string): void {
    if (!this.entries.get(image)?.isPresent && !this.isInUse(image)) this.entries.delete(image);
  }
}
