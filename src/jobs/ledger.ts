import type { Runtime } from '../runtime/duty.js';
import type { Term } from '../election/term.js';
import { KEYS } from '../state/keys.js';
import { jsonBytes, type StoreLimits } from '../state/limits.js';
import { Refused, type Change, type Condition, type Store, type Urgency } from '../state/store.js';
import type { JobPhase } from './job.js';
import type { Job, Placement } from './live.js';
import {
  parseJob,
  tasksPerRange,
  type JobRecord,
  type RangedRunRecord,
  type RunRecord,
} from './records.js';
import { fitJobRecord } from './record-size.js';
import type { LayoutPolicy, Section, StoredSection } from './run-layout.js';

/**
 * A refused write of a job is tried again after this share of the time for which ends wait, doubled
 * with every refusal up to that time.
 */
const FIRST_RETRY_SHARE = 1 / 50;

/** How often a transaction is made half as large before it is left at that. */
const MOST_HALVINGS = 3;

/** How much of the limit for a value is used: the store may count some more bytes than we do. */
const VALUE_SHARE = 0.9;

/** The store takes 64 KiB in one transaction; some are left for its frame and conditions. */
const MOST_TXN_BYTES = 56 * 1024;
/** The key and the condition that go with a value. */
const BYTES_PER_OPERATION = 200;

interface SectionRecord {
  section: Section;
  record: RunRecord | RangedRunRecord;
}

/** One transaction of a job, and what it does. */
interface Draft {
  when: Condition[];
  then: Change[];
  /** What is written. */
  sections: Section[];
  /** What is deleted. */
  removed: StoredSection[];
  jobRecord: JobRecord | null;
  /** True if only the final state is left after it. */
  closes: boolean;
  /** It changes nothing: records are moved to another layout. */
  background: boolean;
}

/** A write of one job that the store refused for good: too large, say. */
interface Refusal {
  /** How long the job waits after the next one. */
  nextWaitMs: number;
  /** How many times its transactions have been given half as many changes. */
  halvedOps: number;
  /** How many times its values have been made half as large; only ranged records can be. */
  halvedBytes: number;
  /** No write of the job is tried before this time. */
  until: number;
}

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
  private readonly refusals = new WeakMap<Job, Refusal>();

  constructor(
    private readonly store: Store,
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly limits: StoreLimits,
    private readonly layouts: LayoutPolicy,
    private readonly endsWaitMs: number,
    private readonly events: LedgerEvents,
  ) {}

  flush(job: Job): void {
    if (job.writing || job.blind || this.term.signal.aborted || !this.needsWrite(job)) return;
    if ((this.refusals.get(job)?.until ?? 0) > this.runtime.clock.now()) return;
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

  /**
   * Rewrites the job's superseded records as ranged ones, when nothing else waits to be written.
   * `rewriting` is false again once it is done.
   */
  rewrite(job: Job): void {
    if (job.phase !== 'open' || job.blind || job.closed) return;
    job.rewriting = true;
    this.flush(job);
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
    if (job.phase === 'open') return job.dirty || job.rewriting;
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
    const w = this.tag();
    this.chooseLayout(job);
    const draft = this.canClose(job) ? this.closing(job, w) : this.progress(job, w);
    const { phase } = job;
    const { exited } = job;
    const fresh = [...job.live.values()].filter((p) => p.stage === 'recording');
    // Starts in sections that did not fit into this transaction stay unsent until theirs is written.
    const inside = (p: Placement): boolean =>
      draft.sections.some((s) => p.task >= s.from && p.task < s.to);
    const starts = fresh.filter(inside);
    const ends = draft.closes ? exited : exited.filter(inside);
    if (draft.jobRecord !== null || starts.length > 0) {
      draft.when.push({ key: KEYS.job(job.id), version: job.version });
    }
    if (draft.jobRecord !== null) {
      draft.then.push({ put: KEYS.job(job.id), value: draft.jobRecord });
    }
    if (draft.then.length === 0) {
      job.rewriting = false;
      return;
    }

    const wasDirty = draft.sections.filter((s) => s.dirty);
    draft.background = job.rewriting && wasDirty.length === 0;
    for (const section of draft.sections) section.dirty = false;
    const revision = await this.commit(job, w, draft);
    if (revision === null) {
      for (const section of wasDirty) section.dirty = true;
      return;
    }
    for (const section of draft.sections) {
      section.version = revision;
      section.inherited = false;
    }
    for (const record of draft.removed) this.removed(job, record);
    if (draft.jobRecord !== null) {
      job.version = revision;
      if (phase === job.phase) job.phaseStored = true;
      if (draft.closes) job.closed = true;
      this.events.ended(job, phase);
    }
    const ended = new Set(ends);
    job.exited = job.exited.filter((p) => !ended.has(p));
    this.events.recorded(starts);
    this.events.forgotten(ends);
    if (job.closed) this.events.settled(job);
  }

  /** Ranged records where all controllers read them and records must shrink, or one was refused. */
  private chooseLayout(job: Job): void {
    if (job.layout.kind === 'ranged' || job.phase !== 'open') return;
    if (!this.layouts.rangesReadable()) return;
    if (!this.layouts.rangesWanted() && !this.refusals.has(job)) return;
    const perRange = tasksPerRange(this.limitsFor(job).valueBytes);
    job.useRangedRecords(perRange);
    // What was refused has another form now, and may be tried again soon.
    const refusal = this.refusals.get(job);
    if (refusal) refusal.nextWaitMs = this.firstRetryMs;
    this.runtime.log.debug({ job: job.id, perRange }, 'run records are ranged from now on');
  }

  private get firstRetryMs(): number {
    return this.endsWaitMs * FIRST_RETRY_SHARE;
  }

  /** Limits for one job's transaction: smaller ones after the store has refused it. */
  private limitsFor(job: Job): { valueBytes: number; txnOps: number } {
    const { valueBytes, txnOps } = this.limits.effective();
    const refusal = this.refusals.get(job);
    return {
      valueBytes: Math.floor((valueBytes * VALUE_SHARE) / 2 ** (refusal?.halvedBytes ?? 0)),
      txnOps: Math.max(2, Math.floor(txnOps / 2 ** (refusal?.halvedOps ?? 0))),
    };
  }

  private emptyDraft(): Draft {
    return {
      when: [{ key: KEYS.leader, version: this.term.token }],
      then: [],
      sections: [],
      removed: [],
      jobRecord: null,
      closes: false,
      background: false,
    };
  }

  /**
   * Deletes the records of a job that is over and leaves its final state. Where that takes several
   * transactions the job's own record says first that it is over: with some of its records gone and
   * its own still open, a successor would run tasks again.
   */
  private closing(job: Job, w: string): Draft {
    const draft = this.emptyDraft();
    const stored = job.layout.stored();
    const most = this.limitsFor(job).txnOps - 1;
    if (stored.length > most && !job.phaseStored) {
      draft.jobRecord = this.finalRecord(job, w);
      return draft;
    }
    draft.removed = stored.slice(0, most);
    for (const { key, version } of draft.removed) {
      draft.when.push({ key, version });
      draft.then.push({ delete: key });
    }
    if (stored.length > most) return draft;
    const { phase, tasks, doneAt } = this.finalRecord(job, w);
    draft.jobRecord = { w, phase, tasks, ...(doneAt === undefined ? {} : { doneAt }) };
    draft.closes = true;
    return draft;
  }

  /** Of a job that is over and of which something is still left. */
  private finalRecord(job: Job, w: string): JobRecord {
    const { phase, spec, submittedAt } = job;
    const whole: JobRecord = { w, phase, tasks: spec.tasks, at: submittedAt, spec };
    // One accepted under larger limits may have to lose its machine types, which matter no more.
    const record = fitJobRecord(whole, this.limitsFor(job).valueBytes, new Set()) ?? whole;
    if (phase !== 'done') return record;
    // Those that need it are ready from then on, also for a new leader.
    job.doneAt ??= Math.round(this.runtime.clock.wall());
    return { ...record, doneAt: job.doneAt };
  }

  /** What has changed of a job, as much of it as one transaction may carry. */
  private progress(job: Job, w: string): Draft {
    const draft = this.emptyDraft();
    if (job.phase === 'open') this.addSections(job, w, draft);
    else if (!job.phaseStored) draft.jobRecord = this.finalRecord(job, w);
    if (!job.rewriting) return draft;
    const written = new Set(draft.sections);
    for (const record of job.layout.removable(written)) {
      if (draft.then.length >= this.limitsFor(job).txnOps - 1) break;
      draft.removed.push(record);
      draft.when.push({ key: record.key, version: record.version });
      draft.then.push({ delete: record.key });
    }
    return draft;
  }

  private addSections(job: Job, w: string, draft: Draft): void {
    const limits = this.limitsFor(job);
    const records = this.recordsToWrite(job, w, limits.valueBytes);
    let bytes = 0;
    for (const { section, record } of records) {
      bytes += jsonBytes(record) + BYTES_PER_OPERATION;
      // One change is left for the job's own record.
      if (draft.then.length >= limits.txnOps - 1) return;
      if (bytes > MOST_TXN_BYTES && draft.then.length > 0) return;
      draft.when.push({ key: section.key, version: section.version });
      draft.then.push({ put: section.key, value: record });
      draft.sections.push(section);
    }
  }

  /** The records that have to be written; ranged ones are split until each fits. */
  private recordsToWrite(job: Job, w: string, valueBytes: number): SectionRecord[] {
    const { layout } = job;
    const { clock } = this.runtime;
    const wall = (steady: number): number => Math.round(clock.wall() + steady - clock.now());
    const due = (s: Section): boolean => s.dirty || (job.rewriting && s.inherited);
    const list: SectionRecord[] = [];
    for (let i = 0; i < layout.sections.length; i++) {
      const section = layout.sections[i]!;
      if (!due(section)) continue;
      let record = job.toRecord(section, w, wall);
      while (layout.kind === 'ranged' && section.to - section.from > 1) {
        if (jsonBytes(record) <= valueBytes) break;
        layout.split(section);
        record = job.toRecord(section, w, wall);
      }
      list.push({ section, record });
    }
    if (layout.kind === 'indexed') return list;
    // Later tasks first: see `RunLayout` on splitting. Changes before what is only moved.
    return list.reverse().sort((a, b) => Number(b.section.dirty) - Number(a.section.dirty));
  }

  private removed(job: Job, record: StoredSection): void {
    record.version = 0;
    job.layout.removed(record);
  }

  /** The revision at which it was applied; null if it was not, and the job has to try again. */
  private async commit(job: Job, w: string, draft: Draft): Promise<number | null> {
    try {
      const { when, then } = draft;
      const outcome = await this.store.commit(when, then, urgencyOf(job, draft), this.term.signal);
      if (outcome.ok) return outcome.revision;
      const applied = outcome.doubtful ? await this.appliedAt(then, w) : null;
      if (applied === null) await this.conflict(job, draft, outcome.failed);
      return applied;
    } catch (error) {
      if (!(error instanceof Refused)) throw error;
      // A copy of it that got no answer may have been applied before the limits fell.
      const applied = error.doubtful ? await this.appliedAt(draft.then, w) : null;
      if (applied === null) this.refuse(job, draft.then, error);
      return applied;
    }
  }

  /** The store refuses this write for good, which stops the progress of this job alone. */
  private refuse(job: Job, then: Change[], error: Refused): void {
    const { clock, log } = this.runtime;
    const before = this.refusals.get(job);
    const waitMs = before?.nextWaitMs ?? this.firstRetryMs;
    const half = (times: number): number => Math.min(times + 1, MOST_HALVINGS);
    job.rewriting = false;
    this.refusals.set(job, {
      nextWaitMs: Math.min(waitMs * 2, this.endsWaitMs),
      // The first refusal may mean no more than that the announced limits hold by now.
      halvedOps: before ? half(before.halvedOps) : 0,
      halvedBytes: before && job.layout.kind === 'ranged' ? half(before.halvedBytes) : 0,
      until: clock.now() + waitMs,
    });
    if (!before) {
      const changes = then.map((c) =>
        'put' in c ? { key: c.put, bytes: jsonBytes(c.value) } : { key: c.delete },
      );
      log.error({ job: job.id, error: String(error), changes }, 'job cannot be written');
    }
    void clock.sleep(waitMs, this.term.signal).then(() => this.flush(job));
  }

  /** The version of our own write, if an unanswered copy of it was applied after all. */
  private async appliedAt(then: Change[], w: string): Promise<number | null> {
    // All keys of a transaction change together, so that one tells of all.
    const put = then.find((c) => 'put' in c) ?? null;
    if (!put || !('put' in put)) return null;
    const entry = await this.store.read(put.put, this.term.signal);
    return entry && (entry.value as { w?: unknown }).w === w ? entry.version : null;
  }

  private async conflict(job: Job, draft: Draft, failed: string[]): Promise<void> {
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
    for (const key of failed) await this.reconcile(job, draft, key);
  }

  /**
   * A run record has another version than we know. Under the leader key only our own writes can have
   * changed it: one without an answer that was then given up, since a repeat was refused.
   */
  private async reconcile(job: Job, draft: Draft, key: string): Promise<void> {
    const entry = await this.store.read(key, this.term.signal);
    const removed = draft.removed.find((r) => r.key === key);
    if (removed && !entry) return this.removed(job, removed);
    const known = job.layout.stored().find((s) => s.key === key);
    const section = known ?? job.layout.sections.find((s) => s.key === key);
    const mark = (entry?.value as { w?: unknown } | undefined)?.w;
    if (!section || !entry || typeof mark !== 'string' || !mark.startsWith(`${this.term.id}/`)) {
      throw new Error(`unexpected version of ${key}`);
    }
    section.version = entry.version;
  }
}

/**
 * Tasks of an array are of use one by one; services and gangs wait for each of theirs. The end of a
 * job that others wait for holds up all their tasks, until it is stored. What was cancelled with
 * another job is known to be cancelled already, and no task of it runs.
 */
function urgencyOf(job: Job, draft: Draft): Urgency {
  if (draft.background) return 2;
  if (job.phase === 'open') return job.spec.kind === 'array' ? 2 : 1;
  if (job.phaseStored || job.cancelledWith !== null) return 2;
  return job.phase === 'done' && job.awaited ? 0 : 1;
}
