import { Subject } from 'rxjs';

/** What the store allows. Rates hold for all controllers together; sizes for each value or transaction. */
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
export const CONDITIONS_PER_OPERATION = 4;

/**
 * A size up to which the store takes something. It begins with what is announced, and is halved with
 * every refusal: where the store takes less than anybody said, nothing else tells how much. What it
 * was halved to holds for all that is made after it.
 */
export class AdaptiveLimit {
  private learned = Infinity;

  /** @param announced the announced size, which may fall at any time */
  constructor(private readonly announced: () => number) {}

  get current(): number {
    return Math.min(this.announced(), this.learned);
  }

  /** Something of this size was refused for good; one that no longer counts changes nothing. */
  reduceBelow(size: number): void {
    if (size <= this.current) this.learned = Math.max(1, Math.floor(size / 2));
  }
}

/**
 * How many times values and changes of submissions are made half as large as announced before a job
 * is called too large.
 */
const MAX_HALVINGS = 3;

/**
 * The limits of the store as this controller knows them. The settings may announce smaller ones
 * that the store will have from some unknown moment on (`state.next`). The announced limits are
 * planned for from the moment an upgrade is complete, or as soon as a refusal shows that they hold;
 * from then on they hold for everything on this controller.
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
  /** How many changes a transaction of pieces takes; they are laid out for the limits to come. */
  readonly chunkChanges = new AdaptiveLimit(() => this.smallest().txnOps);
  /** How many bytes of a value submissions are laid out for. */
  readonly submittedBytes = new AdaptiveLimit(() => this.smallest().valueBytes);

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

  /** The smaller of the current and the announced limits: for what must be rewritten later on. */
  smallest(): Limits {
    return this.announced;
  }

  /**
   * A submission laid out for these sizes was refused for good, whichever of them it was for; false if
   * nothing smaller is worth a try.
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

  /** From now on the announced limits are in force; false if they were already. */
  applyAnnounced(): boolean {
    if (this.areAnnouncedApplied) return false;
    this.areAnnouncedApplied = true;
    this.changed.next();
    return true;
  }
}

/** The size of a value as the store counts it. */
export const jsonBytes = (value: object): number => Buffer.byteLength(JSON.stringify(value));
