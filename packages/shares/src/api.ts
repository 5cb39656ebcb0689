/**
 * What operators may ask of any controller, leading or not: everything rests on the state service. Only
 * the leader changes the table; here requests are stored, and what the records say is shown.
 */
import type { Entry } from '@leverhatch/core/store';
import {
  answering,
  conflictAnswer,
  errorAnswer,
  WriteIds,
  retryingConflicts,
  type ApiAnswer,
} from '@leverhatch/operators/api-answer';
import { finite, NOTHING, subtract } from './amounts.js';
import { chooseTasksToPreempt } from './preemption-choice.js';
import { QUOTA_TRANSFER_KEYS } from './keys.js';
import type { LeaderQuotas } from './leader-quotas.js';
import { isFinal, parseTransfer, type TransferRecord } from './transfer-record.js';
import type { SchedulerPort, QuotaTransferPorts } from './ports.js';
import { QuotaTransferRepository } from './quota-transfer-repository.js';
import { isSameRequest, newTransfer, parseRequest } from './request.js';
import {
  excess,
  quotaTable,
  refusalReason,
  type QuotaTable,
  type TeamQuota,
} from './quota-table.js';

/** So many moves may be under way or wait at once. */
export const MAX_OPEN_TRANSFERS = 1000;

/** Requests of operators go with users' other writes. */
const REQUEST_PRIORITY = 1;

/** For so many steps of a move it is not read again what teams are promised. */
const PROMISED_CACHE_STEPS = 2;

/** A term in which this controller leads. */
export interface LeadingTerm {
  quotas: LeaderQuotas;
  scheduler: SchedulerPort;
  /** Why the policy's last evaluation came to nothing; null: it did not, or there is none. */
  policyFailure: string | null;
}

/** Answers operators. */
export class QuotaTransferApi {
  private readonly marks: WriteIds;
  /** What the teams are promised, as it was last read. */
  private promised: { readAt: number; shares: ReadonlyMap<string, TeamQuota> } | null = null;

  constructor(
    private readonly ports: QuotaTransferPorts,
    /** Names this process in its writes. */
    processId: string,
    /** What this controller knows while it leads; null: another one does. */
    private readonly leading: () => LeadingTerm | null,
  ) {
    this.marks = new WriteIds(processId, 'r');
  }

  /** Stores a request; the same one again gets the state of the first. */
  submit(body: unknown): Promise<ApiAnswer> {
    return this.answering(async () => {
      const { base, clock, store } = this.ports;
      const request = parseRequest(body, base, clock.wall());
      const key = QUOTA_TRANSFER_KEYS.transfer(request.id);
      const known = await store.get(key, REQUEST_PRIORITY);
      if (known) return this.repeated(known, request);
      const repository = await this.read();
      if (repository.openTransfers >= MAX_OPEN_TRANSFERS)
        return errorAnswer(503, 'too many moves are under way');
      const move = newTransfer(request, this.marks.next(), clock.wall());
      const outcome = await store.tryCommit(
        [{ key, version: 0 }],
        [{ put: key, value: move }],
        REQUEST_PRIORITY,
      );
      if (outcome.ok) {
        this.ports.log.info({ move: move.id, from: move.from, to: move.to }, 'share move accepted');
        return { status: 201, body: move };
      }
      const first = await store.get(key, REQUEST_PRIORITY);
      return first ? this.repeated(first, request) : conflictAnswer();
    });
  }

  private repeated(known: Entry, request: Parameters<typeof isSameRequest>[0]): ApiAnswer {
    const move = parseTransfer(known.value);
    if (!move) return errorAnswer(409, `id: the record of ${request.id} cannot be read`);
    if (!isSameRequest(request, move))
      return errorAnswer(409, `id: ${request.id} names another move`);
    return { status: 200, body: move };
  }

  /** Asks the leader to take a move back; a move that is over stays as it is. */
  cancel(id: string): Promise<ApiAnswer> {
    return this.answering(() => retryingConflicts(() => this.tryToCancel(id)));
  }

  /** The answer; null: the record has changed meanwhile. */
  private async tryToCancel(id: string): Promise<ApiAnswer | null> {
    const { store } = this.ports;
    const key = QUOTA_TRANSFER_KEYS.transfer(id);
    const entry = await store.get(key, REQUEST_PRIORITY);
    if (!entry) return errorAnswer(404, `id: no move ${id}`);
    const move = parseTransfer(entry.value);
    if (!move) return errorAnswer(409, `id: the record of ${id} cannot be read`);
    if (move.cancelRequested) return { status: 200, body: move };
    if (isFinal(move.phase)) return errorAnswer(409, `id: move ${id} is over (${move.phase})`);
    const next: TransferRecord = { ...move, cancelRequested: true, w: this.marks.next() };
    const when = [{ key, version: entry.version }];
    const { ok } = await store.tryCommit(when, [{ put: key, value: next }], REQUEST_PRIORITY);
    return ok ? { status: 200, body: next } : null;
  }

  /** What every team has, and the moves that are not over. */
  show(): Promise<ApiAnswer> {
    return this.answering(async () => {
      const repository = await this.read();
      const table = quotaTable(this.ports.base, repository.records);
      const leading = this.leading();
      const used = leading?.scheduler.used() ?? null;
      const teams = [...table.teams].map(([name, position]) => ({
        name,
        guarantee: finite(position.guarantee),
        limit: finite(position.limit),
        ceiling: finite(position.ceiling),
        used: used?.get(name) ?? null,
      }));
      const moves = repository.records.transfers
        .filter((move) => !isFinal(move.phase))
        .map((move) => ({ ...move, waitsFor: this.waitsFor(move, table) }));
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

  /** What keeps a move from going on, as far as this controller can tell. */
  private waitsFor(move: TransferRecord, table: QuotaTable): string | null {
    const suspended = table.suspended.find(({ what }) => what === move.id);
    if (suspended) return `suspended: ${suspended.reason}`;
    const used = this.leading()?.scheduler.used();
    if (move.phase === 'requested') return 'the leader';
    if (!used || move.phase === 'lent') return null;
    const holder = move.phase === 'returning' ? move.to : move.from;
    const position = table.teams.get(holder);
    if (!position) return null;
    const { cpus, gpus } = excess(used.get(holder) ?? NOTHING, position);
    return `${gpus} GPUs and ${cpus} CPUs that team ${holder} still holds beyond its limit`;
  }

  /** Moves that are over, the newest first. */
  history(): Promise<ApiAnswer> {
    return this.answering(async () => {
      const repository = await this.read();
      return { status: 200, body: { moves: repository.history.reverse() } };
    });
  }

  /** Says what a move would do, without doing anything. Only the leader knows what runs. */
  plan(body: unknown): Promise<ApiAnswer> {
    return this.answering(async () => {
      const { base, clock } = this.ports;
      const request = parseRequest(body, base, clock.wall());
      const leading = this.leading();
      if (!leading) return errorAnswer(421, 'this controller does not lead');
      const { table } = leading.quotas.current;
      const move = newTransfer(request, '', clock.wall());
      const refused = refusalReason(table, move);
      if (refused !== null) return errorAnswer(422, refused);
      return { status: 200, body: preview(move, table, leading.scheduler) };
    });
  }

  /**
   * What each team has or will have when the moves that have begun are drained, for judging whether a
   * job can ever run. It may be as old as a few steps of a move.
   */
  async promisedQuotas(): Promise<ReadonlyMap<string, TeamQuota>> {
    const { clock, stepIntervalMs: stepIntervalMs, base } = this.ports;
    const now = clock.now();
    if (
      this.promised === null ||
      now - this.promised.readAt > stepIntervalMs * PROMISED_CACHE_STEPS
    ) {
      const { teams } = quotaTable(base, (await this.read()).records);
      const shares = new Map([...teams].map(([name, { promised }]) => [name, promised] as const));
      this.promised = { readAt: now, shares };
    }
    return this.promised.shares;
  }

  private async read(): Promise<QuotaTransferRepository> {
    const { items } = await this.ports.store.range(QUOTA_TRANSFER_KEYS.all);
    return QuotaTransferRepository.fromEntries(items);
  }

  private answering(answer: () => Promise<ApiAnswer>): Promise<ApiAnswer> {
    return answering(this.ports.log, answer);
  }
}

/** What a move would leave, and what of the donor's work would have to go at the worst. */
function preview(move: TransferRecord, table: QuotaTable, scheduler: SchedulerPort): object {
  const donor = table.teams.get(move.from)!;
  const left: TeamQuota = {
    guarantee: subtract(donor.guarantee, move.guarantee),
    limit: subtract(donor.limit, move.limit),
  };
  const used = scheduler.used().get(move.from) ?? NOTHING;
  const toDrain = excess(used, left);
  const stops = chooseTasksToPreempt(toDrain, scheduler.candidates(move.from));
  return {
    donor: { team: move.from, used, guarantee: finite(left.guarantee), limit: finite(left.limit) },
    toDrain,
    wouldStopAtMost: stops.map(({ job, task, lostWorkMs: lostWorkMs }) => ({
      task: `${job}/${task}`,
      lossSeconds: Math.round(lostWorkMs / 1000),
    })),
  };
}
