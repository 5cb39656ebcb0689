/** Tracks the limits of the store: configured, announced, and learned from rejections. */
import { Subject } from 'rxjs';

/** Limits of the store. Rates apply to all controllers together, sizes to each value or transaction. */
export interface Limits {
  /** Requests a second. */
  rps: number;
  /** Puts and deletes a second. */
  writeRps: number;
  /** Bytes of one value, as JSON. */
  valueBytes: number;
  /** Puts and deletes in one transaction; four times as many conditions are allowed. */
  txnOps: number;
}

/** The maximum number of conditions of a transaction, as a multiple of `txnOps`. */
const CONDITIONS_PER_OPERATION = 4;

/**
 * An estimate of the largest size that the store accepts. It starts at the size in the settings. A
 * rejection reduces it to half of the rejected size, since a store that accepts less than that does not
 * report its actual limit. The estimate is never raised again above a reduced size.
 */
class AdaptiveLimit {
  private learnedLimit = Infinity;

  /** @param configured returns the size according to the settings, which may decrease at any time */
  constructor(private readonly configured: () => number) {}

  /** The maximum size to use at present. */
  get current(): number {
    return Math.min(this.configured(), this.learnedLimit);
  }

  /** Reduces the limit after a rejection of `size`; sizes above the current limit tell nothing new. */
  reduceBelow(size: number): void {
    if (size <= this.current) this.learnedLimit = Math.max(1, Math.floor(size / 2));
  }
}

/** After this many halvings of its sizes, a rejected submission counts as too large for the store. */
const MAX_HALVINGS = 3;

/**
 * The limits of the store as known to this controller. The settings may announce lower limits that the
 * store will apply from an unspecified time on (`state.next`). This controller applies the announced
 * limits to all requests once an upgrade is complete or a rejection shows that the store applies them.
 */
export class StoreLimits {
  /** Emits when the effective limits have changed. */
  readonly changed = new Subject<void>();
  private readonly announced: Limits;
  private areAnnouncedApplied = false;
  /** The maximum number of keys in one version check. */
  readonly comparedKeys = new AdaptiveLimit(
    () => this.effective().txnOps * CONDITIONS_PER_OPERATION,
  );
  /**
   * The maximum number of changes in a transaction of chunks; chunks have to fit the announced limits.
   */
  readonly chunkChanges = new AdaptiveLimit(() => this.smallest().txnOps);
  /** The maximum size of the values of a submission, in bytes. */
  readonly submittedBytes = new AdaptiveLimit(() => this.smallest().valueBytes);

  /** `next`: limits announced for an unspecified later time; null if there are none. */
  constructor(
    private readonly current: Limits,
    next: Partial<Limits> | null = null,
  ) {
    const smaller = (name: keyof Limits): number =>
      Math.min(current[name], next?.[name] ?? current[name]);
    this.announced = {
      rps: smaller('rps'),
      writeRps: smaller('writeRps'),
      valueBytes: smaller('valueBytes'),
      txnOps: smaller('txnOps'),
    };
  }

  /** The limits that apply at present. */
  effective(): Limits {
    return this.areAnnouncedApplied ? this.announced : this.current;
  }

  /** The lower of the current and the announced limits, for records that are rewritten later. */
  smallest(): Limits {
    return this.announced;
  }

  /**
   * Reduces both size limits after the store rejected a submission as too large, since the rejection
   * does not tell which of the two was exceeded. False if the submission is not to be retried any
   * smaller.
   */
  onSubmissionRejected(valueBytes: number, changes: number): boolean {
    if (valueBytes * 2 ** MAX_HALVINGS <= this.smallest().valueBytes) return false;
    this.submittedBytes.reduceBelow(valueBytes);
    this.chunkChanges.reduceBelow(changes);
    return true;
  }

  /** True if the announced limits require smaller values or transactions than the current ones. */
  get recordsMustShrink(): boolean {
    return (
      this.announced.valueBytes < this.current.valueBytes ||
      this.announced.txnOps < this.current.txnOps
    );
  }

  /** Applies the announced limits; false if they already apply. */
  applyAnnounced(): boolean {
    if (this.areAnnouncedApplied) return false;
    this.areAnnouncedApplied = true;
    this.changed.next();
    return true;
  }
}

/** Returns the size of a value as the store counts it, in bytes. */
export const jsonBytes = (value: object): number => Buffer.byteLength(JSON.stringify(value));
