import { NoAnswer } from '../http/client.js';
import type { Runtime } from '../runtime/duty.js';
import { jitter } from '../runtime/random.js';
import type { Settings } from '../settings/deploy.js';
import { KEYS } from '../state/keys.js';
import { CONDITIONS_PER_OPERATION } from '../state/limits.js';
import { Refused, type Store } from '../state/store.js';
import * as wire from '../wire/submission.js';
import type { Catalogue } from '../fleet/catalogue.js';
import type { JobPhase, JobSpec } from './job.js';
import { fitJobRecord } from './record-size.js';
import { parseJob, type JobRecord } from './records.js';
import { whyNever } from './feasible.js';

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

interface Known {
  version: number;
  phase: JobPhase;
  tasks: number;
}

interface Waiter {
  resolve(job: Known | null): void;
  reject(reason: unknown): void;
}

/**
 * How many jobs a node remembers for each MB of its memory, at some 200 bytes each; beyond it the
 * ones asked for least lately are read again.
 */
const KNOWN_PER_MB = 50;

/** For how small a share of a poll's time questions gather before they are compared together. */
const GATHERINGS = 16;

/**
 * Answers users, on every controller. Nothing is accepted, cancelled or told before the store has
 * it, and every answer that may still change rests on a comparison with the store that began after
 * the question came. One comparison serves all questions that wait for it.
 */
export class JobApi {
  private readonly known = new Map<string, Known>();
  private asking = new Map<string, Waiter[]>();
  private comparing = false;

  constructor(
    private readonly store: Store,
    private readonly catalogue: Catalogue,
    private readonly settings: Settings,
    private readonly runtime: Runtime,
    private readonly counts: (id: string) => Counts | null,
    /** Called before any user is told that a job is cancelled. */
    private readonly cancelled: (id: string) => void,
    private readonly limits: { submitMs: number; pollMs: number },
  ) {}

  submit(body: unknown): Promise<Answer> {
    return this.within(this.limits.submitMs, (signal) => this.accept(body, signal));
  }

  query(id: string): Promise<Answer> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    return this.within(this.limits.pollMs, async () => {
      const job = await this.fresh(id);
      return job ? { status: 200, body: this.status(id, job) } : UNKNOWN;
    });
  }

  abort(id: string): Promise<Answer> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    return this.within(this.limits.submitMs, (signal) => this.cancel(id, signal));
  }

  /** A job's phase at some time after this call, by the store; null: it was never accepted. */
  async phaseOf(id: string): Promise<JobPhase | null> {
    return (await this.fresh(id))?.phase ?? null;
  }

  private async accept(body: unknown, signal: AbortSignal): Promise<Answer> {
    const parsed = wire.parseSubmission(body);
    if (!parsed.ok) {
      // A repeat of an accepted job is answered with its state, whatever else the body says.
      const id = wire.submissionId(body);
      const job = id === null ? null : await this.fresh(id);
      if (id !== null && job) return this.knownAnswer(id, job);
      return { status: 400, body: { error: parsed.reason } };
    }
    const { id, spec } = parsed.value;
    const types = this.catalogue.types.value;
    const never = types ? whyNever(spec, this.settings, types) : null;
    if (!types || never !== null) {
      const job = await this.fresh(id);
      if (job) return this.knownAnswer(id, job);
      if (never === null) return BUSY;
      return { status: 422, body: { error: never } };
    }
    const seen = this.known.get(id);
    if (!seen) {
      const added = await this.add(id, spec, signal);
      if (added) return added;
    }
    const job = await this.fresh(id);
    return job ? this.knownAnswer(id, job) : BUSY;
  }

  /** Null if the job is in the store already. */
  private async add(id: string, spec: JobSpec, signal: AbortSignal): Promise<Answer | null> {
    const { clock, random } = this.runtime;
    const record: JobRecord = {
      w: random.unique(),
      phase: 'open',
      tasks: spec.tasks,
      at: clock.wall(),
      spec,
    };
    // It has to fit also when it is rewritten under the limits to come.
    const { valueBytes } = this.store.limits.smallest();
    const value = fitJobRecord(record, valueBytes, this.machineTypes);
    if (!value) {
      const job = await this.fresh(id);
      return job ? this.knownAnswer(id, job) : TOO_LARGE;
    }
    const outcome = await this.commit(
      [{ key: KEYS.job(id), version: 0 }],
      [{ put: KEYS.job(id), value }],
      signal,
    );
    if (!outcome.ok) return null;
    this.remember(id, { version: outcome.revision, phase: 'open', tasks: spec.tasks });
    return { status: 201, body: wire.jobAnswer(id, 'pending') };
  }

  private get machineTypes(): ReadonlySet<string> | null {
    const types = this.catalogue.types.value;
    return types && new Set(types.keys());
  }

  private async cancel(id: string, signal: AbortSignal): Promise<Answer> {
    for (;;) {
      const entry = await this.store.get(KEYS.job(id), 0, signal);
      if (!entry) return UNKNOWN;
      const record = parseJob(entry.value);
      if (!record) return BUSY;
      this.remember(id, { version: entry.version, phase: record.phase, tasks: record.tasks });
      if (record.phase === 'done') return { status: 200, body: wire.jobAnswer(id, 'done') };
      if (record.phase === 'open') {
        const w = this.runtime.random.unique();
        const cancelled: JobRecord = { ...record, w, phase: 'cancelled' };
        // One accepted under larger limits may have to lose what means nothing.
        const { valueBytes } = this.store.limits.effective();
        const value = fitJobRecord(cancelled, valueBytes, this.machineTypes) ?? cancelled;
        const outcome = await this.commit(
          [{ key: KEYS.job(id), version: entry.version }],
          [{ put: KEYS.job(id), value }],
          signal,
        );
        if (!outcome.ok) continue;
        this.remember(id, { version: outcome.revision, phase: 'cancelled', tasks: record.tasks });
      }
      this.cancelled(id);
      return { status: 200, body: wire.jobAnswer(id, 'withdrawn') };
    }
  }

  /**
   * A refusal for an outage is passed on at once, so that the user can be told when to come back;
   * a refusal for the rate and a lost answer are tried again while there is time.
   */
  private async commit(
    when: Parameters<Store['txn']>[0],
    then: Parameters<Store['txn']>[1],
    signal: AbortSignal,
  ): ReturnType<Store['txn']> {
    const { clock, random } = this.runtime;
    let wait = this.limits.pollMs / 40;
    for (;;) {
      try {
        return await this.store.txn(when, then, 0, signal);
      } catch (error) {
        signal.throwIfAborted();
        const again =
          error instanceof NoAnswer || (error instanceof Refused && error.status === 429);
        if (!again) throw error;
      }
      await clock.sleep(jitter(wait, random), signal);
      wait = Math.min(wait * 2, this.limits.pollMs / 4);
    }
  }

  private knownAnswer(id: string, job: Known): Answer {
    return { status: 200, body: wire.jobAnswer(id, this.phaseName(id, job)) };
  }

  private phaseName(id: string, job: Known): wire.PhaseName {
    if (job.phase === 'done') return 'done';
    if (job.phase === 'cancelled') {
      this.cancelled(id);
      return 'withdrawn';
    }
    return (this.counts(id)?.running ?? 0) > 0 ? 'running' : 'pending';
  }

  private status(id: string, job: Known): object {
    const counts = this.counts(id);
    const done = job.phase === 'done' ? job.tasks : (counts?.done ?? 0);
    const running = job.phase === 'open' ? (counts?.running ?? 0) : 0;
    return wire.jobStatus(id, this.phaseName(id, job), done, running);
  }

  /** The job's state at some time after this call; null: it was never accepted. */
  private fresh(id: string): Promise<Known | null> {
    const known = this.known.get(id);
    if (known && known.phase !== 'open') return Promise.resolve(known);
    return new Promise((resolve, reject) => {
      const waiters = this.asking.get(id);
      if (waiters) waiters.push({ resolve, reject });
      else this.asking.set(id, [{ resolve, reject }]);
      if (!this.comparing) void this.compareAll();
    });
  }

  private async compareAll(): Promise<void> {
    this.comparing = true;
    while (this.asking.size > 0) {
      // Users can wait this long, and a comparison of one job costs as much as one of many.
      await this.runtime.clock.sleep(this.limits.pollMs / GATHERINGS);
      // Looked up each time: a refusal of the last comparison may have lowered it.
      const most = this.store.limits.effective().txnOps * CONDITIONS_PER_OPERATION;
      const batch = [...this.asking].slice(0, most);
      for (const [id] of batch) this.asking.delete(id);
      try {
        await this.compare(batch);
      } catch (error) {
        // The store is down: whoever asks is told so at once, and when to come back.
        if (error instanceof Refused && error.status === 503) {
          for (const [, waiters] of batch) for (const w of waiters) w.reject(error);
          continue;
        }
        // The questions stay open until their own time is over; the next attempt serves them.
        for (const [id, waiters] of batch) {
          this.asking.set(id, [...waiters, ...(this.asking.get(id) ?? [])]);
        }
        await this.runtime.clock.sleep(jitter(this.limits.pollMs / 20, this.runtime.random));
      }
    }
    this.comparing = false;
  }

  private async compare(batch: [string, Waiter[]][]): Promise<void> {
    const compared = new Map(batch.map(([id]) => [id, this.known.get(id) ?? null]));
    const when = [...compared].map(([id, job]) => ({
      key: KEYS.job(id),
      version: job?.version ?? 0,
    }));
    const outcome = await this.store.txn(when, [], 0);
    const failed = new Set(outcome.ok ? [] : outcome.failed);
    await Promise.all(
      batch.map(async ([id, waiters]) => {
        const changed = failed.has(KEYS.job(id));
        // Of a failed comparison only the keys it names are known to differ; nothing is concluded
        // about the others.
        if (!outcome.ok && !changed) {
          this.asking.set(id, [...waiters, ...(this.asking.get(id) ?? [])]);
          return;
        }
        // What was compared is the answer also if the job has been dropped from memory since then:
        // an accepted job must never look as if it were unknown.
        const job = changed ? await this.reread(id) : (this.known.get(id) ?? compared.get(id)!);
        for (const w of waiters) w.resolve(job);
      }),
    );
  }

  private async reread(id: string): Promise<Known | null> {
    const entry = await this.store.get(KEYS.job(id), 0);
    const record = entry && parseJob(entry.value);
    if (!entry) return null;
    if (!record) throw new Error(`unreadable record of ${id}`);
    return this.remember(id, {
      version: entry.version,
      phase: record.phase,
      tasks: record.tasks,
    });
  }

  private remember(id: string, job: Known): Known {
    const before = this.known.get(id);
    // Answers may overtake one another: the newer version stands.
    if (before && before.version > job.version) return before;
    this.known.delete(id);
    this.known.set(id, job);
    if (this.known.size <= this.settings.machine.memoryMb * KNOWN_PER_MB) return job;
    for (const oldest of this.known.keys()) {
      this.known.delete(oldest);
      break;
    }
    return job;
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
      return BUSY;
    } finally {
      control.abort();
    }
  }
}

const BUSY: Answer = { status: 503, body: { error: 'cannot decide now' }, retryAfter: 1 };
const TOO_LARGE: Answer = {
  status: 422,
  body: { error: 'the description of the job is larger than the state service takes' },
};
const UNKNOWN: Answer = { status: 404, body: { error: 'unknown job' } };
