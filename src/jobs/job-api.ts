import { NoAnswer } from '../http/client.js';
import type { Runtime } from '../runtime/duty.js';
import type { Settings } from '../settings/deploy.js';
import { KEYS } from '../state/keys.js';
import type { Condition, Store } from '../state/store.js';
import * as wire from '../wire/submission.js';
import type { Catalogue } from '../fleet/catalogue.js';
import type { JobPhase, JobSpec } from './job.js';
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
  /** Aborted once the question's own time is over: nobody waits for its answer any more. */
  signal: AbortSignal | null;
  resolve(job: Known | null): void;
  reject(reason: unknown): void;
}

/**
 * How many jobs a node remembers for each MB of its memory, at some 200 bytes each; beyond it the
 * ones asked for least lately are read again.
 */
const KNOWN_PER_MB = 50;

/** For how large a share of a submission's time it may queue for the store's rate. */
const MOST_QUEUED_SHARE = 0.25;

/** After how large a share of a poll's time a comparison without an answer is sent again. */
const HEDGE_SHARE = 0.25;

/** More writes wait for the store's rate than a user should wait for. */
class Overloaded extends Error {
  constructor(readonly delayMs: number) {
    super(`the queue of writes is ${Math.round(delayMs)} ms long`);
  }
}

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
    private readonly cancelled: (id: string) => void,
    private readonly limits: { submitMs: number; pollMs: number },
  ) {}

  submit(body: unknown): Promise<Answer> {
    return this.within(this.limits.submitMs, (signal) => this.accept(body, signal));
  }

  query(id: string): Promise<Answer> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    return this.within(this.limits.pollMs, async (signal) => {
      const job = await this.fresh(id, signal);
      return job ? { status: 200, body: this.status(id, job) } : UNKNOWN;
    });
  }

  abort(id: string): Promise<Answer> {
    if (!wire.isJobId(id)) return Promise.resolve(UNKNOWN);
    return this.within(this.limits.submitMs, (signal) => this.cancel(id, signal));
  }

  /** Asks the store which of these jobs are cancelled. */
  async cancelledAmong(ids: Iterable<string>): Promise<Set<string>> {
    const found = new Set<string>();
    await Promise.all(
      [...ids].map(async (id) => {
        const job = await this.fresh(id).catch(() => null);
        if (job?.phase === 'cancelled') found.add(id);
      }),
    );
    return found;
  }

  private async accept(body: unknown, signal: AbortSignal): Promise<Answer> {
    const parsed = wire.parseSubmission(body);
    if (!parsed.ok) {
      // A repeat of an accepted job is answered with its state, whatever else the body says.
      const id = wire.submissionId(body);
      const job = id === null ? null : await this.fresh(id, signal);
      if (id !== null && job) return this.knownAnswer(id, job);
      return { status: 400, body: { error: parsed.reason } };
    }
    const { id, spec } = parsed.value;
    const types = this.catalogue.types.value;
    const never = types ? whyNever(spec, this.settings, types) : null;
    if (!types || never !== null) {
      const job = await this.fresh(id, signal);
      if (job) return this.knownAnswer(id, job);
      if (never === null) return BUSY;
      return { status: 422, body: { error: never } };
    }
    const seen = this.known.get(id);
    if (!seen) {
      const added = await this.add(id, spec, signal);
      if (added) return added;
    }
    const job = await this.fresh(id, signal);
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
    const outcome = await this.commit(
      [{ key: KEYS.job(id), version: 0 }],
      [{ put: KEYS.job(id), value: record }],
      signal,
    );
    if (!outcome.ok) return null;
    this.remember(id, { version: outcome.revision, phase: 'open', tasks: spec.tasks });
    return { status: 201, body: wire.jobAnswer(id, 'pending') };
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
        const value: JobRecord = { ...record, w: this.runtime.random.unique(), phase: 'cancelled' };
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
   * A refusal, for an outage or for the rate, is passed on at once, and so is a long queue of writes:
   * the user is told when to come back instead of being held. A lost answer leaves open whether the
   * transaction was carried out; the same transaction once more tells, or carries it out.
   */
  private async commit(
    when: Parameters<Store['txn']>[0],
    then: Parameters<Store['txn']>[1],
    signal: AbortSignal,
  ): ReturnType<Store['txn']> {
    const delayMs = this.store.writeDelayMs(then.length, 0);
    if (delayMs > this.limits.submitMs * MOST_QUEUED_SHARE) throw new Overloaded(delayMs);
    try {
      return await this.store.txn(when, then, 0, signal);
    } catch (error) {
      signal.throwIfAborted();
      if (!(error instanceof NoAnswer)) throw error;
      return await this.store.txn(when, then, 0, signal);
    }
  }

  private knownAnswer(id: string, job: Known): Answer {
    return { status: 200, body: wire.jobAnswer(id, this.phaseName(id, job)) };
  }

  private phaseName(id: string, job: Known): wire.PhaseName {
    if (job.phase === 'done') return 'done';
    if (job.phase === 'cancelled') return 'withdrawn';
    return (this.counts(id)?.running ?? 0) > 0 ? 'running' : 'pending';
  }

  private status(id: string, job: Known): object {
    const counts = this.counts(id);
    const done = job.phase === 'done' ? job.tasks : (counts?.done ?? 0);
    const running = job.phase === 'open' ? (counts?.running ?? 0) : 0;
    return wire.jobStatus(id, this.phaseName(id, job), done, running);
  }

  /** The job's state at some time after this call; null: it was never accepted. */
  private fresh(id: string, signal: AbortSignal | null = null): Promise<Known | null> {
    const known = this.known.get(id);
    if (known && known.phase !== 'open') return Promise.resolve(known);
    return new Promise((resolve, reject) => {
      this.ask(id, [{ signal, resolve, reject }]);
      if (!this.comparing) void this.compareAll();
    });
  }

  private ask(id: string, waiters: Waiter[]): void {
    this.asking.set(id, [...waiters, ...(this.asking.get(id) ?? [])]);
  }

  private async compareAll(): Promise<void> {
    this.comparing = true;
    const most = this.settings.state.txnOps * 4;
    while (this.asking.size > 0) {
      // Users can wait this long, and a comparison of one job costs as much as one of many.
      await this.runtime.clock.sleep(this.limits.pollMs / GATHERINGS);
      const batch = [...this.asking].slice(0, most);
      for (const [id] of batch) this.asking.delete(id);
      try {
        await this.compare(batch);
      } catch (error) {
        // Whoever asks is told at once that there is no answer now, and when to come back: held until
        // the store serves again, questions would pile up and come late all the same.
        for (const [, waiters] of batch) for (const w of waiters) w.reject(error);
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
    const outcome = await this.compareVersions(when);
    const failed = new Set(outcome.ok ? [] : outcome.failed);
    await Promise.all(
      batch.map(async ([id, waiters]) => {
        const changed = failed.has(KEYS.job(id));
        // Of a failed comparison only the keys it names are known to differ; nothing is concluded
        // about the others.
        if (!outcome.ok && !changed) {
          const open = waiters.filter((w) => !w.signal?.aborted);
          if (open.length > 0) this.ask(id, open);
          return;
        }
        if (changed) return this.resolveReread(id, waiters);
        // What was compared is the answer also if the job has been dropped from memory since then:
        // an accepted job must never look as if it were unknown.
        const job = this.known.get(id) ?? compared.get(id)!;
        for (const w of waiters) w.resolve(job);
      }),
    );
  }

  /**
   * A comparison changes nothing, so that a second copy of it may be sent while the first is still
   * without an answer: where one answer is lost, all questions would otherwise wait it out.
   */
  private async compareVersions(when: Condition[]): ReturnType<Store['txn']> {
    const first = this.store.txn(when, [], 0);
    const hedge = new AbortController();
    const late = this.runtime.clock
      .sleep(this.limits.pollMs * HEDGE_SHARE, hedge.signal)
      .then(() => 'late' as const);
    try {
      const outcome = await Promise.race([first, late]);
      if (outcome !== 'late') return outcome;
    } finally {
      hedge.abort();
    }
    return Promise.any([first, this.store.txn(when, [], 0)]);
  }

  /** One job that cannot be read now leaves the other answers of its comparison alone. */
  private async resolveReread(id: string, waiters: Waiter[]): Promise<void> {
    try {
      const job = await this.reread(id);
      for (const w of waiters) w.resolve(job);
    } catch (error) {
      for (const w of waiters) w.reject(error);
    }
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
      if (!(error instanceof Overloaded)) return BUSY;
      return { ...BUSY, retryAfter: Math.ceil(error.delayMs / 1000) };
    } finally {
      control.abort();
    }
  }
}

const BUSY: Answer = { status: 503, body: { error: 'cannot decide now' }, retryAfter: 1 };
const UNKNOWN: Answer = { status: 404, body: { error: 'unknown job' } };
