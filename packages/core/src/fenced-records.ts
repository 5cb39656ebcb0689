/**
 * The records of one part that the leader of a term keeps in memory, follows and changes. One of them is
 * the head: it changes with everything that starts of work rest on, and transactions that start work are
 * conditioned on its version.
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

/** For so many steps one request waits for changes. */
const WATCH_STEPS = 4;

/** The records as they were last read or written. */
export interface RecordRepository {
  /** The version of the head; 0 before it was first written. */
  readonly manifestVersion: number;
  /** Takes in one entry, unless a newer one of the same key is known. */
  apply(entry: Entry): void;
  remove(key: string): void;
  /** Keys whose records cannot be read. */
  unreadableKeys(): Iterable<string>;
}

/** What keeping records needs of the service. */
export interface RecordPorts {
  store: StorePort;
  clock: Clock;
  random: Random;
  log: Logger;
  /** How often a leader looks whether something can go on. */
  stepIntervalMs: number;
}

/** Where the records of a part are, and what happens when they change. */
export interface RecordLayout<Book extends RecordRepository> {
  /** Names the part in logs. */
  name: string;
  /** What the keys of all records begin with. */
  prefix: string;
  manifestKey: string;
  read(entries: readonly Entry[]): Book;
  /** What the log says of a record that cannot be read. */
  unreadableMessage: string;
  /** The records are others than before. */
  onChange(): void;
}

/** One transaction of the leader; that the leader leads is a condition of each. */
export interface RecordWrite {
  conditions: Condition[];
  changes: Change[];
  priority: RequestPriority;
}

/** The records of one part in one term. */
export class FencedRecords<Book extends RecordRepository> {
  repository: Book;
  private watchedRevision = 0;
  /** A change of the head is being written. */
  private isManifestWriteInFlight = false;
  private readonly waiters: (() => void)[] = [];
  private writes = 0;
  /** Unreadable records that have been logged. */
  private readonly loggedUnreadableKeys = new Set<string>();

  constructor(
    private readonly ports: RecordPorts,
    private readonly term: TermPort,
    private readonly layout: RecordLayout<Book>,
  ) {
    this.repository = layout.read([]);
  }

  /** Reads all records. Nothing may be decided before this has come about once in the term. */
  async load(signal: AbortSignal): Promise<void> {
    const { items, revision } = await this.ports.store.range(this.layout.prefix, signal);
    this.repository = this.layout.read(items);
    this.watchedRevision = revision;
    this.changed();
  }

  private changed(): void {
    this.layout.onChange();
    for (const key of this.repository.unreadableKeys()) {
      if (this.loggedUnreadableKeys.has(key)) continue;
      this.loggedUnreadableKeys.add(key);
      this.ports.log.error({ key }, this.layout.unreadableMessage);
    }
  }

  /** What every transaction that starts work is conditioned on. */
  condition(): Condition {
    return { key: this.layout.manifestKey, version: this.repository.manifestVersion };
  }

  /**
   * A transaction that starts work was refused because the head has changed. Resolves once the one that
   * the store has is known.
   */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.manifestWriteSettled();
    if (this.repository.manifestVersion === failed.version) await this.reload(this.term.signal);
  }

  /** Resolves once it is known what became of the change of the head that is being written. */
  private manifestWriteSettled(): Promise<void> {
    if (!this.isManifestWriteInFlight) return Promise.resolve();
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  /** Follows the records and takes steps, until `signal` is aborted; `step` answers whether it did anything. */
  async run(signal: AbortSignal, step: (signal: AbortSignal) => Promise<boolean>): Promise<void> {
    const { ports, layout } = this;
    await Promise.all([
      supervise(ports, `follow ${layout.name}`, signal, ports.stepIntervalMs, (signal) =>
        this.watchRecords(signal),
      ),
      supervise(ports, `move ${layout.name}`, signal, ports.stepIntervalMs, (signal) =>
        this.stepForever(signal, step),
      ),
    ]);
  }

  private async stepForever(
    signal: AbortSignal,
    step: (signal: AbortSignal) => Promise<boolean>,
  ): Promise<void> {
    const { clock, random, stepIntervalMs: stepIntervalMs } = this.ports;
    while (!signal.aborted) {
      const moved = await step(signal);
      if (!moved) await clock.sleep(jitter(stepIntervalMs, random), signal);
    }
  }

  private async watchRecords(signal: AbortSignal): Promise<void> {
    const { store, stepIntervalMs: stepIntervalMs, clock, random } = this.ports;
    const { prefix } = this.layout;
    while (!signal.aborted) {
      try {
        const news = await store.watch(
          prefix,
          this.watchedRevision,
          stepIntervalMs * WATCH_STEPS,
          signal,
        );
        for (const event of news.events) this.applyEvent(event);
        this.watchedRevision = news.revision;
        if (news.events.length > 0) this.changed();
      } catch (error) {
        if (signal.aborted) return;
        if (error instanceof RevisionCompactedError) {
          // Once no write of ours is under way that it could miss.
          await this.manifestWriteSettled();
          await this.reload(signal);
        } else await clock.sleep(jitter(stepIntervalMs, random), signal);
      }
    }
  }

  private applyEvent(event: StoreEvent): void {
    if ('gone' in event) this.repository.remove(event.key);
    else this.repository.apply(event);
  }

  /** A mark for the records of one write, by which it is known again. */
  nextWriteId(): string {
    return `${this.term.id}/${this.layout.name}${++this.writes}`;
  }

  /**
   * Writes, until the store gives a definite answer. False if the store holds something else than was
   * known; what it holds is known then, and whether it is this very write, of which an earlier copy got
   * no answer.
   *
   * @param onManifestSettled for a change of the head: called when it is known what became of it
   */
  async write(
    { conditions: when, changes: changes, priority: priority }: RecordWrite,
    signal: AbortSignal,
    onManifestSettled: (() => void) | null = null,
  ): Promise<boolean> {
    this.isManifestWriteInFlight = onManifestSettled !== null;
    try {
      const conditions = [this.term.leaderCondition(), ...when];
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
      this.changed();
      for (const waiter of this.waiters.splice(0)) waiter();
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
    const { clock, random, stepIntervalMs: stepIntervalMs } = this.ports;
    for (;;) {
      signal.throwIfAborted();
      try {
        return await this.load(signal);
      } catch {
        await clock.sleep(jitter(stepIntervalMs, random), signal);
      }
    }
  }
}

/** How often, in steps, the records of all controllers are looked up. */
const STEPS_PER_LOOKUP = 10;

/** Whether every controller has a part switched on, as it was last looked up. */
export class FeatureWatch {
  private known = false;
  private looks = 0;

  constructor(
    private readonly feature: string,
    private readonly log: Logger,
    private readonly look: (signal: AbortSignal) => Promise<boolean>,
  ) {}

  /** Controllers may come that do not have it, so the answer is not remembered for long. */
  async isEnabledEverywhere(signal: AbortSignal): Promise<boolean> {
    if (this.looks++ % STEPS_PER_LOOKUP !== 0 && this.known) return true;
    const before = this.known;
    this.known = await this.look(signal);
    if (this.known === before) return this.known;
    const { feature } = this;
    if (this.known) this.log.info({ feature }, 'every controller has the part switched on');
    else this.log.warn({ feature }, 'a controller does not have the part switched on');
    return this.known;
  }
}
