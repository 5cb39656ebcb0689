/**
 * The leader's part of quota transfers: reads the records, advances transfers step by step, and provides the
 * scheduler with the quota of each team. An instance exists for one term.
 */
import { FeatureWatch, FencedRecords } from '@leverhatch/core/fenced-records';
import { RequestPriority, type Change, type Condition } from '@leverhatch/core/store';
import type { TermPort } from '@leverhatch/core/term';
import {
  excess,
  quotaTable,
  minimumQuotas,
  type QuotaTable,
  type TeamQuota,
} from './quota-table.js';
import {
  isNonPositive,
  maximum,
  ZERO_AMOUNTS,
  minimum,
  subtract,
  type Amounts,
} from './amounts.js';
import { chooseTasksToPreempt, type DrainCandidate } from './preemption-choice.js';
import { QUOTA_TRANSFER_KEYS } from './keys.js';
import { storedWriteId, type ManifestRecord, type TransferRecord } from './transfer-record.js';
import type { SchedulerPort, QuotaTransferPorts } from './ports.js';
import { QuotaTransferRepository } from './quota-transfer-repository.js';
import { nextTransitions, type Transition } from './transitions.js';
import { archiveOldestTransfer } from './history.js';

/** Transfers are not urgent: writes that start tasks take precedence. */
const REQUEST_PRIORITY = RequestPriority.Normal;

/** A team's demand beyond its quota, as determined by a scheduling cycle. */
export interface TeamDemand {
  /** Total resource requests of waiting tasks that are blocked only by the team's limit. */
  quotaLimited: Amounts;
}

/** The quota table and the transfers during one term. */
export class LeaderQuotas {
  private readonly records: FencedRecords<QuotaTransferRepository>;
  private table: QuotaTable;
  /** The table as it will be after the write in flight; null: no write is in flight. */
  private pendingTable: QuotaTable | null = null;
  /** Result of `quotas`. */
  private effectiveQuotas: ReadonlyMap<string, TeamQuota>;
  private readonly featureWatch: FeatureWatch;

  constructor(
    private readonly ports: QuotaTransferPorts,
    private readonly term: TermPort,
    private readonly scheduler: SchedulerPort,
  ) {
    this.records = new FencedRecords(ports, term, {
      name: 'shares',
      prefix: QUOTA_TRANSFER_KEYS.all,
      manifestKey: QUOTA_TRANSFER_KEYS.manifest,
      createRepository: (entries) => QuotaTransferRepository.fromEntries(entries),
      unreadableMessage: 'quota transfer record unreadable, transfers suspended',
      onChange: () => this.recompute(),
    });
    this.featureWatch = new FeatureWatch('shares', ports.log, (signal) =>
      ports.isEnabledOnAllControllers(signal),
    );
    this.table = quotaTable(ports.base, this.repository.records);
    this.effectiveQuotas = minimumQuotas(this.table, this.table);
  }

  private get repository(): QuotaTransferRepository {
    return this.records.repository;
  }

  /** Reads all records. No decision may be made before this has succeeded once in the term. */
  load(signal: AbortSignal): Promise<void> {
    return this.records.load(signal);
  }

  /** The current quota of each team; while a change is being written, the minimum of old and new quota. */
  quotas(): ReadonlyMap<string, TeamQuota> {
    return this.effectiveQuotas;
  }

  /** Condition of every transaction that starts a task. */
  condition(): Condition {
    return this.records.condition();
  }

  /**
   * Handles a transaction that starts a task and was rejected because the table has changed. Resolves once
   * the table in the store is known and starts that no longer fit have been withdrawn.
   */
  async conditionFailed(failed: Condition): Promise<void> {
    await this.records.conditionFailed(failed);
    this.scheduler.withdrawStarts(this.effectiveQuotas);
  }

  /** Watches the records and advances transfers until `signal` is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return this.records.run(signal, (taskSignal) => this.step(taskSignal));
  }

  /**
   * Chooses the tasks to preempt so that quota can be released to receivers. A receiver must be blocked by its
   * limit alone and be below its guarantee: only then may tasks of another team be preempted, and only those
   * that the donor runs beyond its own guarantee and its new limit.
   */
  tasksToPreempt(
    demands: ReadonlyMap<string, TeamDemand>,
    used: ReadonlyMap<string, Amounts>,
    candidates: (team: string) => DrainCandidate[],
    alreadyStopping: (team: string) => Amounts,
  ): DrainCandidate[] {
    const chosen: DrainCandidate[] = [];
    for (const transfer of this.drainingTransfers()) {
      const donor = this.table.teams.get(transfer.from);
      const receiver = this.table.teams.get(transfer.to);
      if (!donor || !receiver) continue;
      const unmetGuarantee = subtract(
        receiver.promised.guarantee,
        used.get(transfer.to) ?? ZERO_AMOUNTS,
      );
      const entitledDemand = minimum(
        unmetGuarantee,
        demands.get(transfer.to)?.quotaLimited ?? ZERO_AMOUNTS,
      );
      const remainingUse = subtract(
        used.get(transfer.from) ?? ZERO_AMOUNTS,
        alreadyStopping(transfer.from),
      );
      // Quota that the donor does not use or that its stopping tasks free is released without preemption.
      const expectedRelease = subtract(donor.ceiling, remainingUse);
      const amountToPreempt = minimum(
        maximum(ZERO_AMOUNTS, subtract(entitledDemand, expectedRelease)),
        excess(remainingUse, donor),
      );
      if (isNonPositive(amountToPreempt)) continue;
      // Not push(...tasks): the number of arguments of a call is limited.
      const tasks = chooseTasksToPreempt(amountToPreempt, candidates(transfer.from));
      for (const task of tasks) chosen.push(task);
    }
    return chosen;
  }

  private drainingTransfers(): TransferRecord[] {
    return [...this.repository.transfers.values()]
      .map(({ record }) => record)
      .filter(({ phase }) => phase === 'draining');
  }

  /** The records and the table derived from them. */
  get current(): { repository: QuotaTransferRepository; table: QuotaTable } {
    return { repository: this.repository, table: this.table };
  }

  private recompute(): void {
    this.table = quotaTable(this.ports.base, this.repository.records);
    this.effectiveQuotas = minimumQuotas(this.table, this.pendingTable ?? this.table);
  }

  /** Advances transfers by one transaction; resolves to false if there was nothing to do. */
  private async step(signal: AbortSignal): Promise<boolean> {
    if (!this.term.holdsLease() || this.repository.unreadable.size > 0) return false;
    const maxTransitions = Math.max(1, this.ports.maxTransactionChanges() - 1);
    if (this.repository.openTransfers > 0) {
      const transitions = await this.planTransitions(maxTransitions, signal);
      if (transitions.length > 0) return this.write(transitions, signal);
    }
    return this.archiveOldest(signal);
  }

  private async planTransitions(
    maxTransitions: number,
    signal: AbortSignal,
  ): Promise<Transition[]> {
    const { base, clock, clockErrorMs } = this.ports;
    const mayBegin =
      this.repository.requests.length > 0 && (await this.featureWatch.isEnabledEverywhere(signal));
    // Read after the await, so that changes received by the watch in the meantime are not overwritten.
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
      maxTransitions,
    );
  }

  private async write(transitions: Transition[], signal: AbortSignal): Promise<boolean> {
    const writeId = this.records.nextWriteId();
    const changesTable = transitions.some((transition) => transition.changesTable);
    const after = transitions.map((transition) => ({
      ...transition.after,
      ...storedWriteId(writeId),
    }));
    if (changesTable) this.applyPendingTable(after);
    const written = await this.records.write(
      { ...this.buildTransaction(after, changesTable, writeId), priority: REQUEST_PRIORITY },
      signal,
      changesTable ? () => (this.pendingTable = null) : null,
    );
    if (written) transitions.forEach((transition) => this.logTransition(transition));
    if (changesTable) this.scheduler.onQuotasChanged();
    return !this.term.signal.aborted;
  }

  /**
   * Applies the minimum of the current and the pending quotas, and withdraws starts that are planned but not
   * yet sent: a start that was decided on the old table must not be recorded under the new one.
   */
  private applyPendingTable(after: TransferRecord[]): void {
    const transfers = new Map(
      this.repository.records.transfers.map((transfer) => [transfer.id, transfer] as const),
    );
    for (const transfer of after) transfers.set(transfer.id, transfer);
    const { archivedTotals } = this.repository.records;
    this.pendingTable = quotaTable(this.ports.base, {
      archivedTotals,
      transfers: [...transfers.values()],
    });
    this.recompute();
    this.scheduler.withdrawStarts(this.effectiveQuotas);
  }

  private buildTransaction(
    after: TransferRecord[],
    changesTable: boolean,
    writeId: string,
  ): { conditions: Condition[]; changes: Change[] } {
    const { repository } = this;
    const conditions: Condition[] = [];
    const changes: Change[] = [];
    for (const transfer of after) {
      const key = QUOTA_TRANSFER_KEYS.transfer(transfer.id);
      conditions.push({ key, version: repository.transferVersion(transfer.id) });
      changes.push({ put: key, value: transfer });
    }
    if (changesTable) {
      const manifest: ManifestRecord = {
        ...storedWriteId(writeId),
        revision: repository.revision + 1,
      };
      conditions.push(this.condition());
      changes.push({ put: QUOTA_TRANSFER_KEYS.manifest, value: manifest });
    }
    return { conditions, changes };
  }

  private logTransition({ before, after }: Transition): void {
    const { id, from, to, guarantee, limit, passed, reason } = after;
    const fields = { transfer: id, from, to, guarantee, limit, passed, reason };
    if (before.phase !== after.phase) {
      this.ports.log.info(
        { ...fields, previousPhase: before.phase, phase: after.phase },
        'quota transfer phase changed',
      );
    } else this.ports.log.debug(fields, 'quota transfer progressed');
  }

  /** Archives the oldest ended transfer if the history exceeds its maximum size. */
  private async archiveOldest(signal: AbortSignal): Promise<boolean> {
    const transaction = archiveOldestTransfer(
      this.repository,
      this.table,
      this.records.nextWriteId(),
    );
    if (transaction === null) return false;
    await this.records.write({ ...transaction, priority: RequestPriority.Background }, signal);
    return !this.term.signal.aborted;
  }
}
