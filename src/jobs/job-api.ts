/** Answers to users: submissions, queries and cancellations. */

import { RequestPriority } from '@leverhatch/core/store';
import type { Runtime } from '@leverhatch/core/duty';
import type { Settings, Team } from '../settings/deploy.js';
import { KEYS } from '../state/keys.js';
import { isSizeRejection, type Store } from '../state/store.js';
import * as wire from '../wire/submission.js';
import type { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';
import type { MachineType } from '../fleet/resources.js';
import { JobAcceptance } from './job-acceptance.js';
import { infeasibleReason } from './feasibility.js';
import type { JobPhase, JobSpec } from './job.js';
import type { JobState } from './job-state.js';
import { JobStateCache } from './job-state-cache.js';
import { fitJobRecord, smallestCancelled } from './record-size.js';
import { QueryAdmission } from './query-admission.js';
import { parseJob, WRITE_ID, type JobRecord } from './records.js';
import {
  commitForUser,
  HEDGE_RATIO,
  OverloadedError,
  type RequestTimeouts,
} from './user-requests.js';

/** An answer to a user. */
export interface ApiResponse {
  status: number;
  body: object;
  /** Seconds after which the user may ask again. */
  retryAfter?: number;
}

/** How many tasks of a job are completed and running. */
export interface TaskCounts {
  done: number;
  running: number;
}

/** What a controller knows beside the store, and its hooks for users' requests. */
export interface ControllerStatus {
  /** How far an open job is, for display; null: not known. */
  progressOf(id: string): TaskCounts | null;
  /** How many jobs are open, by the last leader heartbeat. */
  openJobCount(): number;
  /** By how many milliseconds timers are late. */
  lagMs(): number;
  /** Called before a cancellation is announced to any user. */
  onCancellationAnnounced(id: string): void;
  /** Present or promised quotas where quota transfers are in use; without it the settings hold. */
  promisedQuotas?(): Promise<ReadonlyMap<string, Pick<Team, 'limit'>>>;
}

/**
 * How many jobs may be open for each MB of memory: the leader keeps some 3 KB of each. Beyond it
 * users are sent away until some are over.
 */
export const OPEN_JOBS_PER_MB = 60;

/** Fraction of a submission's timeout for which it may queue for the store's rate. */
const MAX_QUEUED_RATIO = 0.25;

/**
 * The same for a cancellation: it is sent away only where it could not be confirmed in its time.
 */
const MAX_CANCEL_QUEUED_RATIO = 0.75;

/**
 * Answers users, on every controller. Nothing is accepted, cancelled or announced before the
 * store has it, and every answer that may still change rests on a version check that began after
 * the query came, see `JobStateCache`.
 */
export class JobApi {
  private readonly stateCache: JobStateCache;
  private readonly acceptance: JobAcceptance;
  private readonly cancelTimeouts: RequestTimeouts;
  private readonly admission: QueryAdmission;

  constructor(
    private readonly store: Store,
    private readonly catalogue: MachineTypeCatalog,
    private readonly settings: Settings,
    private readonly runtime: Runtime,
    private readonly controller: ControllerStatus,
    private readonly limits: { submitMs: number; pollMs: number },
  ) {
    const waits = {
      maxQueueMs: limits.submitMs * MAX_QUEUED_RATIO,
      hedgeMs: limits.pollMs * HEDGE_RATIO,
    };
    this.cancelTimeouts = { ...waits, maxQueueMs: limits.submitMs * MAX_CANCEL_QUEUED_RATIO };
    this.stateCache = new JobStateCache(store, settings, runtime, limits.pollMs);
    this.admission = new QueryAdmission(
      runtime.clock,
      { ...settings.machine, queryTimeoutMs: limits.pollMs },
      () => controller.lagMs(),
    );
    this.acceptance = new JobAcceptance(
      store,
      this.stateCache,
      runtime,
      waits,
      () => this.machineTypes,
    );
  }

  submit(body: unknown): Promise<ApiResponse> {
    return this.withTimeout(this.limits.submitMs, (signal) => this.accept(body, signal));
  }

  /** `isOverCapacity`: the machine is short of connections, see `QueryAdmission`. */
  query(id: string, isOverCapacity = false): Promise<ApiResponse> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    if (!this.admission.admits(id, isOverCapacity)) return Promise.resolve(BUSY);
    return this.withTimeout(this.limits.pollMs, async (signal) => {
      const job = await this.stateCache.query(id, signal, this.admission.isOverdue(id));
      // One whose own time is over has been answered as busy already.
      if (!signal.aborted) this.admission.recordAnswer(id);
      return job ? { status: 200, body: this.status(id, job) } : UNKNOWN;
    });
  }

  cancel(id: string): Promise<ApiResponse> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    return this.withTimeout(this.limits.submitMs, (signal) => this.tryCancel(id, signal));
  }

  /** A job's phase at some time after this call, by the store; null: it was never accepted. */
  async phaseOf(id: string): Promise<JobPhase | null> {
    return (await this.stateCache.current(id))?.phase ?? null;
  }

  private async accept(body: unknown, signal: AbortSignal): Promise<ApiResponse> {
    const parsed = wire.parseSubmission(body);
    if (!parsed.ok) {
      // A repeat of an accepted job is answered with its state, whatever else the body says.
      const id = wire.submissionId(body);
      return this.knownOr(id, signal, { status: 400, body: { error: parsed.reason } });
    }
    const { id, spec } = parsed.value;
    const types = this.catalogue.types.value;
    if (!types) return this.knownOr(id, signal, BUSY);
    const reason = await this.infeasibleReason(spec, types);
    if (reason !== null) return this.knownOr(id, signal, { status: 422, body: { error: reason } });
    if (this.stateCache.has(id)) return this.knownOr(id, signal, BUSY);
    if (this.controller.openJobCount() >= this.maxOpenJobs) return this.knownOr(id, signal, FULL);
    return this.add(parsed.value, signal);
  }

  /** Why a job can never run; null if it can, by what its team has or was promised. */
  private async infeasibleReason(
    spec: JobSpec,
    types: ReadonlyMap<string, MachineType>,
  ): Promise<string | null> {
    const reason = infeasibleReason(spec, this.settings.teams, types);
    if (reason === null || !this.controller.promisedQuotas) return reason;
    return infeasibleReason(spec, await this.controller.promisedQuotas(), types);
  }

  private async add(submission: wire.Submission, signal: AbortSignal): Promise<ApiResponse> {
    const { id } = submission;
    const accepted = await this.acceptance.add(submission, signal);
    switch (accepted.kind) {
      case 'added':
        return { status: 201, body: this.answer(id, await this.stateOfNew(submission, signal)) };
      case 'known':
        return this.knownOr(id, signal, BUSY);
      case 'too large':
        return this.knownOr(id, signal, TOO_LARGE);
      case 'unknown dependency': {
        const error = `waitsOn: ${accepted.id} was never accepted`;
        return this.knownOr(id, signal, { status: 422, body: { error } });
      }
    }
  }

  /**
   * What to call a job that was just accepted. One that waits for others may be cancelled with them
   * already, and what is cached of those may be old: another controller may have announced long ago
   * that one of them is cancelled, and from then on its dependents must not be called pending.
   * Where the store does not serve the submission is sent again, and answered as known.
   */
  private async stateOfNew(
    { id, dependencies }: wire.Submission,
    signal: AbortSignal,
  ): Promise<JobState | null> {
    if (dependencies.length === 0) return this.stateCache.cached(id);
    return this.stateCache.current(id, signal);
  }

  /** The state of a job that is in the store already; else `otherwise`. */
  private async knownOr(
    id: string | null,
    signal: AbortSignal,
    otherwise: ApiResponse,
  ): Promise<ApiResponse> {
    const job = id === null ? null : await this.stateCache.current(id, signal);
    return id !== null && job ? { status: 200, body: this.answer(id, job) } : otherwise;
  }

  private get maxOpenJobs(): number {
    return this.settings.machine.memoryMb * OPEN_JOBS_PER_MB;
  }

  private get machineTypes(): ReadonlySet<string> | null {
    const types = this.catalogue.types.value;
    return types && new Set(types.keys());
  }

  private async tryCancel(id: string, signal: AbortSignal): Promise<ApiResponse> {
    for (;;) {
      this.store.assertResponsive();
      const entry = await this.store.get(KEYS.job(id), RequestPriority.Critical, signal);
      if (!entry) return UNKNOWN;
      const record = parseJob(entry.value);
      if (!record) return BUSY;
      if (record.phase === 'done') {
        this.cacheEnded(id, entry.version, record);
        return { status: 200, body: wire.jobAnswer(id, 'done') };
      }
      let { version } = entry;
      if (record.phase === 'open') {
        const outcome = await this.writeCancelled(id, version, record, signal);
        if (!outcome.ok) continue;
        version = outcome.revision;
      }
      this.cacheEnded(id, version, { ...record, phase: 'cancelled' });
      return { status: 200, body: wire.jobAnswer(id, this.announceWithdrawn(id)) };
    }
  }

  private async writeCancelled(
    id: string,
    version: number,
    open: JobRecord,
    signal: AbortSignal,
  ): ReturnType<Store['tryCommit']> {
    const key = KEYS.job(id);
    const put = (value: JobRecord): ReturnType<Store['tryCommit']> =>
      commitForUser(
        this.store,
        this.runtime.clock,
        this.cancelTimeouts,
        [{ key, version }],
        [{ put: key, value }],
        signal,
      );
    const cancelled: JobRecord = {
      ...open,
      [WRITE_ID]: this.runtime.random.unique(),
      phase: 'cancelled',
    };
    // A record accepted under larger limits may have to drop fields that mean nothing any more.
    const { valueBytes } = this.store.limits.effective();
    try {
      return await put(fitJobRecord(cancelled, valueBytes, this.machineTypes) ?? cancelled);
    } catch (error) {
      // The store's limit is smaller than any that was announced: its user must not be sent away
      // for good.
      if (!isSizeRejection(error)) throw error;
      return put(smallestCancelled(cancelled));
    }
  }

  private cacheEnded(id: string, version: number, { phase, tasks }: JobRecord): void {
    this.stateCache.put(id, { version, phase, tasks, dependencies: [] });
  }

  private answer(id: string, job: JobState | null): object {
    return wire.jobAnswer(id, job ? this.publicPhase(id, job) : 'pending');
  }

  /** Every announcement of a cancellation passes here, whichever way the job was cancelled. */
  private announceWithdrawn(id: string): wire.PublicPhase {
    this.controller.onCancellationAnnounced(id);
    return 'withdrawn';
  }

  private publicPhase(id: string, job: JobState): wire.PublicPhase {
    if (job.phase === 'done') return 'done';
    if (job.phase === 'cancelled') return this.announceWithdrawn(id);
    return (this.controller.progressOf(id)?.running ?? 0) > 0 ? 'running' : 'pending';
  }

  private status(id: string, job: JobState): object {
    const counts = this.controller.progressOf(id);
    const done = job.phase === 'done' ? job.tasks : (counts?.done ?? 0);
    const running = job.phase === 'open' ? (counts?.running ?? 0) : 0;
    return wire.jobStatus(id, this.publicPhase(id, job), done, running);
  }

  private async withTimeout(
    ms: number,
    body: (signal: AbortSignal) => Promise<ApiResponse>,
  ): Promise<ApiResponse> {
    const control = new AbortController();
    const timeout = this.runtime.clock.sleep(ms, control.signal).then(() => BUSY);
    try {
      return await Promise.race([body(control.signal), timeout]);
    } catch (error) {
      this.runtime.log.debug({ error: String(error) }, 'user request failed');
      if (!(error instanceof OverloadedError)) return BUSY;
      return { ...BUSY, retryAfter: Math.ceil(error.delayMs / 1000) };
    } finally {
      control.abort();
    }
  }
}

const BUSY: ApiResponse = { status: 503, body: { error: 'cannot decide now' }, retryAfter: 1 };
/** More jobs are open than a leader has memory for; some have to be over first. */
const FULL: ApiResponse = { status: 503, body: { error: 'too many jobs are open' }, retryAfter: 4 };
const TOO_LARGE: ApiResponse = {
  status: 422,
  body: { error: 'the description of the job is larger than the state service takes' },
};
const UNKNOWN: ApiResponse = { status: 404, body: { error: 'unknown job' } };
