/**
 * The operators' API for rollouts. Any controller serves it, leading or not, since it reads and writes only
 * the store. It stores commands; only the leader executes them.
 */
import {
  withErrorResponses,
  errorResponse,
  WriteIds,
  retryingConflicts,
  type OperatorResponse,
} from '@leverhatch/operators/operator-response';
import { historyOf, retiredJob } from './history.js';
import { ROLLOUT_KEYS, WRITE_ID } from './keys.js';
import type { RolloutPorts } from './ports.js';
import { RolloutAdmission } from './rollout-admission.js';
import {
  isOpen,
  isReadable,
  RolloutRepository,
  type ReadableRollout,
  type Rollout,
} from './rollout-repository.js';
import { isSameRequest, newSpec, parseRequest, type RolloutRequest } from './request.js';
import { batchesOf, rolloutView, type LeadingRollouts } from './rollout-view.js';
import type { SpecRecord } from './spec.js';
import type { ManifestRecord } from './status.js';

/** Store priority of operators' requests, the same as that of users' other writes. */
const REQUEST_PRIORITY = 1;

/** A command for an open rollout. */
export type RolloutCommand = 'pause' | 'resume' | 'rollback';

/** Answers operators' requests. */
export class RolloutApi {
  private readonly writeIds: WriteIds;
  private readonly admission: RolloutAdmission;

  constructor(
    private readonly ports: RolloutPorts,
    /** Unique id of this process; part of its write ids. */
    processId: string,
    /** The leader's live view of rollouts; null while this controller does not lead. */
    private readonly leading: () => LeadingRollouts | null,
  ) {
    this.writeIds = new WriteIds(processId, 'o');
    this.admission = new RolloutAdmission(ports);
  }

  /** Stores a request. Repeating it returns the state of the rollout that it started. */
  start(body: unknown): Promise<OperatorResponse> {
    return this.answering(() => {
      const request = parseRequest(body);
      return retryingConflicts(() => this.tryToStart(request));
    });
  }

  /** The answer; null if the records have changed since they were read. */
  private async tryToStart(request: RolloutRequest): Promise<OperatorResponse | null> {
    const repository = await this.read();
    const known = repository.rollout(request.id);
    if (known) return this.answerRepeated(known, request);
    const refusal = await this.admission.refusalOf(request, repository);
    if (refusal) return refusal;
    const spec = newSpec(request, this.writeIds.next(), this.ports.clock.wall());
    if (!(await this.store(spec, repository))) return null;
    const { id, from, to } = spec;
    this.ports.log.info({ rollout: id, from, to }, 'rollout accepted');
    const rollout = { id, spec: { record: spec, version: 0 }, status: null };
    return { status: 201, body: this.view(rollout) };
  }

  /** Returns what a rollout would do, without starting it. */
  plan(body: unknown): Promise<OperatorResponse> {
    return this.answering(async () => {
      const request = parseRequest(body);
      const refusal = await this.admission.refusalOf(request, await this.read());
      if (refusal) return refusal;
      const { replicas, resources } = await this.admission.serviceJob(request.from);
      const surge = Math.min(request.maxSurge, replicas);
      const room = { cpus: resources.cpus * surge, gpus: resources.gpus * surge };
      return { status: 200, body: { replicas, room, steps: batchesOf(request, replicas) } };
    });
  }

  /**
   * Commits the spec together with a new manifest, so that the store rejects starts that were planned before
   * the leader knew of this rollout.
   */
  private async store(spec: SpecRecord, repository: RolloutRepository): Promise<boolean> {
    const key = ROLLOUT_KEYS.spec(spec.id);
    const manifest: ManifestRecord = {
      [WRITE_ID]: spec[WRITE_ID],
      revision: repository.revision + 1,
    };
    const { ok } = await this.ports.store.tryCommit(
      [
        { key, version: 0 },
        { key: ROLLOUT_KEYS.manifest, version: repository.manifestVersion },
      ],
      [
        { put: key, value: spec },
        { put: ROLLOUT_KEYS.manifest, value: manifest },
      ],
      REQUEST_PRIORITY,
    );
    return ok;
  }

  private answerRepeated(known: Rollout, request: RolloutRequest): OperatorResponse {
    const { id } = known;
    if (!isReadable(known)) return errorResponse(409, `id: the record of ${id} cannot be read`);
    if (!isSameRequest(request, known.spec.record))
      return errorResponse(409, `id: ${id} names another rollout`);
    return { status: 200, body: this.view(known) };
  }

  /** Stores a command. Repeating it returns the state of the rollout and writes nothing. */
  order(id: string, command: RolloutCommand): Promise<OperatorResponse> {
    return this.answering(() => retryingConflicts(() => this.tryToSubmitCommand(id, command)));
  }

  /** The answer; null if the record has changed since it was read. */
  private async tryToSubmitCommand(
    id: string,
    command: RolloutCommand,
  ): Promise<OperatorResponse | null> {
    const rollout = (await this.read()).rollout(id);
    if (!rollout) return errorResponse(404, `id: no rollout ${id}`);
    if (!isReadable(rollout)) return errorResponse(409, `id: the record of ${id} cannot be read`);
    const refusal = commandRefusal(command, rollout);
    if (refusal !== null) return errorResponse(409, `id: rollout ${id} ${refusal}`);
    const { record, version } = rollout.spec;
    const next = { ...record, ...COMMAND_CHANGES[command] };
    if (next.paused === record.paused && next.rollback === record.rollback) {
      return { status: 200, body: this.view(rollout) };
    }
    const spec = { ...next, [WRITE_ID]: this.writeIds.next() };
    const key = ROLLOUT_KEYS.spec(id);
    const put = [{ put: key, value: spec }];
    const outcome = await this.ports.store.tryCommit([{ key, version }], put, REQUEST_PRIORITY);
    if (!outcome.ok) return null;
    this.ports.log.info({ rollout: id, command }, 'rollout command accepted');
    return { status: 200, body: this.view({ ...rollout, spec: { record: spec, version } }) };
  }

  /** Open rollouts, and finished ones whose retired job has not been cancelled by its user. */
  status(): Promise<OperatorResponse> {
    return this.answering(async () => {
      const repository = await this.read();
      const open = repository.rollouts.filter(isOpen).filter(isReadable);
      const finished = await this.rolloutsWithOpenRetiredJob(repository);
      const rollouts = [...open, ...finished].map((rollout) => this.view(rollout));
      const leading = this.leading() !== null;
      return { status: 200, body: { leading, rollouts, unreadable: repository.unreadableKeys() } };
    });
  }

  private async rolloutsWithOpenRetiredJob(
    repository: RolloutRepository,
  ): Promise<ReadableRollout[]> {
    const matching: ReadableRollout[] = [];
    for (const rollout of historyOf(repository)) {
      const retired = retiredJob(rollout);
      const job = retired === null ? null : await this.ports.readJob(retired);
      if (job?.state === 'open') matching.push(rollout);
    }
    return matching;
  }

  /** Finished rollouts, newest first. */
  history(): Promise<OperatorResponse> {
    return this.answering(async () => {
      const history = historyOf(await this.read()).reverse();
      return { status: 200, body: { rollouts: history.map((rollout) => this.view(rollout)) } };
    });
  }

  private view(rollout: ReadableRollout): object {
    return rolloutView(rollout, isOpen(rollout) ? this.leading() : null);
  }

  private async read(): Promise<RolloutRepository> {
    const { items } = await this.ports.store.range(ROLLOUT_KEYS.all);
    return RolloutRepository.fromEntries(items);
  }

  private answering(answer: () => Promise<OperatorResponse>): Promise<OperatorResponse> {
    return withErrorResponses(this.ports.log, answer);
  }
}

/** The spec fields that each command sets. */
const COMMAND_CHANGES: Record<RolloutCommand, Partial<SpecRecord>> = {
  pause: { paused: true },
  resume: { paused: false },
  rollback: { rollback: true },
};

/** Why a command is refused; null if it is accepted. */
function commandRefusal(command: RolloutCommand, { spec, status }: ReadableRollout): string | null {
  const phase = status?.record.phase;
  if (phase && !isOpen({ id: '', spec, status })) return `is over (${phase})`;
  const isRollback = spec.record.rollback || phase === 'rolling-back';
  return isRollback && command !== 'rollback' ? 'is being rolled back' : null;
}
