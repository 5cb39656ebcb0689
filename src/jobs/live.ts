import type { TaskState } from '../wire/report.js';
import type { JobPhase, JobSpec } from './job.js';
import type { GangRecord, RunRecord } from './records.js';

/**
 * How far a start has come. `recording`: not yet in the store. `recorded`: may be sent.
 * `recovered`: recorded by an earlier leader, may or may not have been sent. `offered`: sent in the
 * answer to a report. `live`: reported by its worker.
 */
export type Stage = 'recording' | 'recorded' | 'recovered' | 'offered' | 'live';

/** One start of one task. It occupies its place until it is proven gone. */
export interface Placement {
  job: Job;
  task: number;
  attempt: number;
  machine: string;
  session: number;
  zone: string;
  stage: Stage;
  state: TaskState | null;
  placedAt: number;
  runningSince: number | null;
  stop: { graceMs: number } | null;
}

export interface Gang {
  phase: 'queued' | GangRecord['phase'];
  holdsGate: boolean;
  /** Time that counts against the timeout, and when it was last counted. */
  chargedMs: number;
  chargedAt: number;
  /** Steady time until which a suspended gang stays inadmissible. */
  until: number;
  suspensions: number;
}

interface Chunk {
  version: number;
  dirty: boolean;
}

export class Job {
  phase: JobPhase = 'open';
  attempt = 0;
  readonly live = new Map<number, Placement>();
  readonly gang: Gang | null;
  readonly chunks: Chunk[];
  doneCount = 0;
  private readonly done: Uint8Array;
  /** No task of it is placed before this time: it failed lately. */
  retryAt = 0;
  failures = 0;
  readonly failedOn = new Set<string>();
  /** Exited starts whose end is not in the store yet. */
  exited: Placement[] = [];
  writing = false;
  /** Ends are about to be written. */
  endsWait = false;
  /** True once the job's own record says what `phase` says. */
  phaseStored = true;
  /** A record of it cannot be read: all of its tasks count as running, and none is started. */
  blind = false;
  /** Jobs that have to be done before any task of this one starts. */
  dependencies: readonly string[] = [];
  /** Time of day since when it could start; null: it waits for other jobs. */
  readyAt: number | null;
  /** Others wait for it: what keeps them is that its end is stored. */
  awaited = false;
  /** The job that it needs and that was cancelled; null if it was not cancelled for another's sake. */
  cancelledWith: string | null = null;
  /** Time of day at which its end was written as done; null until then. */
  doneAt: number | null = null;
  /** True once only the compact final state is left in the store. */
  closed = false;

  constructor(
    readonly id: string,
    readonly spec: JobSpec,
    readonly submittedAt: number,
    public version: number,
    private readonly perChunk: number,
  ) {
    this.readyAt = submittedAt;
    this.done = new Uint8Array(spec.tasks);
    this.chunks = Array.from({ length: Math.ceil(spec.tasks / perChunk) }, () => ({
      version: 0,
      dirty: false,
    }));
    this.gang =
      spec.kind === 'gang'
        ? {
            phase: 'queued',
            holdsGate: false,
            chargedMs: 0,
            chargedAt: 0,
            until: 0,
            suspensions: 0,
          }
        : null;
  }

  get complete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  isDone(task: number): boolean {
    return this.done[task] === 1;
  }

  get waiting(): number {
    return this.phase === 'open' ? this.spec.tasks - this.doneCount - this.liveUndone() : 0;
  }

  private liveUndone(): number {
    if (this.doneCount === 0) return this.live.size;
    let n = 0;
    for (const task of this.live.keys()) if (!this.isDone(task)) n++;
    return n;
  }

  /** The first `limit` tasks that are neither done nor possibly on a machine. */
  waitingTasks(limit: number): number[] {
    const tasks: number[] = [];
    for (let t = 0; t < this.spec.tasks && tasks.length < limit; t++) {
      if (this.done[t] === 0 && !this.live.has(t)) tasks.push(t);
    }
    return tasks;
  }

  get running(): number {
    let n = 0;
    for (const p of this.live.values()) if (p.state === 'running') n++;
    return n;
  }

  markDone(task: number): void {
    if (this.done[task] === 1) return;
    this.done[task] = 1;
    this.doneCount++;
    this.touch(task);
  }

  touch(task: number): void {
    this.chunks[Math.floor(task / this.perChunk)]!.dirty = true;
  }

  get dirty(): boolean {
    return this.chunks.some((c) => c.dirty);
  }

  range(chunk: number): [number, number] {
    return [chunk * this.perChunk, Math.min(this.spec.tasks, (chunk + 1) * this.perChunk)];
  }

  toRecord(chunk: number, w: string, wallOf: (steady: number) => number): RunRecord {
    const [from, to] = this.range(chunk);
    const done: [number, number][] = [];
    for (let t = from; t < to; t++) {
      if (this.done[t] === 0) continue;
      const last = done[done.length - 1];
      if (last && last[1] === t - 1) last[1] = t;
      else done.push([t, t]);
    }
    const placed: RunRecord['placed'] = [];
    for (const p of this.live.values()) {
      if (p.task >= from && p.task < to)
        placed.push([p.task, p.attempt, p.machine, p.session, p.zone]);
    }
    const record: RunRecord = { w, attempt: this.attempt, done, placed };
    if (this.gang && this.gang.phase !== 'queued') {
      const { phase, suspensions, until } = this.gang;
      record.gang = { phase, suspensions, until: wallOf(until) };
    }
    return record;
  }

  /** Takes over what an earlier leader recorded; the caller adds the placements to their machines. */
  restore(
    chunk: number,
    version: number,
    record: RunRecord,
    now: number,
    wall: number,
  ): Placement[] {
    this.chunks[chunk]!.version = version;
    this.attempt = Math.max(this.attempt, record.attempt);
    for (const [from, to] of record.done) {
      for (let t = from; t <= to && t < this.spec.tasks; t++) {
        if (this.done[t] === 0) this.doneCount++;
        this.done[t] = 1;
      }
    }
    if (this.gang && record.gang) {
      this.gang.phase = record.gang.phase;
      this.gang.suspensions = record.gang.suspensions;
      this.gang.until = now + (record.gang.until - wall);
      this.gang.holdsGate = record.gang.phase === 'admitted';
      this.gang.chargedAt = now;
    }
    const placements: Placement[] = [];
    for (const [task, attempt, machine, session, zone] of record.placed) {
      const p: Placement = {
        job: this,
        task,
        attempt,
        machine,
        session,
        zone,
        stage: 'recovered',
        state: null,
        placedAt: now,
        runningSince: null,
        stop: null,
      };
      this.live.set(task, p);
      placements.push(p);
    }
    return placements;
  }
}
