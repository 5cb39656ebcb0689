/** The limits of the store: announced, learned from rejections, and in force. */
import { Subject } from 'rxjs';

/** What the store allows. Rates hold for all controllers together, sizes for each value or transaction. */
export interface Limits {
  /** Requests a second. */
  rps: number;
  /** Puts and deletes a second. */
  writeRps: number;
  /** Bytes of one value, as JSON. */
  valueBytes: number;
  /** Puts and deletes in one transaction; conditions may be four times as many. */
  txnOps: number;
}

/** How many conditions a transaction may have for each put or delete that it may have. */
const CONDITIONS_PER_OPERATION = 4;

/**
 * The largest size that the store accepts. It starts at the announced size and is halved with every
 * rejection, since a store that accepts less than announced does not say how much it accepts. The
 * reduced size stays in force.
 */
class AdaptiveLimit {
  private learned = Infinity;

  /** @param announced the announced size, which may fall at any time */
  constructor(private readonly announced: () => number) {}

  /** The size to keep within now. */
  get current(): number {
    return Math.min(this.announced(), this.learned);
  }

  /** Something of this size was rejected. Sizes above the current limit teach nothing new. */
  reduceBelow(size: number): void {
    if (size <= this.current) this.learned = Math.max(1, Math.floor(size / 2));
  }
}

/** A submission is too large for the store after its sizes were halved so many times. */
const MAX_HALVINGS = 3;

/**
 * The limits of the store as this controller knows them. The settings may announce smaller ones
 * that the store will have from some unknown moment on (`state.next`). The announced limits
 * come into force when an upgrade is complete or when a rejection shows that the store applies them,
 * and then hold for everything on this controller.
 */
export class StoreLimits {
  /** Emits when the limits in force have changed. */
  readonly changed = new Subject<void>();
  private readonly announced: Limits;
  private areAnnouncedApplied = false;
  /** How many keys one comparison takes. */
  readonly comparedKeys = new AdaptiveLimit(
    () => this.effective().txnOps * CONDITIONS_PER_OPERATION,
  );
  /** How many changes a transaction of chunks takes; chunks are laid out for the announced limits. */
  readonly chunkChanges = new AdaptiveLimit(() => this.smallest().txnOps);
  /** How many bytes of a value submissions are laid out for. */
  readonly submittedBytes = new AdaptiveLimit(() => this.smallest().valueBytes);

  /** `next`: limits announced for some later moment; null if there are none. */
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

  /** The limits to keep within now. */
  effective(): Limits {
    return this.areAnnouncedApplied ? this.announced : this.current;
  }

  /** The smaller of the current and the announced limits: for records that later versions rewrite. */
  smallest(): Limits {
    return this.announced;
  }

  /**
   * Reduces both sizes after the store rejected a submission laid out for them: it does not say which
   * of them was too large. False if nothing smaller is worth a try.
   */
  onSubmissionRejected(valueBytes: number, changes: number): boolean {
    if (valueBytes * 2 ** MAX_HALVINGS <= this.smallest().valueBytes) return false;
    this.submittedBytes.reduceBelow(valueBytes);
    this.chunkChanges.reduceBelow(changes);
    return true;
  }

  /** True if values or transactions will have to be smaller than now. */
  get recordsMustShrink(): boolean {
    return (
      this.announced.valueBytes < this.current.valueBytes ||
      this.announced.txnOps < this.current.txnOps
    );
  }

  /** Brings the announced limits into force; false if they already were. */
  applyAnnounced(): boolean {
    if (this.areAnnouncedApplied) return false;
    this.areAnnouncedApplied = true;
    this.changed.next();
    return true;
  }
}

/** The size of a value as the store counts it, in bytes. */
export const jsonBytes = (value: object): number => Buffer.byteLength(JSON.stringify(value));
