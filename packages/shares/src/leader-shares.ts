/**
 * The leader's side: reads the records, carries moves on step by step, and tells the scheduler what each
 * team has. It lives for one term, like the leader itself.
 */
import { duty } from '@leverhatch/core/duty';
import { HistoryLost, type Change, type Condition } from '@leverhatch/core/store';
import { jitter } from '@leverhatch/core/random';
import { excess, shareTable, smallerTable, type ShareTable, type TeamShare } from './table.js';
import { isNothing, larger, NOTHING, smaller, subtract, type Amounts } from './amounts.js';
import { chooseToStop, type DrainCandidate } from './drain.js';
import { SHARE_KEYS } from './keys.js';
import type { HeadRecord, MoveRecord } from './move.js';
import type { SchedulerPort, SharePorts, TermPort } from './ports.js';
import { ShareBook } from './records.js';
import { nextTransitions, type Transition } from './transitions.js';
import { retire } from './history.js';

/** Moves change nothing that is urgent: work that is ready to start goes before them. */
const URGENCY = 2;

/** For so many steps one request waits for changes. */
const WATCH_STEPS = 4;

/** How often, in steps, the records of all controllers are looked up while requests wait. */
const STEPS_PER_LOOK = 10;

/** What a team asks for beyond what it has, as a round of decisions found it. */
export interface Demand {
  /** Waiting work that only the team's limit holds back. */
  heldBack: Amounts;
}

/** The share table of one term. */
export class LeaderShares {
  private book = new ShareBook();
  private table: ShareTable;
  /** The table as it will be once the write under way is applied; null: none is. */
  private nextTable: ShareTable | null = null;
  private teams: ReadonlyMap<string, TeamShare>;
  private followedTo = 0;
  private readonly settledWaiters: (() => void)[] = [];
  private writes = 0;
  private allKnow = false;
  private looks = 0;

  constructor(
    private readonly ports: SharePorts,
    private readonly term: TermPort,
    private readonly scheduler: SchedulerPort,
  ) {
    this.table = shareTable(ports.base, this.book.records);
    this.teams = smallerTable(this.table, this.table);
  }

  /** Reads all records. Nothing may be decided before this has come about once in the term. */
  async load(signal: AbortSignal): Promise<void> {
    const { items, revision } = await this.ports.store.range(SHARE_KEYS.all, signal);
    this.book = ShareBook.of(items);
    this.followedTo = revision;
    for (const key of this.book.unreadable.keys()) {
      this.ports.log.error({ key }, 'share record cannot be read, moves stand still');
    }
    this.recompute();
  }

  /** What each team may have now; while a change is being written, the smaller of before and after. */
  shares(): ReadonlyMap<string, TeamShare> {
    return this.teams;
  }

  /** What every transaction that starts work is conditioned on. */
  condition(): Condition {
    return { key: SHARE_KEYS.head, version: this.book.headVersion };
  }

  /** Resolves once it is known what became of the change of the table that is being written. */
  settled(): Promise<void> {
    if (this.nextTable === null) return Promise.resolve();
    return new Promise((resolve) => this.settledWaiters.push(resolve));
  }

  /**
   * A transaction that starts work was refused because the table has changed. Resolves once the table
   * that the store has is known, and starts that no longer fit are taken back.
   */
  async conditionFailed(failed: Condition, signal: AbortSignal): Promise<void> {
    await this.settled();
    if (this.book.headVersion === failed.version) await this.loadUntilRead(signal);
    this.scheduler.withdrawStarts(this.teams);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { ports } = this;
    await Promise.all([
      duty(ports, 'follow shares', signal, ports.stepMs, (s) => this.follow(s)),
      duty(ports, 'move shares', signal, ports.stepMs, (s) => this.stepForever(s)),
    ]);
  }

  /**
   * What to stop so that shares can be passed on. Only for a team that waits for its limit alone and is
   * below its guarantee: that is when the rules let work of another team be stopped, and only what the
   * donor runs beyond its own guarantee and its new limit.
   */
  toStop(
    demands: ReadonlyMap<string, Demand>,
    used: ReadonlyMap<string, Amounts>,
    candidates: (team: string) => DrainCandidate[],
    alreadyStopping: (team: string) => Amounts,
  ): DrainCandidate[] {
    const stops: DrainCandidate[] = [];
    for (const move of this.draining()) {
      const donor = this.table.teams.get(move.from);
      const receiver = this.table.teams.get(move.to);
      if (!donor || !receiver) continue;
      const claim = subtract(receiver.promised.guarantee, used.get(move.to) ?? NOTHING);
      const asked = smaller(claim, demands.get(move.to)?.heldBack ?? NOTHING);
      const stays = subtract(used.get(move.from) ?? NOTHING, alreadyStopping(move.from));
      // What the donor has no use for, or is being stopped of it, is passed on without more stops.
      const coming = subtract(donor.ceiling, stays);
      const wanted = smaller(larger(NOTHING, subtract(asked, coming)), excess(stays, donor));
      if (isNothing(wanted)) continue;
      stops.push(...chooseToStop(wanted, candidates(move.from)));
    }
    return stops;
  }

  private draining(): MoveRecord[] {
    return [...this.book.moves.values()]
      .map(({ record }) => record)
      .filter(({ phase }) => phase === 'draining');
  }

  /** What the operators' pages show. */
  get view(): { book: ShareBook; table: ShareTable } {
    return { book: this.book, table: this.table };
  }

  private recompute(): void {
    this.table = shareTable(this.ports.base, this.book.records);
    this.teams = smallerTable(this.table, this.nextTable ?? this.table);
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const { store, stepMs } = this.ports;
    while (!signal.aborted) {
      try {
        const news = await store.watch(
          SHARE_KEYS.all,
          this.followedTo,
          stepMs * WATCH_STEPS,
          signal,
        );
        for (const event of news.events) this.book.follow(event);
        this.followedTo = news.revision;
        if (news.events.length > 0) this.recompute();
      } catch (error) {
        if (signal.aborted) return;
        if (error instanceof HistoryLost) await this.reload(signal);
        else await this.ports.clock.sleep(jitter(stepMs, this.ports.random), signal);
      }
    }
  }

  /** Reads everything again, once no write of ours is under way that it could miss. */
  private async reload(signal: AbortSignal): Promise<void> {
    await this.settled();
    await this.loadUntilRead(signal);
  }

  private async stepForever(signal: AbortSignal): Promise<void> {
    const { clock, random, stepMs } = this.ports;
    while (!signal.aborted) {
      const moved = await this.step(signal);
      if (!moved) await clock.sleep(jitter(stepMs, random), signal);
    }
  }

  /** Carries moves on by one transaction; false if nothing could be done now. */
  private async step(signal: AbortSignal): Promise<boolean> {
    if (!this.term.leased() || this.book.unreadable.size > 0) return false;
    const most = Math.max(1, this.ports.transactionChanges() - 1);
    if (this.book.openMoves > 0) {
      const transitions = await this.transitions(most, signal);
      if (transitions.length > 0) return this.write(transitions, signal);
    }
    return this.retireOldest(signal);
  }

  private async transitions(most: number, signal: AbortSignal): Promise<Transition[]> {
    const { base, clock, clockErrorMs } = this.ports;
    if (this.book.requests.length > 0) await this.lookForControllers(signal);
    // Read after the wait: what was followed meanwhile must not be written over.
    const { requests, records } = this.book;
    return nextTransitions(
      records,
      requests,
      {
        base,
        used: this.scheduler.used(),
        wall: clock.wall(),
        clockErrorMs,
        mayBegin: this.allKnow,
      },
      most,
    );
  }

  /** Controllers may come that do not know the table, so this is not remembered for long. */
  private async lookForControllers(signal: AbortSignal): Promise<void> {
    if (this.looks++ % STEPS_PER_LOOK !== 0 && this.allKnow) return;
    const before = this.allKnow;
    this.allKnow = await this.ports.allControllersKnowShares(signal);
    if (this.allKnow === before) return;
    if (this.allKnow) this.ports.log.info({}, 'every controller knows the share table');
    else this.ports.log.warn({}, 'a controller does not know the share table, no move begins');
  }

  private mark(): string {
    return `${this.term.id}/s${++this.writes}`;
  }

  private async write(transitions: Transition[], signal: AbortSignal): Promise<boolean> {
    const w = this.mark();
    const changesTable = transitions.some((t) => t.changesTable);
    const after = transitions.map((t) => ({ ...t.after, w }));
    if (changesTable) this.announce(after);
    try {
      return await this.commit(transitions, after, changesTable, w, signal);
    } finally {
      this.nextTable = null;
      this.recompute();
      for (const waiter of this.settledWaiters.splice(0)) waiter();
      if (changesTable) this.scheduler.changed();
    }
  }

  /**
   * From here on the smaller shares hold, and what was planned before and has not been sent is taken
   * back: a start that was decided on the former table must not be recorded under the next.
   */
  private announce(after: MoveRecord[]): void {
    const moves = new Map(this.book.records.moves.map((move) => [move.id, move] as const));
    for (const move of after) moves.set(move.id, move);
    const { settled } = this.book.records;
    this.nextTable = shareTable(this.ports.base, { settled, moves: [...moves.values()] });
    this.recompute();
    this.scheduler.withdrawStarts(this.teams);
  }

  private async commit(
    transitions: Transition[],
    after: MoveRecord[],
    changesTable: boolean,
    w: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { book } = this;
    const when: Condition[] = [this.term.leaderCondition()];
    const then: Change[] = [];
    for (const move of after) {
      const key = SHARE_KEYS.move(move.id);
      when.push({ key, version: book.moves.get(move.id)!.version });
      then.push({ put: key, value: move });
    }
    const head: HeadRecord = { w, revision: book.revision + 1 };
    if (changesTable) {
      when.push(this.condition());
      then.push({ put: SHARE_KEYS.head, value: head });
    }
    const outcome = await this.ports.store.commit(when, then, URGENCY, signal);
    if (!outcome.ok) return this.refused(outcome.failed, signal);
    const version = outcome.revision;
    for (const move of after) {
      book.take({ key: SHARE_KEYS.move(move.id), value: move, version });
    }
    if (changesTable) book.take({ key: SHARE_KEYS.head, value: head, version });
    transitions.forEach((t) => this.logTransition(t));
    return true;
  }

  /**
   * The store holds something else than was known: a cancellation by an operator, or our own write, of
   * which an earlier copy got no answer. Reading everything again tells which.
   */
  private async refused(failed: string[], signal: AbortSignal): Promise<boolean> {
    if (failed.includes(this.term.leaderCondition().key)) {
      this.term.end();
      return false;
    }
    await this.loadUntilRead(signal);
    return true;
  }

  private async loadUntilRead(signal: AbortSignal): Promise<void> {
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

  private logTransition({ before, after }: Transition): void {
    const { id, from, to, guarantee, limit, passed, reason } = after;
    const fields = { move: id, from, to, guarantee, limit, passed, reason };
    if (before.phase !== after.phase) {
      this.ports.log.info({ ...fields, was: before.phase, phase: after.phase }, 'share move');
    } else this.ports.log.debug(fields, 'share passed on');
  }

  /** Drops the oldest move that is over, where more are kept than the history holds. */
  private async retireOldest(signal: AbortSignal): Promise<boolean> {
    const retirement = retire(this.book, this.table, this.mark());
    if (retirement === null) return false;
    const when = [this.term.leaderCondition(), ...retirement.when];
    const outcome = await this.ports.store.commit(when, retirement.then, 3, signal);
    if (!outcome.ok) return this.refused(outcome.failed, signal);
    for (const change of retirement.then) {
      if ('delete' in change) this.book.remove(change.delete);
      else {
        this.book.take({ key: change.put, value: change.value, version: outcome.revision });
      }
    }
    this.recompute();
    return true;
  }
}
