/**
 * The operators' API for quota transfers. Every controller, leader or not, serves it from the store: it stores
 * requests and returns records. Only the leader changes the quota table.
 */
import { RequestPriority, type Entry } from '@leverhatch/core/store';
import {
  withErrorResponses,
  conflictResponse,
  errorResponse,
  WriteIds,
  retryingConflicts,
  type OperatorResponse,
} from '@leverhatch/operators/operator-response';
import { toJsonAmounts, ZERO_AMOUNTS, subtract } from './amounts.js';
import { chooseTasksToPreempt } from './preemption-choice.js';
import { QUOTA_TRANSFER_KEYS } from './keys.js';
import type { LeaderQuotas } from './leader-quotas.js';
import { isFinal, parseTransfer, storedWriteId, type TransferRecord } from './transfer-record.js';
import type { SchedulerPort, QuotaTransferPorts } from './ports.js';
import { QuotaTransferRepository } from './quota-transfer-repository.js';
import { isSameRequest, newTransfer, parseRequest } from './request.js';
import {
  excess,
  positionOf,
  quotaTable,
  refusalReason,
  type QuotaTable,
  type TeamQuota,
} from './quota-table.js';

/** Maximum number of open transfers, both requested and in progress. */
const MAX_OPEN_TRANSFERS = 1000;

/** Operators' requests have the same priority as users' other writes. */
const REQUEST_PRIORITY = RequestPriority.High;

/** Maximum age of the cached promised quotas, in step intervals. */
const PROMISED_CACHE_STEPS = 2;

/** The current term of this controller as leader. */
export interface LeadingTerm {
  /** The leader's side of quota transfers. */
  quotas: LeaderQuotas;
  /** The teams' running and waiting tasks, as known to the leader. */
  scheduler: SchedulerPort;
  /** Why the last evaluation of the policy failed; null: it succeeded, or there is no policy. */
  policyFailure: string | null;
}

/** Handles operators' requests. */
export class QuotaTransferApi {
  private readonly writeIds: WriteIds;
  /** Cached promised quotas; `readAt` is monotonic time in milliseconds. */
  private promisedCache: { readAt: number; quotas: ReadonlyMap<string, TeamQuota> } | null = null;

  constructor(
    private readonly ports: QuotaTransferPorts,
    /** Prefix of this process's write ids. */
    processId: string,
    /** Returns the current term; null if this controller is not the leader. */
    private readonly leading: () => LeadingTerm | null,
  ) {
    this.writeIds = new WriteIds(processId, 'r');
  }

  /** Stores a transfer request. Idempotent: a repeated request returns the current state of the transfer. */
  submit(body: unknown): Promise<OperatorResponse> {
    return this.handle(async () => {
      const { base, clock, store } = this.ports;
      const request = parseRequest(body, base, clock.wall());
      const key = QUOTA_TRANSFER_KEYS.transfer(request.id);
      const existing = await store.get(key, REQUEST_PRIORITY);
      if (existing) return this.answerRepeat(existing, request);
      const repository = await this.read();
      if (repository.openTransfers >= MAX_OPEN_TRANSFERS)
        return errorResponse(503, 'too many moves are under way');
      const transfer = newTransfer(request, this.writeIds.next(), clock.wall());
      const outcome = await store.tryCommit(
        [{ key, version: 0 }],
        [{ put: key, value: transfer }],
        REQUEST_PRIORITY,
      );
      if (outcome.ok) {
        this.ports.log.info(
          { transfer: transfer.id, from: transfer.from, to: transfer.to },
          'quota transfer accepted',
        );
        return { status: 201, body: transfer };
      }
      const first = await store.get(key, REQUEST_PRIORITY);
      return first ? this.answerRepeat(first, request) : conflictResponse();
    });
  }

  private answerRepeat(
    existing: Entry,
    request: Parameters<typeof isSameRequest>[0],
  ): OperatorResponse {
    const transfer = parseTransfer(existing.value);
    if (!transfer) return errorResponse(409, `id: the record of ${request.id} cannot be read`);
    if (!isSameRequest(request, transfer))
      return errorResponse(409, `id: ${request.id} names another move`);
    return { status: 200, body: transfer };
  }

  /** Requests the leader to cancel a transfer; a transfer that has ended is not changed. */
  cancel(id: string): Promise<OperatorResponse> {
    return this.handle(() => retryingConflicts(() => this.tryCancel(id)));
  }

  /** Returns the response; null: the record changed between the read and the write. */
  private async tryCancel(id: string): Promise<OperatorResponse | null> {
    const { store } = this.ports;
    const key = QUOTA_TRANSFER_KEYS.transfer(id);
    const entry = await store.get(key, REQUEST_PRIORITY);
    if (!entry) return errorResponse(404, `id: no move ${id}`);
    const transfer = parseTransfer(entry.value);
    if (!transfer) return errorResponse(409, `id: the record of ${id} cannot be read`);
    if (transfer.cancelRequested) return { status: 200, body: transfer };
    if (isFinal(transfer.phase))
      return errorResponse(409, `id: move ${id} is over (${transfer.phase})`);
    const next: TransferRecord = {
      ...transfer,
      cancelRequested: true,
      ...storedWriteId(this.writeIds.next()),
    };
    const when = [{ key, version: entry.version }];
    const { ok } = await store.tryCommit(when, [{ put: key, value: next }], REQUEST_PRIORITY);
    return ok ? { status: 200, body: next } : null;
  }

  /** Returns the quota of each team, and the open transfers. */
  show(): Promise<OperatorResponse> {
    return this.handle(async () => {
      const repository = await this.read();
      const table = quotaTable(this.ports.base, repository.records);
      const leading = this.leading();
      const used = leading?.scheduler.used() ?? null;
      const teams = [...table.teams].map(([name, position]) => ({
        name,
        guarantee: toJsonAmounts(position.guarantee),
        limit: toJsonAmounts(position.limit),
        ceiling: toJsonAmounts(position.ceiling),
        used: used?.get(name) ?? null,
      }));
      const moves = repository.records.transfers
        .filter((transfer) => !isFinal(transfer.phase))
        .map((transfer) => ({ ...transfer, waitsFor: this.waitsFor(transfer, table) }));
      const unreadable = [...repository.unreadableKeys()];
      const { suspended } = table;
      const policyFailure = leading?.policyFailure ?? null;
      return {
        status: 200,
        body: {
          leading: leading !== null,
          revision: repository.revision,
          teams,
          moves,
          suspended,
          unreadable,
          policyFailure,
        },
      };
    });
  }

  /** Describes what a transfer is waiting for; null if it waits for nothing or this controller does not know. */
  private waitsFor(transfer: TransferRecord, table: QuotaTable): string | null {
    const suspended = table.suspended.find(({ what }) => what === transfer.id);
    if (suspended) return `suspended: ${suspended.reason}`;
    const used = this.leading()?.scheduler.used();
    if (transfer.phase === 'requested') return 'the leader';
    if (!used || transfer.phase === 'lent') return null;
    const holder = transfer.phase === 'returning' ? transfer.to : transfer.from;
    const position = table.teams.get(holder);
    if (!position) return null;
    const { cpus, gpus } = excess(used.get(holder) ?? ZERO_AMOUNTS, position);
    return `${gpus} GPUs and ${cpus} CPUs that team ${holder} still holds beyond its limit`;
  }

  /** Returns the transfers that have ended, newest first. */
  history(): Promise<OperatorResponse> {
    return this.handle(async () => {
      const repository = await this.read();
      return { status: 200, body: { moves: repository.history.reverse() } };
    });
  }

  /** Previews a transfer without any change. Only the leader can do so, since it knows what is running. */
  plan(body: unknown): Promise<OperatorResponse> {
    return this.handle(async () => {
      const { base, clock } = this.ports;
      const request = parseRequest(body, base, clock.wall());
      const leading = this.leading();
      if (!leading) return errorResponse(421, 'this controller does not lead');
      const { table } = leading.quotas.current;
      const transfer = newTransfer(request, '', clock.wall());
      const refused = refusalReason(table, transfer);
      if (refused !== null) return errorResponse(422, refused);
      return { status: 200, body: preview(transfer, table, leading.scheduler) };
    });
  }

  /**
   * Returns the quota that each team will have once all transfers in progress have drained, which decides
   * whether a job can ever run. The result may be cached for a few step intervals.
   */
  async promisedQuotas(): Promise<ReadonlyMap<string, TeamQuota>> {
    const { clock, stepIntervalMs, base } = this.ports;
    const now = clock.now();
    if (
      this.promisedCache === null ||
      now - this.promisedCache.readAt > stepIntervalMs * PROMISED_CACHE_STEPS
    ) {
      const { teams } = quotaTable(base, (await this.read()).records);
      const quotas = new Map([...teams].map(([name, { promised }]) => [name, promised] as const));
      this.promisedCache = { readAt: now, quotas };
    }
    return this.promisedCache.quotas;
  }

  private async read(): Promise<QuotaTransferRepository> {
    const { items } = await this.ports.store.range(QUOTA_TRANSFER_KEYS.all);
    return QuotaTransferRepository.fromEntries(items);
  }

  private handle(answer: () => Promise<OperatorResponse>): Promise<OperatorResponse> {
    return withErrorResponses(this.ports.log, answer);
  }
}

/** The quota that the donor would keep after a transfer, and the tasks that would be preempted at most. */
function preview(transfer: TransferRecord, table: QuotaTable, scheduler: SchedulerPort): object {
  const donor = positionOf(table.teams, transfer.from);
  const remaining: TeamQuota = {
    guarantee: subtract(donor.guarantee, transfer.guarantee),
    limit: subtract(donor.limit, transfer.limit),
  };
  const used = scheduler.used().get(transfer.from) ?? ZERO_AMOUNTS;
  const toDrain = excess(used, remaining);
  const tasksToStop = chooseTasksToPreempt(toDrain, scheduler.drainCandidates(transfer.from));
  return {
    donor: {
      team: transfer.from,
      used,
      guarantee: toJsonAmounts(remaining.guarantee),
      limit: toJsonAmounts(remaining.limit),
    },
    toDrain,
    wouldStopAtMost: tasksToStop.map(({ job, task, lostWorkMs }) => ({
      task: `${job}/${task}`,
      lossSeconds: Math.round(lostWorkMs / 1000),
    })),
  };
}
