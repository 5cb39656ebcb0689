/**
 * The leader's side: reads the records, carries moves on step by step, and tells the scheduler what each
 * team has. It lives for one term, like the leader itself.
 */
import { FeatureWatch, FencedRecords } from '@leverhatch/core/fenced-records';
import type { Change, Condition } from '@leverhatch/core/store';
import type { TermPort } from '@leverhatch/core/term';
import { excess, shareTable, smallerTable, type ShareTable, type TeamShare } from './table.js';
import { isNothing, larger, NOTHING, smaller, subtract, type Amounts } from './amounts.js';
import { chooseToStop, type DrainCandidate } from './drain.js';
import { SHARE_KEYS } from './keys.js';
import type { HeadRecord, MoveRecord } from './move.js';
import type { SchedulerPort, SharePorts } from './ports.js';
import { ShareBook } from './records.js';
import { nextTransitions, type Transition } from './transitions.js';
import { retire } from './history.js';

/** Moves change nothing that is urgent: work that is ready to start goes before them. */
const URGENCY = 2;

/** What a team asks for beyond what it has, as a round of decisions found it. */
export interface Demand {
  /** Waiting work that only the team's limit holds back. */
  heldBack: Amounts;
}

/** The share table of one term. */
export class LeaderShares {
  private readonly records: FencedRecords<ShareBook>;
  private table: ShareTable;
  /** The table as it will be once the write under way is applied; null: none is. */
  private nextTable: ShareTable | null = null;
  private teams: ReadonlyMap<string, TeamShare>;
  private readonly controllers: FeatureWatch;

  constructor(
    private readonly ports: SharePorts,
    private readonly term: TermPort,
    private readonly scheduler: SchedulerPort,
  ) {
    this.records = new FencedRecords(ports, term, {
      name: 'shares',
      prefix: SHARE_KEYS.all,
      headKey: SHARE_KEYS.head,
      read: (entries) => ShareBook.of(entries),
      unreadable: 'share record cannot be read, moves stand still',
      changed: () => this.recompute(),
    });
    this.controllers = new FeatureWatch('shares', ports.log, (signal) =>
      ports.allControllersKnowShares(signal),
    );
    this.table = shareTable(ports.base, this.book.records);
    this.teams = smallerTable(this.table, this.table);
  }

  private get book(): ShareBook {
    return this.records.book;
  }

  /** Reads all records. Nothing may be decided before this has come about once in the term. */
  load(signal: AbortSignal): Promise<void> {
    return this.records.load(signal);
  }

  /** What each team may have now; while a change is being written, the smaller of before and after. */
  shares(): ReadonlyMap<string, TeamShare> {
    return this.teams;
  }

  /** What every transaction that starts work is conditioned on. */
  condition(): Condition {
    return this.records.condition();
  }

  /**
   * A transaction that starts work was refused because the table has changed. Resolves once the table
   * that the store has is known, and starts that no longer fit are taken back.
   */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.records.conditionFailed(failed);
    this.scheduler.withdrawStarts(this.teams);
  }

  run(signal: AbortSignal): Promise<void> {
    return this.records.run(signal, (s) => this.step(s));
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
    const mayBegin = this.book.requests.length > 0 && (await this.controllers.allHaveIt(signal));
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
        mayBegin,
      },
      most,
    );
  }

  private async write(transitions: Transition[], signal: AbortSignal): Promise<boolean> {
    const w = this.records.mark();
    const changesTable = transitions.some((t) => t.changesTable);
    const after = transitions.map((t) => ({ ...t.after, w }));
    if (changesTable) this.announce(after);
    const written = await this.records.write(
      { ...this.transactionOf(after, changesTable, w), urgency: URGENCY },
      signal,
      changesTable ? () => (this.nextTable = null) : null,
    );
    if (written) transitions.forEach((t) => this.logTransition(t));
    if (changesTable) this.scheduler.changed();
    return !this.term.signal.aborted;
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

  private transactionOf(
    after: MoveRecord[],
    changesTable: boolean,
    w: string,
  ): { when: Condition[]; then: Change[] } {
    const { book } = this;
    const when: Condition[] = [];
    const then: Change[] = [];
    for (const move of after) {
      const key = SHARE_KEYS.move(move.id);
      when.push({ key, version: book.moves.get(move.id)!.version });
      then.push({ put: key, value: move });
    }
    if (changesTable) {
      const head: HeadRecord = { w, revision: book.revision + 1 };
      when.push(this.condition());
      then.push({ put: SHARE_KEYS.head, value: head });
    }
    return { when, then };
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
    const retirement = retire(this.book, this.table, this.records.mark());
    if (retirement === null) return false;
    await this.records.write({ ...retirement, urgency: 3 }, signal);
    return !this.term.signal.aborted;
  }
}
