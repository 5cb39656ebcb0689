/**
 * The records of one extension, which the leader of a term keeps in memory, watches and changes. One of them
 * is the manifest: it changes with everything that the start of work depends on, and transactions that start
 * work are conditioned on its version.
 */
import type { Clock } from './clock.js';
import { supervise } from './duty.js';
import type { Logger } from './log.js';
import { jitter, type Random } from './random.js';
import {
  RevisionCompactedError,
  type Change,
  type Condition,
  type Entry,
  type StoreEvent,
  type StorePort,
  type RequestPriority,
} from './store.js';
import type { TermPort } from './term.js';

export { FeatureWatch } from './feature-watch.js';

/** How long one watch request waits for changes, in step intervals. */
const WATCH_TIMEOUT_STEPS = 4;

/** The records in memory, as they were last read or written. */
export interface RecordRepository {
  /** The version of the manifest; 0 before it was first written. */
  readonly manifestVersion: number;
  /** Applies one entry, unless a newer one of the same key is known. */
  apply(entry: Entry): void;
  /** Drops the record of a key that was deleted. */
  remove(key: string): void;
  /** Keys whose records cannot be read. */
  unreadableKeys(): Iterable<string>;
}

/** What keeping records needs of the controller. */
export interface RecordPorts {
  store: StorePort;
  clock: Clock;
  random: Random;
  log: Logger;
  /** How long a leader waits before it looks for the next step, in milliseconds. */
  stepIntervalMs: number;
}

/** Where the records of an extension are stored, and what happens when they change. */
export interface RecordLayout<Repository extends RecordRepository> {
  /** Names the extension in log lines and write ids. */
  name: string;
  /** What the keys of all records begin with. */
  prefix: string;
  /** The key of the manifest. */
  manifestKey: string;
  /** The records that these entries hold. */
  read(entries: readonly Entry[]): Repository;
  /** The log message for a record that cannot be read. */
  unreadableMessage: string;
  /** The records in memory have changed. */
  onChange(): void;
}

/** One transaction of the leader; the condition that it still leads is added to each. */
export interface RecordWrite {
  conditions: Condition[];
  changes: Change[];
  priority: RequestPriority;
}

/** The records of one extension in one term. */
export class FencedRecords<Repository extends RecordRepository> {
  /** The records, as they were last read or written. */
  repository: Repository;
  private watchedRevision = 0;
  /** A change of the manifest is being written. */
  private isManifestWriteInFlight = false;
  /** Called when the outcome of that write is known. */
  private readonly manifestWaiters: (() => void)[] = [];
  private writeCount = 0;
  /** Unreadable records that have been logged. */
  private readonly loggedUnreadableKeys = new Set<string>();

  constructor(
    private readonly ports: RecordPorts,
    private readonly term: TermPort,
    private readonly layout: RecordLayout<Repository>,
  ) {
    this.repository = layout.read([]);
  }

  /** Reads all records. Nothing may be decided before this has succeeded once in the term. */
  async load(signal: AbortSignal): Promise<void> {
    const { items, revision } = await this.ports.store.range(this.layout.prefix, signal);
    this.repository = this.layout.read(items);
    this.watchedRevision = revision;
    this.notifyChange();
  }

  /** The records may have changed: reports that, and logs each unreadable record once. */
  private notifyChange(): void {
    this.layout.onChange();
    for (const key of this.repository.unreadableKeys()) {
      if (this.loggedUnreadableKeys.has(key)) continue;
      this.loggedUnreadableKeys.add(key);
      this.ports.log.error({ key }, this.layout.unreadableMessage);
    }
  }

  /** The condition of every transaction that starts work. */
  condition(): Condition {
    return { key: this.layout.manifestKey, version: this.repository.manifestVersion };
  }

  /**
   * A transaction that starts work was refused because the manifest has changed. Resolves once the
   * manifest in the store is known.
   */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.waitForManifestWrite();
    if (this.repository.manifestVersion === failed.version) await this.reload(this.term.signal);
  }

  /** Resolves once the outcome of the manifest write under way is known. */
  private waitForManifestWrite(): Promise<void> {
    if (!this.isManifestWriteInFlight) return Promise.resolve();
    return new Promise((resolve) => this.manifestWaiters.push(resolve));
  }

  /**
   * Watches the records and takes steps until `signal` is aborted. `step` resolves to whether it did
   * anything; if not, the next one waits for the step interval.
   */
  async run(signal: AbortSignal, step: (signal: AbortSignal) => Promise<boolean>): Promise<void> {
    const { ports, layout } = this;
    await Promise.all([
      supervise(ports, `watch ${layout.name} records`, signal, ports.stepIntervalMs, (taskSignal) =>
        this.watchRecords(taskSignal),
      ),
      supervise(
        ports,
        `advance ${layout.name} records`,
        signal,
        ports.stepIntervalMs,
        (taskSignal) => this.runSteps(taskSignal, step),
      ),
    ]);
  }

  private async runSteps(
    signal: AbortSignal,
    step: (signal: AbortSignal) => Promise<boolean>,
  ): Promise<void> {
    const { clock, random, stepIntervalMs } = this.ports;
    while (!signal.aborted) {
      const progressed = await step(signal);
      if (!progressed) await clock.sleep(jitter(stepIntervalMs, random), signal);
    }
  }

  private async watchRecords(signal: AbortSignal): Promise<void> {
    const { store, stepIntervalMs, clock, random } = this.ports;
    const { prefix } = this.layout;
    while (!signal.aborted) {
      try {
        const batch = await store.watch(
          prefix,
          this.watchedRevision,
          stepIntervalMs * WATCH_TIMEOUT_STEPS,
          signal,
        );
        for (const event of batch.events) this.applyEvent(event);
        this.watchedRevision = batch.revision;
        if (batch.events.length > 0) this.notifyChange();
      } catch (error) {
        if (signal.aborted) return;
        if (error instanceof RevisionCompactedError) {
          // The reload must not miss a manifest write of this leader that is under way.
          await this.waitForManifestWrite();
          await this.reload(signal);
        } else {
          // The store is unavailable: the watch continues from the same revision.
          await clock.sleep(jitter(stepIntervalMs, random), signal);
        }
      }
    }
  }

  private applyEvent(event: StoreEvent): void {
    if ('gone' in event) this.repository.remove(event.key);
    else this.repository.apply(event);
  }

  /** The id of the next write, by which its records are recognized after an ambiguous result. */
  nextWriteId(): string {
    return `${this.term.id}/${this.layout.name}${++this.writeCount}`;
  }

  /**
   * Writes, repeating until the store gives a definite answer. False if a condition failed: then the term has
   * ended, or the records were read again and show whether an earlier attempt of this write, one without an
   * answer, was applied.
   *
   * @param onManifestSettled for a change of the manifest: called when its outcome is known
   */
  async write(
    { conditions: requiredConditions, changes, priority }: RecordWrite,
    signal: AbortSignal,
    onManifestSettled: (() => void) | null = null,
  ): Promise<boolean> {
    this.isManifestWriteInFlight = onManifestSettled !== null;
    try {
      const conditions = [this.term.leaderCondition(), ...requiredConditions];
      const outcome = await this.ports.store.commit(conditions, changes, priority, signal);
      if (!outcome.ok) {
        await this.onConflict(outcome.failed, signal);
        return false;
      }
      for (const change of changes) this.apply(change, outcome.revision);
      return true;
    } finally {
      this.isManifestWriteInFlight = false;
      onManifestSettled?.();
      this.notifyChange();
      for (const waiter of this.manifestWaiters.splice(0)) waiter();
    }
  }

  private apply(change: Change, version: number): void {
    if ('delete' in change) this.repository.remove(change.delete);
    else this.repository.apply({ key: change.put, value: change.value, version });
  }

  private async onConflict(failed: string[], signal: AbortSignal): Promise<void> {
    if (failed.includes(this.term.leaderCondition().key)) this.term.end();
    else await this.reload(signal);
  }

  private async reload(signal: AbortSignal): Promise<void> {
    const { clock, random, stepIntervalMs } = this.ports;
    for (;;) {
      signal.throwIfAborted();
      try {
        return await this.load(signal);
      } catch {
        // The store is unavailable or busy; only an abort, checked above, ends the attempts.
        await clock.sleep(jitter(stepIntervalMs, random), signal);
      }
    }
  }
}
