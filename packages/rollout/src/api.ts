/**
 * What operators may ask of any controller, leading or not: everything rests on the state service. Orders
 * are stored here; the leader alone carries them out.
 */
import {
  answering,
  errorAnswer,
  WriteIds,
  retryingConflicts,
  type ApiAnswer,
} from '@leverhatch/operators/api-answer';
import { InvalidRequestError } from '@leverhatch/operators/request';
import { versionMismatchReason } from './eligibility.js';
import { historyOf, losingJob } from './history.js';
import { ROLLOUT_KEYS, WRITE_ID } from './keys.js';
import type { LeaderRollouts } from './leader-rollouts.js';
import type { RolloutPorts, ServiceJob } from './ports.js';
import { FRESH_INTERVALS } from './readiness-proofs.js';
import {
  isOpen,
  isReadable,
  jobsOf,
  RolloutRepository,
  type ReadableRollout,
  type Rollout,
} from './rollout-repository.js';
import { isSameRequest, newSpec, parseRequest, type RolloutRequest } from './request.js';
import { stepTarget, type SpecRecord } from './spec.js';
import type { ManifestRecord, StatusRecord } from './status.js';

/** So many rollouts may be open at once. */
export const MAX_OPEN_ROLLOUTS = 50;

/** Probes may come so many times less often than they should, well within what a proof is good for. */
const MAX_STRETCH = FRESH_INTERVALS / 2;

/** Requests of operators go with users' other writes. */
const REQUEST_PRIORITY = 1;

/** What a controller knows of rollouts while it leads. */
export type LeadingRollouts = Pick<LeaderRollouts, 'waitsFor' | 'counts'>;

/** An order to a rollout under way. */
export type RolloutCommand = 'pause' | 'resume' | 'rollback';

/** Answers operators. */
export class RolloutApi {
  private readonly writeIds: WriteIds;

  constructor(
    private readonly ports: RolloutPorts,
    /** Names this process in its writes. */
    processId: string,
    /** What this controller knows while it leads; null: another one does. */
    private readonly leading: () => LeadingRollouts | null,
  ) {
    this.writeIds = new WriteIds(processId, 'o');
  }

  /** Stores a request; the same one again gets the state of the first. */
  start(body: unknown): Promise<ApiAnswer> {
    return this.answering(() => {
      const request = parseRequest(body);
      return retryingConflicts(() => this.tryToStart(request));
    });
  }

  /** The answer; null: the records have changed meanwhile. */
  private async tryToStart(request: RolloutRequest): Promise<ApiAnswer | null> {
    const repository = await this.read();
    const known = repository.rollout(request.id);
    if (known) return this.repeated(known, request);
    const refusal = await this.whyRefused(request, repository);
    if (refusal) return refusal;
    const spec = newSpec(request, this.writeIds.next(), this.ports.clock.wall());
    if (!(await this.store(spec, repository))) return null;
    const { id, from, to } = spec;
    this.ports.log.info({ rollout: id, from, to }, 'rollout accepted');
    const rollout = { id, spec: { record: spec, version: 0 }, status: null };
    return { status: 201, body: this.shown(rollout) };
  }

  /** Says what a rollout would do, without doing anything. */
  plan(body: unknown): Promise<ApiAnswer> {
    return this.answering(async () => {
      const request = parseRequest(body);
      const refusal = await this.whyRefused(request, await this.read());
      if (refusal) return refusal;
      const { replicas, resources } = await this.serviceJob(request.from);
      const surge = Math.min(request.maxSurge, replicas);
      const room = { cpus: resources.cpus * surge, gpus: resources.gpus * surge };
      return { status: 200, body: { replicas, room, steps: batchesOf(request, replicas) } };
    });
  }

  /** Why a request is refused now; null: it is not. */
  private async whyRefused(
    request: RolloutRequest,
    repository: RolloutRepository,
  ): Promise<ApiAnswer | null> {
    const open = repository.rollouts.filter(isOpen);
    if (open.length >= MAX_OPEN_ROLLOUTS) return errorAnswer(503, 'too many rollouts are open');
    const jobs = [request.from, request.to];
    for (const other of open) {
      const job = jobsOf(other).find((name) => jobs.includes(name));
      if (!job) continue;
      const field = job === request.from ? 'from' : 'to';
      return errorAnswer(409, `${field}: job ${job} is named by rollout ${other.id}`);
    }
    await this.checkJobs(request);
    return null;
  }

  private async serviceJob(id: string): Promise<ServiceJob> {
    const job = await this.ports.readJob(id);
    if (job === null) throw new InvalidRequestError(422, 'from', `unknown job ${id}`);
    return job;
  }

  private async checkJobs(request: RolloutRequest): Promise<void> {
    const from = await this.serviceJob(request.from);
    if (from.state !== 'open')
      throw new InvalidRequestError(422, 'from', `job ${from.id} is ${from.state}`);
    const exitReason = versionMismatchReason(request, from, await this.ports.readJob(request.to));
    if (exitReason !== null)
      throw new InvalidRequestError(422, exitReason.field, exitReason.message);
    this.checkProbes(from);
    const limit = await this.ports.teamLimit(from.team);
    for (const resource of ['cpus', 'gpus'] as const) {
      const least = from.resources[resource] * (from.replicas + 1);
      if (limit === null || least <= limit[resource] + 1e-6) continue;
      const message = `team ${from.team} may use ${limit[resource]} ${resource}, ${least} are needed`;
      throw new InvalidRequestError(422, 'maxSurge', message);
    }
  }

  /** Replicas that cannot be probed in time would never be proven. */
  private checkProbes({ replicas }: ServiceJob): void {
    const { intervalMs, perSecond } = this.ports.probing;
    const most = Math.floor((perSecond * intervalMs * MAX_STRETCH) / 1000);
    if (replicas * 2 <= most) return;
    const message = `${replicas * 2} replicas cannot be probed in time, ${most} can (probesPerSecond)`;
    throw new InvalidRequestError(422, 'from', message);
  }

  /** The head changes with it: starts decided without knowing of this rollout are refused from now on. */
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

  private repeated(known: Rollout, request: RolloutRequest): ApiAnswer {
    const { id } = known;
    if (!isReadable(known)) return errorAnswer(409, `id: the record of ${id} cannot be read`);
    if (!isSameRequest(request, known.spec.record))
      return errorAnswer(409, `id: ${id} names another rollout`);
    return { status: 200, body: this.shown(known) };
  }

  /** Stores an order; one that was given already is answered as before. */
  order(id: string, order: RolloutCommand): Promise<ApiAnswer> {
    return this.answering(() => retryingConflicts(() => this.tryToOrder(id, order)));
  }

  /** The answer; null: the record has changed meanwhile. */
  private async tryToOrder(id: string, order: RolloutCommand): Promise<ApiAnswer | null> {
    const rollout = (await this.read()).rollout(id);
    if (!rollout) return errorAnswer(404, `id: no rollout ${id}`);
    if (!isReadable(rollout)) return errorAnswer(409, `id: the record of ${id} cannot be read`);
    const refusal = whyNot(order, rollout);
    if (refusal !== null) return errorAnswer(409, `id: rollout ${id} ${refusal}`);
    const { record, version } = rollout.spec;
    const next = { ...record, ...CHANGES[order] };
    if (next.paused === record.paused && next.rollback === record.rollback) {
      return { status: 200, body: this.shown(rollout) };
    }
    const spec = { ...next, [WRITE_ID]: this.writeIds.next() };
    const key = ROLLOUT_KEYS.spec(id);
    const put = [{ put: key, value: spec }];
    const outcome = await this.ports.store.tryCommit([{ key, version }], put, REQUEST_PRIORITY);
    if (!outcome.ok) return null;
    this.ports.log.info({ rollout: id, order }, 'rollout order accepted');
    return { status: 200, body: this.shown({ ...rollout, spec: { record: spec, version } }) };
  }

  /** All rollouts that are open, or whose losing job its user has not cancelled. */
  status(): Promise<ApiAnswer> {
    return this.answering(async () => {
      const repository = await this.read();
      const open = repository.rollouts.filter(isOpen).filter(isReadable);
      const held = await this.heldBack(repository);
      const rollouts = [...open, ...held].map((rollout) => this.shown(rollout));
      const leading = this.leading() !== null;
      return { status: 200, body: { leading, rollouts, unreadable: repository.unreadableKeys() } };
    });
  }

  private async heldBack(repository: RolloutRepository): Promise<ReadableRollout[]> {
    const held: ReadableRollout[] = [];
    for (const rollout of historyOf(repository)) {
      const loser = losingJob(rollout);
      const job = loser === null ? null : await this.ports.readJob(loser);
      if (job?.state === 'open') held.push(rollout);
    }
    return held;
  }

  /** Rollouts that are over, the newest first. */
  history(): Promise<ApiAnswer> {
    return this.answering(async () => {
      const history = historyOf(await this.read()).reverse();
      return { status: 200, body: { rollouts: history.map((rollout) => this.shown(rollout)) } };
    });
  }

  private shown(rollout: ReadableRollout): object {
    const spec = rollout.spec.record;
    const leading = isOpen(rollout) ? this.leading() : null;
    return {
      ...{ id: spec.id, from: spec.from, to: spec.to, steps: spec.steps, maxSurge: spec.maxSurge },
      ...{ paused: spec.paused, rollback: spec.rollback, requestedAt: spec.requestedAt },
      ...shownStatus(rollout.status?.record ?? null),
      seen: leading?.counts(rollout) ?? null,
      waitsFor: leading?.waitsFor(rollout) ?? heldText(rollout),
    };
  }

  private async read(): Promise<RolloutRepository> {
    const { items } = await this.ports.store.range(ROLLOUT_KEYS.all);
    return RolloutRepository.fromEntries(items);
  }

  private answering(answer: () => Promise<ApiAnswer>): Promise<ApiAnswer> {
    return answering(this.ports.log, answer);
  }
}

function shownStatus(status: StatusRecord | null): object {
  if (status === null) return { phase: 'requested' };
  const { phase, resumes, replicas, step, ceilings, reason, evidence, changedAt } = status;
  return { phase, resumes, replicas, step, ceilings, reason, evidence, changedAt };
}

const CHANGES: Record<RolloutCommand, Partial<SpecRecord>> = {
  pause: { paused: true },
  resume: { paused: false },
  rollback: { rollback: true },
};

/** Why an order cannot be followed; null: it can. */
function whyNot(order: RolloutCommand, { spec, status }: ReadableRollout): string | null {
  const phase = status?.record.phase;
  if (phase && !isOpen({ id: '', spec, status })) return `is over (${phase})`;
  const back = spec.record.rollback || phase === 'rolling-back';
  return back && order !== 'rollback' ? 'is being rolled back' : null;
}

/** Of a rollout that is over: which job its user may cancel now. */
function heldText(rollout: ReadableRollout): string | null {
  const loser = isOpen(rollout) ? null : losingJob(rollout);
  return loser && `job ${loser} stays open without replicas until its user cancels it`;
}

/** What each batch of a rollout brings and takes, with every replica in place. */
function batchesOf(request: RolloutRequest, replicas: number): object[] {
  const spec = newSpec(request, '', 0);
  const batches: object[] = [];
  let reached = 0;
  for (let step = 0; step < request.steps.length; step++) {
    const target = stepTarget(spec, step, replicas);
    while (reached < target) {
      const next = Math.min(target, reached + request.maxSurge);
      batches.push({ step, surge: next - reached, to: next, from: replicas - next });
      reached = next;
    }
  }
  return batches;
}
