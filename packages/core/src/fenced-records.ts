/**
 * The records of one part that the leader of a term keeps in memory, follows and changes. One of them is
 * the head: it changes with everything that starts of work rest on, and transactions that start work are
 * conditioned on its version.
 */
import type { Clock } from './clock.js';
import { duty } from './duty.js';
import type { Logger } from './log.js';
import { jitter, type Random } from './random.js';
import {
  HistoryLost,
  type Change,
  type Condition,
  type Entry,
  type StoreEvent,
  type StorePort,
  type Urgency,
} from './store.js';
import type { TermPort } from './term.js';

/** For so many steps one request waits for changes. */
const WATCH_STEPS = 4;

/** The records as they were last read or written. */
export interface RecordBook {
  /** The version of the head; 0 before it was first written. */
  readonly headVersion: number;
  /** Takes in one entry, unless a newer one of the same key is known. */
  take(entry: Entry): void;
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
  stepMs: number;
}

/** Where the records of a part are, and what happens when they change. */
export interface RecordLayout<Book extends RecordBook> {
  /** Names the part in logs. */
  name: string;
  /** What the keys of all records begin with. */
  prefix: string;
  headKey: string;
  read(entries: readonly Entry[]): Book;
  /** What the log says of a record that cannot be read. */
  unreadable: string;
  /** The records are others than before. */
  changed(): void;
}

/** One transaction of the leader; that the leader leads is a condition of each. */
export interface RecordWrite {
  when: Condition[];
  then: Change[];
  urgency: Urgency;
}

/** The records of one part in one term. */
export class FencedRecords<Book extends RecordBook> {
  book: Book;
  private followedTo = 0;
  /** A change of the head is being written. */
  private headIsWritten = false;
  private readonly waiters: (() => void)[] = [];
  private writes = 0;
  /** Unreadable records that have been logged. */
  private readonly reported = new Set<string>();

  constructor(
    private readonly ports: RecordPorts,
    private readonly term: TermPort,
    private readonly layout: RecordLayout<Book>,
  ) {
    this.book = layout.read([]);
  }

  /** Reads all records. Nothing may be decided before this has come about once in the term. */
  async load(signal: AbortSignal): Promise<void> {
    const { items, revision } = await this.ports.store.range(this.layout.prefix, signal);
    this.book = this.layout.read(items);
    this.followedTo = revision;
    this.changed();
  }

  private changed(): void {
    this.layout.changed();
    for (const key of this.book.unreadableKeys()) {
      if (this.reported.has(key)) continue;
      this.reported.add(key);
      this.ports.log.error({ key }, this.layout.unreadable);
    }
  }

  /** What every transaction that starts work is conditioned on. */
  condition(): Condition {
    return { key: this.layout.headKey, version: this.book.headVersion };
  }

  /**
   * A transaction that starts work was refused because the head has changed. Resolves once the one that
   * the store has is known.
   */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.settled();
    if (this.book.headVersion === failed.version) await this.reload(this.term.signal);
  }

  /** Resolves once it is known what became of the change of the head that is being written. */
  private settled(): Promise<void> {
    if (!this.headIsWritten) return Promise.resolve();
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  /** Follows the records and takes steps, until `signal` is aborted; `step` answers whether it did anything. */
  async run(signal: AbortSignal, step: (signal: AbortSignal) => Promise<boolean>): Promise<void> {
    const { ports, layout } = this;
    await Promise.all([
      duty(ports, `follow ${layout.name}`, signal, ports.stepMs, (s) => this.follow(s)),
      duty(ports, `move ${layout.name}`, signal, ports.stepMs, (s) => this.stepForever(s, step)),
    ]);
  }

  private async stepForever(
    signal: AbortSignal,
    step: (signal: AbortSignal) => Promise<boolean>,
  ): Promise<void> {
    const { clock, random, stepMs } = this.ports;
    while (!signal.aborted) {
      const moved = await step(signal);
      if (!moved) await clock.sleep(jitter(stepMs, random), signal);
    }
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const { store, stepMs, clock, random } = this.ports;
    const { prefix } = this.layout;
    while (!signal.aborted) {
      try {
        const news = await store.watch(prefix, this.followedTo, stepMs * WATCH_STEPS, signal);
        for (const event of news.events) this.takeEvent(event);
        this.followedTo = news.revision;
        if (news.events.length > 0) this.changed();
      } catch (error) {
        if (signal.aborted) return;
        if (error instanceof HistoryLost) {
          // Once no write of ours is under way that it could miss.
          await this.settled();
          await this.reload(signal);
        } else await clock.sleep(jitter(stepMs, random), signal);
      }
    }
  }

  private takeEvent(event: StoreEvent): void {
    if ('gone' in event) this.book.remove(event.key);
    else this.book.take(event);
  }

  /** A mark for the records of one write, by which it is known again. */
  mark(): string {
    return `${this.term.id}/${this.layout.name}${++this.writes}`;
  }

  /**
   * Writes, until the store gives a definite answer. False if the store holds something else than was
   * known; what it holds is known then, and whether it is this very write, of which an earlier copy got
   * no answer.
   *
   * @param announced for a change of the head: called when it is known what became of it
   */
  async write(
    { when, then, urgency }: RecordWrite,
    signal: AbortSignal,
    announced: (() => void) | null = null,
  ): Promise<boolean> {
    this.headIsWritten = announced !== null;
    try {
      const conditions = [this.term.leaderCondition(), ...when];
      const outcome = await this.ports.store.commit(conditions, then, urgency, signal);
      if (!outcome.ok) {
        await this.refused(outcome.failed, signal);
        return false;
      }
      for (const change of then) this.apply(change, outcome.revision);
      return true;
    } finally {
      this.headIsWritten = false;
      announced?.();
      this.changed();
      for (const waiter of this.waiters.splice(0)) waiter();
    }
  }

  private apply(change: Change, version: number): void {
    if ('delete' in change) this.book.remove(change.delete);
    else this.book.take({ key: change.put, value: change.value, version });
  }

  private async refused(failed: string[], signal: AbortSignal): Promise<void> {
    if (failed.includes(this.term.leaderCondition().key)) this.term.end();
    else await this.reload(signal);
  }

  private async reload(signal: AbortSignal): Promise<void> {
    const { clock, random, stepMs } = this.ports;
    for (;;) {
      signal.throwIfAborted();
      try {
        return await this.load(signal);
      } catch {
        await clock.sleep(jitter(stepMs, random), signal);
      }
    }
  }
}

/** How often, in steps, the records of all controllers are looked up. */
const STEPS_PER_LOOK = 10;

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
  async allHaveIt(signal: AbortSignal): Promise<boolean> {
    if (this.looks++ % STEPS_PER_LOOK !== 0 && this.known) return true;
    const before = this.known;
    this.known = await this.look(signal);
    if (this.known === before) return this.known;
    const { feature } = this;
    if (this.known) this.log.info({ feature }, 'every controller has the part switched on');
    else this.log.warn({ feature }, 'a controller does not have the part switched on');
    return this.known;
  }
}
