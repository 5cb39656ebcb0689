import type { Runtime } from '@leverhatch/core/duty';
import type { Settings, Team } from '../settings/deploy.js';
import { KEYS } from '../state/keys.js';
import { isRefusedSize, type Store } from '../state/store.js';
import * as wire from '../wire/submission.js';
import type { Catalogue } from '../fleet/catalogue.js';
import type { MachineType } from '../fleet/types.js';
import { Acceptance } from './acceptance.js';
import { whyInfeasible } from './feasible.js';
import type { JobPhase, JobSpec } from './job.js';
import { JobStates, type JobState } from './job-states.js';
import { fitJobRecord, smallestCancelled } from './record-size.js';
import { QuestionAdmission } from './question-admission.js';
import { parseJob, type JobRecord } from './records.js';
import { commitForUser, HEDGE_SHARE, Overloaded, type RequestWaits } from './user-requests.js';

export interface Answer {
  status: number;
  body: object;
  /** Seconds after which the user may ask again. */
  retryAfter?: number;
}

export interface Counts {
  done: number;
  running: number;
}

/** What a controller knows beside the store, and is told of users' requests. */
export interface ControllerView {
  /** How far an open job is, for display; null: not known. */
  counts(id: string): Counts | null;
  /** How many jobs are open, as far as the leader has said. */
  openJobs(): number;
  /** By how many milliseconds timers are late. */
  lagMs(): number;
  /** Called before any user is told that a job is cancelled. */
  cancelled(id: string): void;
  /** What teams have or will have where shares are moved; without it as the settings say. */
  promisedShares?(): Promise<ReadonlyMap<string, Pick<Team, 'limit'>>>;
}

/**
 * How many jobs may be open for each MB of memory: the leader keeps some 3 KB of each. Beyond it users
 * are sent away until some are over.
 */
export const OPEN_JOBS_PER_MB = 60;

/** For how large a share of a submission's time it may queue for the store's rate. */
const MOST_QUEUED_SHARE = 0.25;

/** The same for a cancellation: it is sent away only where it could not be confirmed in its time. */
const MOST_CANCEL_QUEUED_SHARE = 0.75;

/**
 * Answers users, on every controller. Nothing is accepted, cancelled or told before the store has
 * it, and every answer that may still change rests on a comparison with the store that began after
 * the question came, see `JobStates`.
 */
export class JobApi {
  private readonly states: JobStates;
  private readonly acceptance: Acceptance;
  private readonly cancelWaits: RequestWaits;
  private readonly admission: QuestionAdmission;

  constructor(
    private readonly store: Store,
    private readonly catalogue: Catalogue,
    private readonly settings: Settings,
    private readonly runtime: Runtime,
    private readonly view: ControllerView,
    private readonly limits: { submitMs: number; pollMs: number },
  ) {
    const waits = {
      mostDelayMs: limits.submitMs * MOST_QUEUED_SHARE,
      hedgeMs: limits.pollMs * HEDGE_SHARE,
    };
    this.cancelWaits = { ...waits, mostDelayMs: limits.submitMs * MOST_CANCEL_QUEUED_SHARE };
    this.states = new JobStates(store, settings, runtime, limits.pollMs);
    this.admission = new QuestionAdmission(
      runtime.clock,
      { ...settings.machine, pollMs: limits.pollMs },
      () => view.lagMs(),
    );
    this.acceptance = new Acceptance(store, this.states, runtime, waits, () => this.machineTypes);
  }

  submit(body: unknown): Promise<Answer> {
    return this.within(this.limits.submitMs, (signal) => this.accept(body, signal));
  }

  /** `crowded`: the machine is short of connections, see `QuestionAdmission`. */
  query(id: string, crowded = false): Promise<Answer> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    if (!this.admission.admits(id, crowded)) return Promise.resolve(BUSY);
    return this.within(this.limits.pollMs, async (signal) => {
      const job = await this.states.asked(id, signal, this.admission.isOverdue(id));
      // One whose own time is over has been refused already.
      if (!signal.aborted) this.admission.answered(id);
      return job ? { status: 200, body: this.status(id, job) } : UNKNOWN;
    });
  }

  abort(id: string): Promise<Answer> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    return this.within(this.limits.submitMs, (signal) => this.cancel(id, signal));
  }

  /** A job's phase at some time after this call, by the store; null: it was never accepted. */
  async phaseOf(id: string): Promise<JobPhase | null> {
    return (await this.states.current(id))?.phase ?? null;
  }

  private async accept(body: unknown, signal: AbortSignal): Promise<Answer> {
    const parsed = wire.parseSubmission(body);
    if (!parsed.ok) {
      // A repeat of an accepted job is answered with its state, whatever else the body says.
      const id = wire.submissionId(body);
      return this.knownOr(id, signal, { status: 400, body: { error: parsed.reason } });
    }
    const { id, spec } = parsed.value;
    const types = this.catalogue.types.value;
    if (!types) return this.knownOr(id, signal, BUSY);
    const never = await this.whyNever(spec, types);
    if (never !== null) return this.knownOr(id, signal, { status: 422, body: { error: never } });
    if (this.states.has(id)) return this.knownOr(id, signal, BUSY);
    if (this.view.openJobs() >= this.mostOpen) return this.knownOr(id, signal, FULL);
    return this.add(parsed.value, signal);
  }

  /** Why a job can never run; null if it can, by what its team has or was promised. */
  private async whyNever(
    spec: JobSpec,
    types: ReadonlyMap<string, MachineType>,
  ): Promise<string | null> {
    const never = whyInfeasible(spec, this.settings.teams, types);
    if (never === null || !this.view.promisedShares) return never;
    return whyInfeasible(spec, await this.view.promisedShares(), types);
  }

  private async add(submission: wire.Submission, signal: AbortSignal): Promise<Answer> {
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
   * already, and what is remembered of those may be old: another node may have told that one of them
   * is cancelled long ago, and from then on its dependents must not be called pending. Where the
   * store does not serve the submission is sent again, and answered as known.
   */
  private async stateOfNew(
    { id, dependencies }: wire.Submission,
    signal: AbortSignal,
  ): Promise<JobState | null> {
    if (dependencies.length === 0) return this.states.remembered(id);
    return this.states.current(id, signal);
  }

  /** The state of a job that is in the store already; else `otherwise`. */
  private async knownOr(
    id: string | null,
    signal: AbortSignal,
    otherwise: Answer,
  ): Promise<Answer> {
    const job = id === null ? null : await this.states.current(id, signal);
    return id !== null && job ? { status: 200, body: this.answer(id, job) } : otherwise;
  }

  private get mostOpen(): number {
    return this.settings.machine.memoryMb * OPEN_JOBS_PER_MB;
  }

  private get machineTypes(): ReadonlySet<string> | null {
    const types = this.catalogue.types.value;
    return types && new Set(types.keys());
  }

  private async cancel(id: string, signal: AbortSignal): Promise<Answer> {
    for (;;) {
      this.store.assertAnswers();
      const entry = await this.store.get(KEYS.job(id), 0, signal);
      if (!entry) return UNKNOWN;
      const record = parseJob(entry.value);
      if (!record) return BUSY;
      if (record.phase === 'done') {
        this.rememberOver(id, entry.version, record);
        return { status: 200, body: wire.jobAnswer(id, 'done') };
      }
      let { version } = entry;
      if (record.phase === 'open') {
        const outcome = await this.writeCancelled(id, version, record, signal);
        if (!outcome.ok) continue;
        version = outcome.revision;
      }
      this.rememberOver(id, version, { ...record, phase: 'cancelled' });
      return { status: 200, body: wire.jobAnswer(id, this.tellWithdrawn(id)) };
    }
  }

  private async writeCancelled(
    id: string,
    version: number,
    open: JobRecord,
    signal: AbortSignal,
  ): ReturnType<Store['txn']> {
    const key = KEYS.job(id);
    const put = (value: JobRecord): ReturnType<Store['txn']> =>
      commitForUser(
        this.store,
        this.runtime.clock,
        this.cancelWaits,
        [{ key, version }],
        [{ put: key, value }],
        signal,
      );
    const cancelled: JobRecord = {
      ...open,
      w: this.runtime.random.unique(),
      phase: 'cancelled',
    };
    // One accepted under larger limits may have to lose what means nothing.
    const { valueBytes } = this.store.limits.effective();
    try {
      return await put(fitJobRecord(cancelled, valueBytes, this.machineTypes) ?? cancelled);
    } catch (error) {
      // The store's limit is smaller than any that was announced: its user must not be sent away
      // for good.
      if (!isRefusedSize(error)) throw error;
      return put(smallestCancelled(cancelled));
    }
  }

  private rememberOver(id: string, version: number, { phase, tasks }: JobRecord): void {
    this.states.remember(id, { version, phase, tasks, dependencies: [] });
  }

  private answer(id: string, job: JobState | null): object {
    return wire.jobAnswer(id, job ? this.phaseName(id, job) : 'pending');
  }

  /** Whoever tells a user that a job is withdrawn does it here, whichever way it was cancelled. */
  private tellWithdrawn(id: string): wire.PhaseName {
    this.view.cancelled(id);
    return 'withdrawn';
  }

  private phaseName(id: string, job: JobState): wire.PhaseName {
    if (job.phase === 'done') return 'done';
    if (job.phase === 'cancelled') return this.tellWithdrawn(id);
    return (this.view.counts(id)?.running ?? 0) > 0 ? 'running' : 'pending';
  }

  private status(id: string, job: JobState): object {
    const counts = this.view.counts(id);
    const done = job.phase === 'done' ? job.tasks : (counts?.done ?? 0);
    const running = job.phase === 'open' ? (counts?.running ?? 0) : 0;
    return wire.jobStatus(id, this.phaseName(id, job), done, running);
  }

  private async within(
    ms: number,
    body: (signal: AbortSignal) => Promise<Answer>,
  ): Promise<Answer> {
    const control = new AbortController();
    const late = this.runtime.clock.sleep(ms, control.signal).then(() => BUSY);
    try {
      return await Promise.race([body(control.signal), late]);
    } catch (error) {
      this.runtime.log.debug({ error: String(error) }, 'request not served');
      if (!(error instanceof Overloaded)) return BUSY;
      return { ...BUSY, retryAfter: Math.ceil(error.delayMs / 1000) };
    } finally {
      control.abort();
    }
  }
}

const BUSY: Answer = { status: 503, body: { error: 'cannot decide now' }, retryAfter: 1 };
/** More jobs are open than a leader has memory for; some have to be over first. */
const FULL: Answer = { status: 503, body: { error: 'too many jobs are open' }, retryAfter: 4 };
const TOO_LARGE: Answer = {
  status: 422,
  body: { error: 'the description of the job is larger than the state service takes' },
};
const UNKNOWN: Answer = { status: 404, body: { error: 'unknown job' } };
