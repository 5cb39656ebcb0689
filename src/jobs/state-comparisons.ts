import type { Clock } from '@leverhatch/core/clock';
import { KEYS } from '../state/keys.js';
import { isRefusedSize, type Condition, type RequestClass, type Store } from '../state/store.js';
import type { JobState } from './job-states.js';
import { HEDGE_SHARE, hedged, Overloaded } from './user-requests.js';

interface Waiter {
  /** Aborted once the question's own time is over: nobody waits for its answer any more. */
  signal: AbortSignal | null;
  resolve(job: JobState | null): void;
  reject(reason: unknown): void;
}

/** A job and all who wait for its state. */
type Question = [string, Waiter[]];

/** A job as it was read, that it was never accepted, or why its record could not be taken in. */
export type ReadState = JobState | null | Error;

export interface StateMemory {
  /** What is remembered of a job. */
  remembered(id: string): JobState | null;
  /** Reads jobs from the store; each state is from some time after the call. */
  read(ids: readonly string[], from: RequestClass): Promise<Map<string, ReadState>>;
}

/** For how small a share of a poll's time questions gather before they are compared together. */
const GATHERINGS = 16;

/** How many comparisons are under way at once. */
const COMPARISONS_AT_ONCE = 4;

/** For how large a share of a poll's time a question may queue; beyond it its user is sent away. */
const MOST_QUEUED_SHARE = 0.5;

/** The same for a question about a job of which nothing was answered for long. */
const MOST_OVERDUE_QUEUED_SHARE = 0.75;

/**
 * Questions about jobs that wait to be compared with the store. One comparison serves all questions
 * that wait when it begins. Users' questions and what submissions, cancellations and workers wait
 * for have a queue each, so that a storm of the former holds up none of the latter.
 */
export class StateComparisons {
  private asking = new Map<string, Waiter[]>();
  private comparing = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly pollMs: number,
    private readonly from: RequestClass,
    private readonly memory: StateMemory,
  ) {}

  /** More jobs than this cost less requests as pages of records. */
  get mostAtOnce(): number {
    return this.mostConditions * COMPARISONS_AT_ONCE;
  }

  /** The state as stored at some time after this call, whatever becomes of the jobs before it. */
  async compared(
    id: string,
    signal: AbortSignal | null,
    overdue = false,
  ): Promise<JobState | null> {
    this.store.assertAnswers();
    const delayMs = this.from === 'question' && !this.asking.has(id) ? this.delayMs : 0;
    const mostShare = overdue ? MOST_OVERDUE_QUEUED_SHARE : MOST_QUEUED_SHARE;
    if (delayMs > this.pollMs * mostShare) throw new Overloaded(delayMs);
    return new Promise((resolve, reject) => {
      this.ask(id, [{ signal, resolve, reject }]);
      if (!this.comparing) void this.compareAll();
    });
  }

  /** How many jobs one comparison takes. */
  get mostConditions(): number {
    // Looked up each time: a refusal of the last comparison may have lowered it.
    return this.store.limits.comparedKeys.current;
  }

  /** How long one more question would wait for its comparison to be sent, in milliseconds. */
  private get delayMs(): number {
    const rounds = Math.floor(this.asking.size / this.mostAtOnce);
    return this.store.questionDelayMs(rounds * COMPARISONS_AT_ONCE + 1);
  }

  private ask(id: string, waiters: Waiter[]): void {
    const before = this.asking.get(id);
    // Copied, a list that thousands wait in would cost more than all their answers.
    if (before) for (const w of waiters) before.push(w);
    else this.asking.set(id, waiters);
  }

  private async compareAll(): Promise<void> {
    this.comparing = true;
    while (this.asking.size > 0) {
      // Users can wait this long, and a comparison of one job costs as much as one of many.
      await this.clock.sleep(this.pollMs / GATHERINGS);
      this.dropAbandoned();
      const asked = [...this.asking].slice(0, this.mostAtOnce);
      for (const [id] of asked) this.asking.delete(id);
      const batches: Question[][] = [];
      while (asked.length > 0) batches.push(asked.splice(0, this.mostConditions));
      const changed = await Promise.all(batches.map((batch) => this.compareOrReject(batch)));
      await this.readChanged(new Map(changed.flat()));
    }
    this.comparing = false;
  }

  /** What nobody waits for any more costs the store nothing. */
  private dropAbandoned(): void {
    for (const [id, waiters] of this.asking) {
      const waiting = waiters.filter((w) => !w.signal?.aborted);
      if (waiting.length === 0) this.asking.delete(id);
      else this.asking.set(id, waiting);
    }
  }

  /** Answers the questions of a batch; those whose jobs have changed are left to be read. */
  private async compareOrReject(batch: Question[]): Promise<Question[]> {
    try {
      return await this.compare(batch);
    } catch (error) {
      if (isRefusedSize(error) && batch.length > 1) {
        this.compareInSmaller(batch);
        return [];
      }
      // Whoever asks is told at once that there is no answer now, and when to come back: held until
      // the store serves again, questions would pile up and come late all the same.
      rejectAll(batch, error);
      return [];
    }
  }

  /**
   * The store takes fewer conditions than this comparison had. Its limit may have fallen without any
   * announcement; refused for good, the jobs that are asked for together would look forgotten.
   */
  private compareInSmaller(batch: Question[]): void {
    this.store.limits.comparedKeys.refused(batch.length);
    for (const [id, waiters] of batch) this.ask(id, waiters);
  }

  private async compare(batch: Question[]): Promise<Question[]> {
    const compared = new Map(batch.map(([id]) => [id, this.memory.remembered(id)]));
    const when = [...compared].map(([id, job]) => ({
      key: KEYS.job(id),
      version: job?.version ?? 0,
    }));
    const failed = new Set(await this.differing(when));
    const changed = batch.filter(([id]) => failed.has(KEYS.job(id)));
    for (const [id, waiters] of batch) {
      if (failed.has(KEYS.job(id))) continue;
      // Of a failed comparison only the keys it names are known to differ; nothing is concluded
      // about the others.
      if (failed.size > 0) this.ask(id, waiters);
      // What was compared is the answer also if the job has been dropped from memory since then:
      // an accepted job must never look as if it were unknown.
      else for (const w of waiters) w.resolve(this.memory.remembered(id) ?? compared.get(id)!);
    }
    return changed;
  }

  /** Where one answer is lost, all questions that share the comparison would wait for it. */
  private differing(when: Condition[]): Promise<string[]> {
    // What still queues here is not without an answer yet.
    const queuedMs = this.from === 'question' ? this.store.questionDelayMs(1) : 0;
    const afterMs = this.pollMs * HEDGE_SHARE + queuedMs;
    return hedged(this.clock, afterMs, () => this.store.differing(when, this.from));
  }

  /** One job that cannot be read now leaves the other answers of its comparison alone. */
  private async readChanged(changed: Map<string, Waiter[]>): Promise<void> {
    if (changed.size === 0) return;
    let read: Map<string, ReadState>;
    try {
      read = await this.memory.read([...changed.keys()], this.from);
    } catch (error) {
      return rejectAll(changed, error);
    }
    for (const [id, waiters] of changed) {
      const job = read.get(id) ?? null;
      for (const w of waiters) {
        if (job instanceof Error) w.reject(job);
        else w.resolve(job);
      }
    }
  }
}

function rejectAll(questions: Iterable<Question>, reason: unknown): void {
  for (const [, waiters] of questions) for (const w of waiters) w.reject(reason);
}
