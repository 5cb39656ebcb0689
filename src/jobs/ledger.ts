import type { Runtime } from '../runtime/duty.js';
import type { Term } from '../election/term.js';
import { KEYS } from '../state/keys.js';
import type { Change, Condition, Store, Urgency } from '../state/store.js';
import type { JobPhase } from './job.js';
import type { Job, Placement } from './live.js';
import { parseJob, type JobRecord } from './records.js';

/** How many times the ends of a job's tasks wait while writes queue. */
const MOST_ENDS_WAITS = 4;

export interface LedgerEvents {
  /** The job's own record was changed by another node: cancelled by its user. */
  jobChanged(job: Job, version: number, record: JobRecord): void;
  /** These starts are in the store and may be sent. */
  recorded(placements: Placement[]): void;
  /** The end of these starts is in the store and may be forgotten. */
  forgotten(placements: Placement[]): void;
  /** The store holds something that only another leader could have written. */
  contradiction(what: string): void;
  /** The store holds the job's final state. */
  ended(job: Job, phase: JobPhase): void;
  /** Nothing of the job is left to be written. */
  settled(job: Job): void;
}

/**
 * Writes what the leader decides, one transaction at a time for each job. Every transaction is
 * conditioned on the leader key and on the records it replaces; one that adds starts also on the
 * job's own record, so that a cancelled job cannot start.
 */
export class Ledger {
  private writes = 0;

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly txnOps: number,
    private readonly endsWaitMs: number,
    private readonly events: LedgerEvents,
  ) {}

  flush(job: Job): void {
    if (job.writing || job.blind || this.term.signal.aborted || !this.needsWrite(job)) return;
    job.writing = true;
    void this.write(job)
      .catch((error: unknown) => {
        if (this.term.signal.aborted) return;
        this.events.contradiction(`${job.id}: ${String(error)}`);
      })
      .finally(() => {
        job.writing = false;
        this.flush(job);
      });
  }

  /**
   * Ends of tasks can wait a little: until they are recorded their workers go on showing them, and a
   * successor learns them from there. So the ends of a large array share a few writes, and while
   * writes queue they wait longer: a write that is under way would hold up the job's next starts.
   */
  flushEnds(job: Job): void {
    if (job.phase !== 'open') return this.flush(job);
    if (job.endsWait) return;
    job.endsWait = true;
    void this.gatherEnds(job).then(() => {
      job.endsWait = false;
      this.flush(job);
    });
  }

  private async gatherEnds(job: Job): Promise<void> {
    for (let i = 0; i < MOST_ENDS_WAITS; i++) {
      await this.runtime.clock.sleep(this.endsWaitMs, this.term.signal);
      if (this.store.writesWaiting === 0 || !job.dirty) return;
    }
  }

  private needsWrite(job: Job): boolean {
    // Of a closed job nothing is written again: its records would come back without their job.
    if (job.closed) return false;
    if (job.phase === 'open') return job.dirty;
    // Of a job that is over, what still runs is recorded already, and more than that does no harm.
    return !job.phaseStored || this.canClose(job);
  }

  /** A job that is over and of which nothing can run any more keeps only its final state. */
  private canClose(job: Job): boolean {
    return job.phase !== 'open' && job.live.size === 0 && !job.closed && !job.blind;
  }

  private tag(): string {
    return `${this.term.id}/${++this.writes}`;
  }

  private async write(job: Job): Promise<void> {
    const { clock } = this.runtime;
    const w = this.tag();
    const when: Condition[] = [{ key: KEYS.leader, version: this.term.token }];
    const then: Change[] = [];
    const close = this.canClose(job);
    const written: number[] = [];
    const exited = job.exited;
    const phase = job.phase;
    const fresh = [...job.live.values()].filter((p) => p.stage === 'recording');
    const wall = (steady: number): number => Math.round(clock.wall() + steady - clock.now());

    for (let i = 0; i < job.chunks.length && then.length < this.txnOps - 1; i++) {
      const chunk = job.chunks[i]!;
      if (close ? chunk.version === 0 : !chunk.dirty || phase !== 'open') continue;
      const key = KEYS.run(job.id, i);
      when.push({ key, version: chunk.version });
      if (close) then.push({ delete: key });
      else then.push({ put: key, value: job.toRecord(i, w, wall) });
      written.push(i);
      chunk.dirty = false;
    }
    // Starts in chunks that did not fit into this transaction stay unsent until theirs is written.
    const inside = (p: Placement): boolean =>
      written.some((i) => {
        const [from, to] = job.range(i);
        return p.task >= from && p.task < to;
      });
    const starts = fresh.filter(inside);
    const ends = exited.filter(inside);
    const all = !close || written.length === job.chunks.filter((c) => c.version > 0).length;
    const final = phase !== 'open' && (close ? all : !job.phaseStored);
    if (final || starts.length > 0) when.push({ key: KEYS.job(job.id), version: job.version });
    if (final) {
      const value: JobRecord = { w, phase, tasks: job.spec.tasks, ...this.doneAt(job, phase) };
      if (!close) Object.assign(value, { at: job.submittedAt, spec: job.spec });
      then.push({ put: KEYS.job(job.id), value });
    }

    const outcome = await this.store.commit(when, then, urgencyOf(job, phase), this.term.signal);
    let revision: number;
    if (outcome.ok) revision = outcome.revision;
    else {
      const applied = outcome.doubtful ? await this.appliedAt(then, w) : null;
      if (applied === null) {
        for (const i of written) job.chunks[i]!.dirty = true;
        await this.refused(job, outcome.failed);
        return;
      }
      revision = applied;
    }
    for (const i of written) job.chunks[i]!.version = close ? 0 : revision;
    if (final) {
      job.version = revision;
      if (phase === job.phase) job.phaseStored = true;
      if (close) job.closed = true;
      this.events.ended(job, phase);
    }
    job.exited = job.exited.filter((p) => !ends.includes(p));
    this.events.recorded(starts);
    this.events.forgotten(ends);
    if (job.closed) this.events.settled(job);
  }

  /** When the job was done: those that need it are ready from then on, also for a new leader. */
  private doneAt(job: Job, phase: JobPhase): { doneAt?: number } {
    if (phase !== 'done') return {};
    job.doneAt ??= Math.round(this.runtime.clock.wall());
    return { doneAt: job.doneAt };
  }

  /** The version of our own write, if an unanswered copy of it was applied after all. */
  private async appliedAt(then: Change[], w: string): Promise<number | null> {
    // All keys of a transaction change together, so that one tells of all.
    const put = then.find((c) => 'put' in c) ?? null;
    if (!put || !('put' in put)) return null;
    const entry = await this.store.read(put.put, this.term.signal);
    return entry && (entry.value as { w?: unknown }).w === w ? entry.version : null;
  }

  private async refused(job: Job, failed: string[]): Promise<void> {
    if (failed.includes(KEYS.leader)) {
      this.term.end();
      return;
    }
    if (failed.includes(KEYS.job(job.id))) {
      const entry = await this.store.read(KEYS.job(job.id), this.term.signal);
      const record = entry && parseJob(entry.value);
      if (!entry || !record) throw new Error('its record is missing or unreadable');
      this.events.jobChanged(job, entry.version, record);
      return;
    }
    throw new Error(`unexpected versions of ${failed.join(', ')}`);
  }
}

/**
 * Tasks of an array are of use one by one; services and gangs wait for each of theirs. The end of a
 * job that others wait for holds up all their tasks. What was cancelled with another job is known to
 * be cancelled already, and no task of it runs.
 */
function urgencyOf(job: Job, phase: JobPhase): Urgency {
  if (phase === 'done' && job.awaited) return 0;
  if (phase === 'cancelled' && job.cancelledWith !== null) return 2;
  return phase === 'open' && job.spec.kind === 'array' ? 2 : 1;
}
