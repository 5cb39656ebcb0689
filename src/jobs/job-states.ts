import type { Runtime } from '../runtime/duty.js';
import type { Settings } from '../settings/deploy.js';
import { KEYS } from '../state/keys.js';
import { CONDITIONS_PER_OPERATION } from '../state/limits.js';
import { isRefusedSize, type Condition, type Entry, type Store } from '../state/store.js';
import { readDependencies } from './dependencies.js';
import type { JobPhase } from './job.js';
import { readJobEntries } from './job-reader.js';
import { parseJob, type JobRecord } from './records.js';
import { HEDGE_SHARE, hedged } from './user-requests.js';

/** What a controller knows of a job. */
export interface JobState {
  /** Version of the record that says so. */
  version: number;
  /** As stored; or `cancelled` because a job that it needs is. */
  phase: JobPhase;
  tasks: number;
  /** Jobs that an open job needs and that may still be open; they never change. */
  dependencies: readonly string[];
}

interface Waiter {
  /** Aborted once the question's own time is over: nobody waits for its answer any more. */
  signal: AbortSignal | null;
  resolve(job: JobState | null): void;
  reject(reason: unknown): void;
}

/**
 * How many jobs a node remembers for each MB of its memory, at some 200 bytes each; beyond it the
 * ones asked for least lately are read again.
 */
const KNOWN_PER_MB = 50;

/** So many dependencies take as much memory as a job that is remembered. */
const DEPENDENCIES_PER_JOB = 4;

/** For how small a share of a poll's time questions gather before they are compared together. */
const GATHERINGS = 16;

/** How many comparisons are under way at once. */
const COMPARISONS_AT_ONCE = 4;

/**
 * The states of jobs, on every controller. A state that may still change rests on a comparison with
 * the store, or on a read, that began after the question came. One comparison serves all questions
 * that wait for it.
 *
 * A job is cancelled if its record says so or if a job that it needs, directly or through others, is
 * stored as cancelled. So a cancellation holds for all that need the job as soon as it is stored, at
 * every node, with nothing else to be written. The answer `open` rests on records compared in
 * several transactions, at different moments after the question came. That is sound since a job that
 * is over never opens again: what is open at a later moment was open when the question came, so at
 * that moment all of them were. What a job needs is fixed when it is accepted, and below a job that is done
 * all are done. The answer `cancelled` is final, since a job with a cancelled one before it can never
 * be done: it starts only when all of those are.
 */
export class JobStates {
  private readonly known = new Map<string, JobState>();
  private knownDependencies = 0;
  private asking = new Map<string, Waiter[]>();
  private comparing = false;
  /** The store refused comparisons of more jobs than this, though the known limits allow them. */
  private mostCompared = Infinity;

  constructor(
    private readonly store: Store,
    private readonly settings: Settings,
    private readonly runtime: Runtime,
    private readonly pollMs: number,
  ) {}

  /** Whether the job is known to be accepted. */
  has(id: string): boolean {
    return this.known.has(id);
  }

  /** The job's state at some time after this call; null: it was never accepted. */
  async current(id: string, signal: AbortSignal | null = null): Promise<JobState | null> {
    const remembered = this.known.get(id);
    if (remembered && remembered.phase !== 'open') return remembered;
    if (remembered && this.cancelledBefore(remembered)) return this.cancelled(id);
    if (remembered && remembered.dependencies.length > 0) return this.withAncestors(id, signal);
    const job = await this.compared(id, signal);
    if (job?.phase !== 'open' || job.dependencies.length === 0) return job;
    return this.withAncestors(id, signal);
  }

  /** The state as far as it is remembered, which may be older than this call. */
  remembered(id: string): JobState | null {
    const job = this.known.get(id);
    if (!job) return null;
    return job.phase === 'open' && this.cancelledBefore(job) ? this.cancelled(id) : job;
  }

  /** The first of these jobs that was never accepted; null: all were. */
  async firstUnknown(ids: readonly string[], signal: AbortSignal): Promise<string | null> {
    const unknown = ids.filter((id) => !this.known.has(id));
    if (unknown.length === 0) return null;
    const entries = await readJobEntries(this.store, unknown, signal);
    for (const id of unknown) {
      const entry = entries.get(id);
      if (!entry) return id;
    }
    // Their states will be asked for soon, with the job that names them.
    if (entries.size <= this.mostConditions) {
      await Promise.all([...entries].map(([id, e]) => this.learn(id, e).catch(() => null)));
    }
    return null;
  }

  /** Takes in a record that was read or written; what is over stays over. */
  remember(id: string, job: JobState): JobState {
    const before = this.known.get(id);
    // Answers may overtake one another: the newer version stands.
    if (before && (before.phase !== 'open' || before.version > job.version)) return before;
    this.forget(id);
    this.known.set(id, job);
    this.knownDependencies += job.dependencies.length;
    const most = this.settings.machine.memoryMb * KNOWN_PER_MB;
    for (const oldest of this.known.keys()) {
      const weight = this.known.size + this.knownDependencies / DEPENDENCIES_PER_JOB;
      if (weight <= most || oldest === id) break;
      this.forget(oldest);
    }
    return job;
  }

  private forget(id: string): void {
    this.knownDependencies -= this.known.get(id)?.dependencies.length ?? 0;
    this.known.delete(id);
  }

  // ---- jobs that others are needed for

  /** Whether a job before this one is remembered as cancelled. */
  private cancelledBefore(job: JobState): boolean {
    const seen = new Set<string>();
    const left = [...job.dependencies];
    for (let id = left.pop(); id !== undefined; id = left.pop()) {
      if (seen.has(id)) continue;
      seen.add(id);
      const before = this.known.get(id);
      if (before?.phase === 'cancelled') return true;
      if (before?.phase === 'open') left.push(...before.dependencies);
    }
    return false;
  }

  private cancelled(id: string): JobState {
    const job = this.known.get(id)!;
    return this.remember(id, { ...job, phase: 'cancelled', dependencies: [] });
  }

  /** The state of an open job that needs others: all open ones before it are compared too. */
  private async withAncestors(id: string, signal: AbortSignal | null): Promise<JobState | null> {
    const states = new Map<string, JobState>();
    let left = this.openBefore(id, states);
    while (left.length > 0) {
      for (const [ancestor, state] of await this.comparedAll(left, signal)) {
        if (state) states.set(ancestor, state);
        else if (ancestor === id) return null;
        else throw new Error(`${ancestor}, which ${id} needs, is missing`);
      }
      const job = states.get(id)!;
      if (job.phase !== 'open') return job;
      for (const state of states.values()) {
        // Remembered with its version again, in case it has been dropped from memory meanwhile.
        if (state.phase === 'cancelled') return this.remember(id, withdrawn(job));
      }
      left = [...states.values()].flatMap((s) => s.dependencies);
      left = [...new Set(left)].filter((a) => !states.has(a));
    }
    const job = states.get(id)!;
    const satisfied = job.dependencies.every((d) => states.get(d)?.phase === 'done');
    return satisfied ? this.remember(id, { ...job, dependencies: [] }) : job;
  }

  /** The job itself and all before it that are remembered as open or not at all. */
  private openBefore(id: string, over: Map<string, JobState>): string[] {
    const open = new Set<string>();
    const left = [id];
    for (let next = left.pop(); next !== undefined; next = left.pop()) {
      const job = this.known.get(next);
      if (job && job.phase !== 'open') over.set(next, job);
      if (open.has(next) || over.has(next)) continue;
      open.add(next);
      for (const d of job?.dependencies ?? []) left.push(d);
    }
    return [...open];
  }

  private async comparedAll(
    ids: string[],
    signal: AbortSignal | null,
  ): Promise<Map<string, JobState | null>> {
    // More than fit a few comparisons cost less requests as pages of records.
    if (ids.length > this.mostConditions * COMPARISONS_AT_ONCE) return this.readAll(ids, signal);
    // A comparison of what is not remembered could only fail, and then be followed by a read.
    const known = ids.filter((id) => this.known.has(id));
    const unknown = ids.filter((id) => !this.known.has(id));
    const [states, read] = await Promise.all([
      Promise.all(known.map((id) => this.compared(id, signal))),
      this.readAll(unknown, signal),
    ]);
    known.forEach((id, i) => read.set(id, states[i]!));
    return read;
  }

  private async readAll(
    ids: string[],
    signal: AbortSignal | null,
  ): Promise<Map<string, JobState | null>> {
    const entries = await readJobEntries(this.store, ids, signal ?? undefined);
    const states = new Map<string, JobState | null>();
    for (const id of ids) {
      const entry = entries.get(id);
      states.set(id, entry ? await this.learn(id, entry) : null);
    }
    return states;
  }

  // ---- comparisons

  private get mostConditions(): number {
    // Looked up each time: a refusal of the last comparison may have lowered it.
    const known = this.store.limits.effective().txnOps * CONDITIONS_PER_OPERATION;
    return Math.min(known, this.mostCompared);
  }

  /** The state as stored at some time after this call, whatever becomes of the jobs before it. */
  private compared(id: string, signal: AbortSignal | null): Promise<JobState | null> {
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
    while (this.asking.size > 0) {
      // Users can wait this long, and a comparison of one job costs as much as one of many.
      await this.runtime.clock.sleep(this.pollMs / GATHERINGS);
      const asked = [...this.asking].slice(0, this.mostConditions * COMPARISONS_AT_ONCE);
      for (const [id] of asked) this.asking.delete(id);
      const batches: [string, Waiter[]][][] = [];
      while (asked.length > 0) batches.push(asked.splice(0, this.mostConditions));
      await Promise.all(batches.map((batch) => this.compareOrReject(batch)));
    }
    this.comparing = false;
  }

  private async compareOrReject(batch: [string, Waiter[]][]): Promise<void> {
    try {
      await this.compare(batch);
    } catch (error) {
      if (isRefusedSize(error) && batch.length > 1) return this.compareInSmaller(batch);
      // Whoever asks is told at once that there is no answer now, and when to come back: held until
      // the store serves again, questions would pile up and come late all the same.
      for (const [, waiters] of batch) for (const w of waiters) w.reject(error);
    }
  }

  /**
   * The store takes fewer conditions than this comparison had. Its limit may have fallen without any
   * announcement; refused for good, the jobs that are asked for together would look forgotten.
   */
  private compareInSmaller(batch: [string, Waiter[]][]): void {
    if (batch.length <= this.mostConditions) this.mostCompared = batch.length >> 1;
    for (const [id, waiters] of batch) {
      const open = waiters.filter((w) => !w.signal?.aborted);
      if (open.length > 0) this.ask(id, open);
    }
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
        // What was compared is the answer also if the job has been dropped from memory since then:
        // an accepted job must never look as if it were unknown.
        if (changed) await this.rereadFor(id, waiters);
        else for (const w of waiters) w.resolve(this.known.get(id) ?? compared.get(id)!);
      }),
    );
  }

  /** Where one answer is lost, all questions that share the comparison would wait for it. */
  private compareVersions(when: Condition[]): ReturnType<Store['txn']> {
    const { clock } = this.runtime;
    return hedged(clock, this.pollMs * HEDGE_SHARE, () => this.store.txn(when, [], 0));
  }

  /** One job that cannot be read now leaves the other answers of its comparison alone. */
  private async rereadFor(id: string, waiters: Waiter[]): Promise<void> {
    try {
      const job = await this.reread(id);
      for (const w of waiters) w.resolve(job);
    } catch (error) {
      for (const w of waiters) w.reject(error);
    }
  }

  private async reread(id: string): Promise<JobState | null> {
    const entry = await this.store.get(KEYS.job(id), 0);
    return entry && this.learn(id, entry);
  }

  /** Takes in a record that was read just now, with the dependencies of an open job. */
  private async learn(id: string, entry: Entry): Promise<JobState> {
    const known = this.known.get(id);
    if (known && (known.phase !== 'open' || known.version === entry.version)) return known;
    const record = parseJob(entry.value);
    if (!record) throw new Error(`unreadable record of ${id}`);
    const dependencies =
      record.phase === 'open' ? await this.dependenciesOf(id, entry.version, record) : [];
    if (dependencies === null) throw new Error(`${id} has just changed or lacks dependencies`);
    const { phase, tasks } = record;
    return this.remember(id, { version: entry.version, phase, tasks, dependencies });
  }

  private async dependenciesOf(
    id: string,
    version: number,
    record: JobRecord,
  ): Promise<readonly string[] | null> {
    const known = this.known.get(id);
    // An open record may be written anew, but what it needs stays.
    if (known && known.version <= version) return known.dependencies;
    return readDependencies(this.store, id, record.needs);
  }
}

const withdrawn = (job: JobState): JobState => ({ ...job, phase: 'cancelled', dependencies: [] });
