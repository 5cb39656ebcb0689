/**
 * The stored records of one extension, which the leader of a term caches in memory, watches and updates. One
 * of them is the manifest: it is written with every change that may affect whether a task may start, and
 * transactions that start tasks are conditioned on its version.
 */
import type { Clock } from './clock.js';
import { supervise } from './supervised-task.js';
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

/** Timeout of one watch request, in step intervals. */
const WATCH_TIMEOUT_STEPS = 4;

/** In-memory copy of the records, as last read or written. */
export interface RecordRepository {
  /** Version of the manifest; 0 before its first write. */
  readonly manifestVersion: number;
  /** Applies one entry, unless a newer version of the same key is already known. */
  apply(entry: Entry): void;
  /** Removes the record of a deleted key. */
  remove(key: string): void;
  /** Keys whose records cannot be parsed. */
  unreadableKeys(): Iterable<string>;
}

/** Dependencies that the controller provides. */
export interface RecordPorts {
  store: StorePort;
  clock: Clock;
  random: Random;
  log: Logger;
  /** Interval between two steps of a leader that has nothing to do, in milliseconds. */
  stepIntervalMs: number;
}

/** Where an extension stores its records, how they are parsed, and what to call when they change. */
export interface RecordLayout<Repository extends RecordRepository> {
  /** Name of the extension in log lines and write ids. */
  name: string;
  /** Common prefix of all keys. */
  prefix: string;
  /** Key of the manifest. */
  manifestKey: string;
  /** Creates a repository from the given entries. */
  createRepository(entries: readonly Entry[]): Repository;
  /** Log message for a record that cannot be parsed. */
  unreadableMessage: string;
  /** Called when the in-memory records may have changed, and after every write, successful or not. */
  onChange(): void;
}

/** One transaction of the leader; the condition that it still holds leadership is added to each. */
export interface RecordWrite {
  conditions: Condition[];
  changes: Change[];
  priority: RequestPriority;
}

/** The records of one extension during one term. */
export class FencedRecords<Repository extends RecordRepository> {
  /** The records as last read or written. */
  repository: Repository;
  private watchedRevision = 0;
  /** Whether a write of the manifest is in flight. */
  private isManifestWriteInFlight = false;
  /** Callbacks for when the outcome of that write is known. */
  private readonly manifestWaiters: (() => void)[] = [];
  private writeCount = 0;
  /** Keys of unreadable records that were already logged. */
  private readonly loggedUnreadableKeys = new Set<string>();

  constructor(
    private readonly ports: RecordPorts,
    private readonly term: TermPort,
    private readonly layout: RecordLayout<Repository>,
  ) {
    this.repository = layout.createRepository([]);
  }

  /** Reads all records. No decision may be made before this has succeeded once in the term. */
  async load(signal: AbortSignal): Promise<void> {
    const { items, revision } = await this.ports.store.range(this.layout.prefix, signal);
    this.repository = this.layout.createRepository(items);
    this.watchedRevision = revision;
    this.notifyChange();
  }

  /** Reports that the records may have changed, and logs each unreadable record once. */
  private notifyChange(): void {
    this.layout.onChange();
    for (const key of this.repository.unreadableKeys()) {
      if (this.loggedUnreadableKeys.has(key)) continue;
      this.loggedUnreadableKeys.add(key);
      this.ports.log.error({ key }, this.layout.unreadableMessage);
    }
  }

  /** Condition of every transaction that starts a task. */
  condition(): Condition {
    return { key: this.layout.manifestKey, version: this.repository.manifestVersion };
  }

  /**
   * Handles a transaction that starts a task and was rejected because the manifest has changed. Resolves
   * once the manifest in the store is known.
   */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.waitForManifestWrite();
    if (this.repository.manifestVersion === failed.version) await this.reload(this.term.signal);
  }

  /** Resolves once the outcome of the manifest write in flight, if any, is known. */
  private waitForManifestWrite(): Promise<void> {
    if (!this.isManifestWriteInFlight) return Promise.resolve();
    return new Promise((resolve) => this.manifestWaiters.push(resolve));
  }

  /**
   * Watches the records and runs steps until `signal` is aborted. `step` resolves to whether it made
   * progress; if not, the next step runs after the step interval.
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
          // The reload must not miss a manifest write of this leader that is still in flight.
          await this.waitForManifestWrite();
          await this.reload(signal);
        } else {
          // The store is unavailable: retry the watch from the same revision.
          await clock.sleep(jitter(stepIntervalMs, random), signal);
        }
      }
    }
  }

  private applyEvent(event: StoreEvent): void {
    if ('gone' in event) this.repository.remove(event.key);
    else this.repository.apply(event);
  }

  /** Id of the next write, which identifies its records after an ambiguous result. */
  nextWriteId(): string {
    return `${this.term.id}/${this.layout.name}${++this.writeCount}`;
  }

  /**
   * Commits a transaction, retrying until the store returns a definite result. Resolves to false if a
   * condition failed: then either the term has ended, or the records were reloaded and show whether an
   * earlier attempt of this write, whose response was lost, was applied.
   *
   * @param onManifestSettled called when the outcome of the write is known, also if it failed. Must not be null
   *   if the manifest is among the changes, since it marks such a write, and must be null otherwise.
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
        // The store is unavailable or busy; only an abort, checked above, ends the retries.
        await clock.sleep(jitter(stepIntervalMs, random), signal);
      }
    }
  }
}
