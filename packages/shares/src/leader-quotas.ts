/**
 * The leader's side: reads the records, carries moves on step by step, and tells the scheduler what each
 * team has. It lives for one term, like the leader itself.
 */
import { RequestPriority } from '@leverhatch/core/store';
import { FeatureWatch, FencedRecords } from '@leverhatch/core/fenced-records';
import type { Change, Condition } from '@leverhatch/core/store';
import type { TermPort } from '@leverhatch/core/term';
import {
  excess,
  quotaTable,
  minimumQuotas,
  type QuotaTable,
  type TeamQuota,
} from './quota-table.js';
import { isNothing, maximum, NOTHING, minimum, subtract, type Amounts } from './amounts.js';
import { chooseTasksToPreempt, type DrainCandidate } from './preemption-choice.js';
import { QUOTA_TRANSFER_KEYS } from './keys.js';
import type { ManifestRecord, TransferRecord } from './transfer-record.js';
import type { SchedulerPort, QuotaTransferPorts } from './ports.js';
import { QuotaTransferRepository } from './quota-transfer-repository.js';
import { nextTransitions, type Transition } from './transitions.js';
import { retire } from './history.js';

/** Moves change nothing that is urgent: work that is ready to start goes before them. */
const REQUEST_PRIORITY = 2;

/** What a team asks for beyond what it has, as a round of decisions found it. */
export interface TeamDemand {
  /** Waiting work that only the team's limit holds back. */
  quotaLimited: Amounts;
}

/** The share table of one term. */
export class LeaderQuotas {
  private readonly records: FencedRecords<QuotaTransferRepository>;
  private table: QuotaTable;
  /** The table as it will be once the write under way is applied; null: none is. */
  private nextTable: QuotaTable | null = null;
  private teams: ReadonlyMap<string, TeamQuota>;
  private readonly controllers: FeatureWatch;

  constructor(
    private readonly ports: QuotaTransferPorts,
    private readonly term: TermPort,
    private readonly scheduler: SchedulerPort,
  ) {
    this.records = new FencedRecords(ports, term, {
      name: 'shares',
      prefix: QUOTA_TRANSFER_KEYS.all,
      manifestKey: QUOTA_TRANSFER_KEYS.manifest,
      read: (entries) => QuotaTransferRepository.fromEntries(entries),
      unreadableMessage: 'share record cannot be read, moves stand still',
      onChange: () => this.recompute(),
    });
    this.controllers = new FeatureWatch('shares', ports.log, (signal) =>
      ports.isEnabledOnAllControllers(signal),
    );
    this.table = quotaTable(ports.base, this.repository.records);
    this.teams = minimumQuotas(this.table, this.table);
  }

  private get repository(): QuotaTransferRepository {
    return this.records.repository;
  }

  /** Reads all records. Nothing may be decided before this has come about once in the term. */
  load(signal: AbortSignal): Promise<void> {
    return this.records.load(signal);
  }

  /** What each team may have now; while a change is being written, the smaller of before and after. */
  quotas(): ReadonlyMap<string, TeamQuota> {
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
    return this.records.run(signal, (signal) => this.step(signal));
  }

  /**
   * What to stop so that shares can be passed on. Only for a team that waits for its limit alone and is
   * below its guarantee: that is when the rules let work of another team be stopped, and only what the
   * donor runs beyond its own guarantee and its new limit.
   */
  tasksToPreempt(
    demands: ReadonlyMap<string, TeamDemand>,
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
      const asked = minimum(claim, demands.get(move.to)?.quotaLimited ?? NOTHING);
      const stays = subtract(used.get(move.from) ?? NOTHING, alreadyStopping(move.from));
      // What the donor has no use for, or is being stopped of it, is passed on without more stops.
      const coming = subtract(donor.ceiling, stays);
      const wanted = minimum(maximum(NOTHING, subtract(asked, coming)), excess(stays, donor));
      if (isNothing(wanted)) continue;
      stops.push(...chooseTasksToPreempt(wanted, candidates(move.from)));
    }
    return stops;
  }

  private draining(): TransferRecord[] {
    return [...this.repository.transfers.values()]
      .map(({ record }) => record)
      .filter(({ phase }) => phase === 'draining');
  }

  /** What the operators' pages show. */
  get current(): { book: QuotaTransferRepository; table: QuotaTable } {
    return { book: this.repository, table: this.table };
  }

  private recompute(): void {
    this.table = quotaTable(this.ports.base, this.repository.records);
    this.teams = minimumQuotas(this.table, this.nextTable ?? this.table);
  }

  /** Carries moves on by one transaction; false if nothing could be done now. */
  private async step(signal: AbortSignal): Promise<boolean> {
    if (!this.term.holdsLease() || this.repository.unreadable.size > 0) return false;
    const most = Math.max(1, this.ports.maxTransactionChanges() - 1);
    if (this.repository.openTransfers > 0) {
      const transitions = await this.transitions(most, signal);
      if (transitions.length > 0) return this.write(transitions, signal);
    }
    return this.retireOldest(signal);
  }

  private async transitions(most: number, signal: AbortSignal): Promise<Transition[]> {
    const { base, clock, clockErrorMs } = this.ports;
    const mayBegin =
      this.repository.requests.length > 0 && (await this.controllers.isEnabledEverywhere(signal));
    // Read after the wait: what was followed meanwhile must not be written over.
    const { requests, records } = this.repository;
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
    const writeId = this.records.nextWriteId();
    const changesTable = transitions.some((transition) => transition.changesTable);
    const after = transitions.map((transition) => ({ ...transition.after, w: writeId }));
    if (changesTable) this.applyPendingTable(after);
    const written = await this.records.write(
      { ...this.transactionOf(after, changesTable, writeId), priority: REQUEST_PRIORITY },
      signal,
      changesTable ? () => (this.nextTable = null) : null,
    );
    if (written) transitions.forEach((transition) => this.logTransition(transition));
    if (changesTable) this.scheduler.onQuotasChanged();
    return !this.term.signal.aborted;
  }

  /**
   * From here on the smaller shares hold, and what was planned before and has not been sent is taken
   * back: a start that was decided on the former table must not be recorded under the next.
   */
  private applyPendingTable(after: TransferRecord[]): void {
    const moves = new Map(
      this.repository.records.transfers.map((move) => [move.id, move] as const),
    );
    for (const move of after) moves.set(move.id, move);
    const { archivedTotals: archivedTotals } = this.repository.records;
    this.nextTable = quotaTable(this.ports.base, {
      archivedTotals,
      transfers: [...moves.values()],
    });
    this.recompute();
    this.scheduler.withdrawStarts(this.teams);
  }

  private transactionOf(
    after: TransferRecord[],
    changesTable: boolean,
    writeId: string,
  ): { conditions: Condition[]; changes: Change[] } {
    const { repository: repository } = this;
    const conditions: Condition[] = [];
    const changes: Change[] = [];
    for (const move of after) {
      const key = QUOTA_TRANSFER_KEYS.transfer(move.id);
      conditions.push({ key, version: repository.transfers.get(move.id)!.version });
      changes.push({ put: key, value: move });
    }
    if (changesTable) {
      const manifest: ManifestRecord = { w: writeId, revision: repository.revision + 1 };
      conditions.push(this.condition());
      changes.push({ put: QUOTA_TRANSFER_KEYS.manifest, value: manifest });
    }
    return { conditions, changes };
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
    const retirement = retire(this.repository, this.table, this.records.nextWriteId());
    if (retirement === null) return false;
    await this.records.write({ ...retirement, priority: RequestPriority.Background }, signal);
    return !this.term.signal.aborted;
  }
}
