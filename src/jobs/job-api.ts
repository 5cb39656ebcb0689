/** The job API for users: submissions, queries and cancellations. */

import { RequestPriority } from '@leverhatch/core/store';
import type { Runtime } from '@leverhatch/core/supervised-task';
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
import { fitJobRecord, minimalCancelledRecord } from './record-size.js';
import { QueryAdmission } from './query-admission.js';
import { parseJob, WRITE_ID, type JobRecord } from './records.js';
import {
  commitForUser,
  HEDGE_RATIO,
  OverloadedError,
  type RequestTimeouts,
} from './user-requests.js';

/** A response to a user. */
export interface ApiResponse {
  status: number;
  body: object;
  /** Seconds after which the user may retry. */
  retryAfter?: number;
}

/** Number of completed and of running tasks of a job. */
export interface TaskCounts {
  done: number;
  running: number;
}

/** State of the controller that is not in the store, and hooks for user requests. */
export interface ControllerStatus {
  /** Progress of an open job, for display; null if unknown. */
  progressOf(id: string): TaskCounts | null;
  /** Number of open jobs according to the last leader heartbeat. */
  openJobCount(): number;
  /** Event loop lag: by how many milliseconds timers fire late. */
  lagMs(): number;
  /** Called before a cancellation is announced to any user. */
  onCancellationAnnounced(id: string): void;
  /**
   * The quotas that teams will have after all transfers in progress; present if quota transfers are
   * in use. A job that exceeds its team's quota in the settings is accepted if it fits these.
   */
  promisedQuotas?(): Promise<ReadonlyMap<string, Pick<Team, 'limit'>>>;
}

/**
 * Maximum number of open jobs per MB of memory: the leader uses about 3 KB for each. Beyond it
 * submissions are rejected with a 503 until jobs end.
 */
export const OPEN_JOBS_PER_MB = 60;

/** Fraction of a submission's timeout that it may spend queued for the store's rate limit. */
const MAX_SUBMISSION_QUEUE_RATIO = 0.25;

/** The same for a cancellation, which is rejected only if it could not be confirmed in time. */
const MAX_CANCELLATION_QUEUE_RATIO = 0.75;

/**
 * Handles user requests, on every controller. Nothing is reported as accepted or cancelled before
 * it is in the store, and every reported state that may still change is based on a version check or
 * a read that began after the query arrived, see `JobStateCache`.
 */
export class JobApi {
  private readonly stateCache: JobStateCache;
  private readonly acceptance: JobAcceptance;
  private readonly cancelTimeouts: RequestTimeouts;
  private readonly admission: QueryAdmission;

  constructor(
    private readonly store: Store,
    private readonly catalog: MachineTypeCatalog,
    private readonly settings: Settings,
    private readonly runtime: Runtime,
    private readonly controller: ControllerStatus,
    private readonly limits: { submitMs: number; pollMs: number },
  ) {
    const waits = {
      maxQueueMs: limits.submitMs * MAX_SUBMISSION_QUEUE_RATIO,
      hedgeMs: limits.pollMs * HEDGE_RATIO,
    };
    this.cancelTimeouts = { ...waits, maxQueueMs: limits.submitMs * MAX_CANCELLATION_QUEUE_RATIO };
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

  /** @param isOverCapacity the controller has too many connections, see `QueryAdmission` */
  query(id: string, isOverCapacity = false): Promise<ApiResponse> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN_JOB);
    if (!this.admission.admits(id, isOverCapacity)) return Promise.resolve(BUSY);
    return this.withTimeout(this.limits.pollMs, async (signal) => {
      const job = await this.stateCache.query(id, signal, this.admission.isOverdue(id));
      // A query that has timed out has already been answered as busy.
      if (!signal.aborted) this.admission.recordAnswer(id);
      return job ? { status: 200, body: this.statusBody(id, job) } : UNKNOWN_JOB;
    });
  }

  cancel(id: string): Promise<ApiResponse> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN_JOB);
    return this.withTimeout(this.limits.submitMs, (signal) => this.tryCancel(id, signal));
  }

  /** The job's phase in the store at some time after this call; null if it was never accepted. */
  async phaseOf(id: string): Promise<JobPhase | null> {
    return (await this.stateCache.current(id))?.phase ?? null;
  }

  private async accept(body: unknown, signal: AbortSignal): Promise<ApiResponse> {
    const parsed = wire.parseSubmission(body);
    if (!parsed.ok) {
      // A repeated submission of an accepted job returns its state, even if the body is invalid.
      const id = wire.parseSubmissionId(body);
      return this.respondIfKnown(id, signal, { status: 400, body: { error: parsed.reason } });
    }
    const { id, spec } = parsed.value;
    const types = this.catalog.types.value;
    if (!types) return this.respondIfKnown(id, signal, BUSY);
    const reason = await this.infeasibleReason(spec, types);
    if (reason !== null)
      return this.respondIfKnown(id, signal, { status: 422, body: { error: reason } });
    if (this.stateCache.has(id)) return this.respondIfKnown(id, signal, BUSY);
    if (this.controller.openJobCount() >= this.maxOpenJobs)
      return this.respondIfKnown(id, signal, TOO_MANY_OPEN_JOBS);
    return this.add(parsed.value, signal);
  }

  /** Why a job can never run, under the quotas in the settings or promised ones; null if it can. */
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
    const result = await this.acceptance.add(submission, signal);
    switch (result.kind) {
      case 'added':
        return {
          status: 201,
          body: this.submissionBody(id, await this.stateOfAccepted(submission, signal)),
        };
      case 'known':
        return this.respondIfKnown(id, signal, BUSY);
      case 'too large':
        return this.respondIfKnown(id, signal, TOO_LARGE);
      case 'unknown dependency': {
        const error = `waitsOn: ${result.id} was never accepted`;
        return this.respondIfKnown(id, signal, { status: 422, body: { error } });
      }
    }
  }

  /**
   * The state to report for a job that was just accepted. If one of its dependencies is cancelled,
   * the job is cancelled too, and the cached states of the dependencies may be stale: another
   * controller may have announced the cancellation long ago, after which dependents must not be
   * reported as pending. If the store is unavailable, the request fails; the user submits again,
   * and the job is then handled as known.
   */
  private async stateOfAccepted(
    { id, dependencies }: wire.Submission,
    signal: AbortSignal,
  ): Promise<JobState | null> {
    if (dependencies.length === 0) return this.stateCache.cached(id);
    return this.stateCache.current(id, signal);
  }

  /** Responds with the state of a job that is already in the store, or else with `otherwise`. */
  private async respondIfKnown(
    id: string | null,
    signal: AbortSignal,
    otherwise: ApiResponse,
  ): Promise<ApiResponse> {
    const job = id === null ? null : await this.stateCache.current(id, signal);
    return id !== null && job ? { status: 200, body: this.submissionBody(id, job) } : otherwise;
  }

  private get maxOpenJobs(): number {
    return this.settings.machine.memoryMb * OPEN_JOBS_PER_MB;
  }

  private get machineTypes(): ReadonlySet<string> | null {
    const types = this.catalog.types.value;
    return types && new Set(types.keys());
  }

  private async tryCancel(id: string, signal: AbortSignal): Promise<ApiResponse> {
    for (;;) {
      this.store.assertResponsive();
      const entry = await this.store.get(KEYS.job(id), RequestPriority.Critical, signal);
      if (!entry) return UNKNOWN_JOB;
      const record = parseJob(entry.value);
      if (!record) return BUSY;
      if (record.phase === 'done') {
        this.cacheEnded(id, entry.version, record);
        return { status: 200, body: wire.jobPhaseResponse(id, 'done') };
      }
      let { version } = entry;
      if (record.phase === 'open') {
        const outcome = await this.writeCancelled(id, version, record, signal);
        if (!outcome.ok) continue;
        version = outcome.revision;
      }
      this.cacheEnded(id, version, { ...record, phase: 'cancelled' });
      return { status: 200, body: wire.jobPhaseResponse(id, this.announceWithdrawn(id)) };
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
    // A record accepted under larger limits may have to drop machine types that no longer exist.
    const { valueBytes } = this.store.limits.effective();
    try {
      return await put(fitJobRecord(cancelled, valueBytes, this.machineTypes) ?? cancelled);
    } catch (error) {
      // The store's limit is smaller than any that was announced. Without a smaller record the user
      // could never cancel the job.
      if (!isSizeRejection(error)) throw error;
      return put(minimalCancelledRecord(cancelled));
    }
  }

  private cacheEnded(id: string, version: number, { phase, tasks }: JobRecord): void {
    this.stateCache.put(id, { version, phase, tasks, dependencies: [] });
  }

  private submissionBody(id: string, job: JobState | null): object {
    return wire.jobPhaseResponse(id, job ? this.publicPhase(id, job) : 'pending');
  }

  /** Every cancellation is announced through this method, however the job was cancelled. */
  private announceWithdrawn(id: string): wire.PublicPhase {
    this.controller.onCancellationAnnounced(id);
    return 'withdrawn';
  }

  private publicPhase(id: string, job: JobState): wire.PublicPhase {
    if (job.phase === 'done') return 'done';
    if (job.phase === 'cancelled') return this.announceWithdrawn(id);
    return (this.controller.progressOf(id)?.running ?? 0) > 0 ? 'running' : 'pending';
  }

  private statusBody(id: string, job: JobState): object {
    const counts = this.controller.progressOf(id);
    const done = job.phase === 'done' ? job.tasks : (counts?.done ?? 0);
    const running = job.phase === 'open' ? (counts?.running ?? 0) : 0;
    return wire.jobStatusResponse(id, this.publicPhase(id, job), done, running);
  }

  private async withTimeout(
    ms: number,
    handle: (signal: AbortSignal) => Promise<ApiResponse>,
  ): Promise<ApiResponse> {
    const abortController = new AbortController();
    const timeout = this.runtime.clock.sleep(ms, abortController.signal).then(() => BUSY);
    try {
      return await Promise.race([handle(abortController.signal), timeout]);
    } catch (error) {
      this.runtime.log.debug({ error: String(error) }, 'user request failed');
      if (!(error instanceof OverloadedError)) return BUSY;
      return { ...BUSY, retryAfter: Math.ceil(error.delayMs / 1000) };
    } finally {
      abortController.abort();
    }
  }
}

const BUSY: ApiResponse = { status: 503, body: { error: 'cannot decide now' }, retryAfter: 1 };
/** The leader has no memory for more open jobs; some have to end first. */
const TOO_MANY_OPEN_JOBS: ApiResponse = {
  status: 503,
  body: { error: 'too many jobs are open' },
  retryAfter: 4,
};
const TOO_LARGE: ApiResponse = {
  status: 422,
  body: { error: 'the description of the job is larger than the state service takes' },
};
const UNKNOWN_JOB: ApiResponse = { status: 404, body: { error: 'unknown job' } };
