import { Subject } from 'rxjs';
import { ZoneDelegateWatch, zoneDelegateRightMs } from '../election/zone-delegate.js';
import type { Term } from '../election/term.js';
import type { Catalogue } from '../fleet/catalogue.js';
import { Fleet } from '../fleet/fleet.js';
import { Rentals } from '../fleet/rentals.js';
import { StopCommands, type Callers } from '../fleet/stop-commands.js';
import type { Machine } from '../fleet/machine.js';
import type { MachineType } from '../fleet/types.js';
import type { Transport } from '../http/client.js';
import type { Counts } from '../jobs/job-api.js';
import { Ledger } from '../jobs/ledger.js';
import { Job, type Placement, type StoredRuns } from '../jobs/live.js';
import { parseJob, tasksPerRange, tasksPerRecord, type JobRecord } from '../jobs/records.js';
import type { LayoutPolicy } from '../jobs/run-layout.js';
import { readRuns } from '../jobs/run-reader.js';
import { RunRewriter } from '../jobs/run-rewriter.js';
import type { Membership } from '../membership/membership.js';
import { duty, type Runtime } from '../runtime/duty.js';
import type { Plan, Snapshot } from '../scheduler/model.js';
import { plan } from '../scheduler/plan.js';
import type { Settings } from '../settings/deploy.js';
import type { Operator } from '../settings/operator.js';
import { jobOfKey, KEYS } from '../state/keys.js';
import { HistoryLost, type Entry, type Store } from '../state/store.js';
import type { ExitWhy, Order, Report } from '../wire/report.js';
import { checkTimeout, GangGate } from './gang-gate.js';
import { LongPoll } from './long-poll.js';
import { takeSnapshot } from './snapshot.js';
import { MachineReconciler } from './machine-reconciler.js';

export interface LeaderParts {
  store: Store;
  cloud: Transport;
  workers: Callers;
  catalogue: Catalogue;
  membership: Membership;
  settings: Settings;
  operator: Operator;
  runtime: Runtime;
  cloudTimeoutMs: number;
}

/** Work is little that is done again in this many times what saving it takes. */
const LITTLE_LOSS_SAVES = 3;

/**
 * How long a new leader waits for its first report, as a share of the workers' lease: workers give a
 * controller that does not answer 0.4 of it before they try the next.
 */
const NEVER_HEARD_SHARE = 0.5;

/**
 * How long the answer to a report may be kept back, as a share of the time between two, so that the
 * next one is not late; and well within the 4 s after which workers give an answer up.
 */
const HOLD_SHARE = 0.75;
const MOST_HOLD_MS = 2200;

/** Prices move by up to a third and slowly; a call each half minute does not weigh on any cloud. */
const PRICES_MS = 30_000;

/**
 * For how many report intervals all of many workers are silent by no chance; with few it takes more.
 * Their leases run meanwhile, and have to last until they have found the next leader.
 */
const SILENT_REPORTS = 1.5;

/** All that a controller does while it leads. It lives for one term and is thrown away after it. */
export class Leader {
  readonly jobs = new Map<string, Job>();
  readonly fleet: Fleet;
  readonly rentals: Rentals;
  readonly gate: GangGate;
  readonly reconciler: MachineReconciler;
  private readonly ledger: Ledger;
  private readonly rewriter: RunRewriter;
  private readonly zoneDelegates: ZoneDelegateWatch;
  private readonly longPoll: LongPoll;
  private readonly stopCommands: StopCommands;
  private readonly wake = new Subject<void>();
  private ready = false;
  private listedOnce = false;
  private dirty = true;
  private heardAt: number | null = null;

  constructor(
    readonly parts: LeaderParts,
    readonly term: Term,
    private readonly resign: () => void,
  ) {
    const { settings, runtime, store, cloud } = parts;
    this.zoneDelegates = new ZoneDelegateWatch(
      store,
      runtime,
      zoneDelegateRightMs(settings.workers.leaseMs * parts.operator.election.lifetime),
    );
    this.fleet = new Fleet(
      {
        running: (p) => this.onRunning(p),
        exited: (p, why, saved) => this.onExited(p, why, saved),
        lost: (p) => this.onLost(p),
      },
      term.token,
      term.startedAt,
      settings.workers.leaseMs,
      this.zoneDelegates,
    );
    const endsWaitMs = settings.workers.leaseMs;
    const layouts: LayoutPolicy = {
      rangesReadable: () => parts.membership.allCurrent,
      rangesWanted: () => store.limits.recordsMustShrink,
    };
    this.ledger = new Ledger(store, runtime, term, store.limits, layouts, endsWaitMs, {
      jobChanged: (job, version, record) => this.onJobRecord(job.id, version, record),
      recorded: (placements) => {
        for (const p of placements) if (p.stage === 'recording') p.stage = 'recorded';
        for (const p of placements) this.longPoll.release(p.machine);
      },
      forgotten: (placements) => {
        for (const p of placements) this.fleet.recorded(p);
      },
      contradiction: (what) => {
        runtime.log.error({ what }, 'giving up leadership');
        term.end();
      },
      settled: (job) => this.jobs.delete(job.id),
    });
    this.rewriter = new RunRewriter(store, runtime, this.ledger, this.jobs, layouts);
    this.rentals = new Rentals(cloud, store, runtime, settings, term, parts.cloudTimeoutMs, {
      rented: (ids, rent) => {
        for (const id of ids) {
          const m = this.fleet.machine(id, runtime.clock.now());
          m.type ??= this.types.get(rent.type) ?? null;
          m.zone = rent.zone;
          m.spot = rent.spot;
          m.listedState ??= 'booting';
        }
        this.touch();
      },
      listed: (machines) => {
        this.reconciler.listed(machines, this.now);
        this.touch();
      },
      returned: (ids) => {
        this.reconciler.returned(ids, this.now);
        this.touch();
      },
    });
    this.longPoll = new LongPoll(runtime, this.longestHoldMs);
    this.stopCommands = new StopCommands(
      parts.workers,
      runtime,
      term,
      settings.workers.reportMs,
      (r) => {
        this.fleet.direct(r);
      },
    );
    this.gate = new GangGate(parts.operator);
    this.reconciler = new MachineReconciler(
      this.fleet,
      this.rentals,
      settings,
      parts.operator,
      () => this.types,
      term.startedAt,
    );
  }

  private get now(): number {
    return this.parts.runtime.clock.now();
  }

  /** How soon a request that failed is made again. */
  private get retryMs(): number {
    return this.parts.settings.workers.leaseMs / 50;
  }

  private get types(): ReadonlyMap<string, MachineType> {
    return this.parts.catalogue.types.value ?? new Map();
  }

  /** Something changed that the next round of decisions should see. */
  private touch(): void {
    this.dirty = true;
    this.wake.next();
  }

  async run(): Promise<void> {
    const { runtime } = this.parts;
    const { signal } = this.term;
    const restartMs = this.parts.settings.workers.reportMs;
    const revision = await this.recover(signal);
    if (signal.aborted) return;
    await Promise.all([
      duty(runtime, 'held reports', signal, restartMs, (s) => this.longPoll.run(s)),
      duty(runtime, 'follow jobs', signal, restartMs, (s) => this.followJobs(revision, s)),
      duty(runtime, 'rounds', signal, restartMs, (s) => this.rounds(s)),
      duty(runtime, 'rewrite runs', signal, restartMs, (s) => this.rewriter.run(restartMs, s)),
      duty(runtime, 'machine list', signal, restartMs, (s) => this.listMachines(s)),
      duty(runtime, 'prices', signal, restartMs, (s) => this.refreshPrices(s)),
    ]);
  }

  // ---- recovery and the users' changes

  private async recover(signal: AbortSignal): Promise<number> {
    const { store, runtime } = this.parts;
    for (;;) {
      try {
        const jobs = await store.range(KEYS.jobs, signal);
        const runs = await store.range(KEYS.runs, signal);
        const rentals = await store.range(KEYS.rentals, signal);
        await this.zoneDelegates.look(signal);
        await this.parts.membership.look(signal);
        this.jobs.clear();
        for (const e of jobs.items) this.onJobEntry(e);
        this.restoreRuns(runs.items);
        for (const e of rentals.items) {
          this.rentals.restore(e.key.slice(KEYS.rentals.length), e.value);
        }
        this.reconciler.recovered(this.jobs.size > 0);
        this.ready = true;
        for (const job of this.jobs.values()) this.ledger.flush(job);
        runtime.log.info({ jobs: this.jobs.size, runs: runs.items.length }, 'recovered');
        return jobs.revision;
      } catch (error) {
        signal.throwIfAborted();
        runtime.log.debug({ error: String(error) }, 'recovery repeated');
        await runtime.clock.sleep(this.retryMs, signal);
      }
    }
  }

  private restoreRuns(entries: Entry[]): void {
    const { runtime, store } = this.parts;
    const perRange = tasksPerRange(store.limits.smallest().valueBytes);
    const { runs, unreadable } = readRuns(entries, (id) => this.jobs.get(id) ?? null);
    for (const { key, job } of unreadable) {
      // What cannot be read may still run: the job is left alone rather than started again.
      runtime.log.error({ key }, 'unreadable run record, left as occupied');
      if (job) job.blind = true;
    }
    for (const [job, stored] of runs) this.restoreJob(job, stored, perRange);
  }

  private restoreJob(job: Job, stored: StoredRuns, perRange: number): void {
    const { clock } = this.parts.runtime;
    for (const p of job.restore(stored, perRange, clock.now(), clock.wall())) {
      this.fleet.add(p, clock.now());
      if (job.phase !== 'open') p.stop = { graceMs: 0 };
    }
  }

  private async followJobs(from: number, signal: AbortSignal): Promise<void> {
    const { store, runtime } = this.parts;
    let revision = from;
    while (!signal.aborted) {
      try {
        const news = await store.watch(KEYS.jobs, revision, 10_000, signal);
        revision = news.revision;
        for (const event of news.events) if (!('gone' in event)) this.onJobEntry(event);
      } catch (error) {
        if (signal.aborted) return;
        if (error instanceof HistoryLost) {
          const all = await store.range(KEYS.jobs, signal);
          for (const e of all.items) this.onJobEntry(e);
          revision = all.revision;
        } else await runtime.clock.sleep(this.retryMs, signal);
      }
    }
  }

  private onJobEntry(e: Entry): void {
    const record = parseJob(e.value);
    if (!record) {
      this.parts.runtime.log.error({ key: e.key }, 'unreadable job record');
      return;
    }
    this.onJobRecord(jobOfKey(e.key), e.version, record);
  }

  private onJobRecord(id: string, version: number, record: JobRecord): void {
    const known = this.jobs.get(id);
    if (!known) {
      if (!record.spec || record.at === undefined) return;
      const job = new Job(
        id,
        record.spec,
        record.at,
        version,
        tasksPerRecord(this.parts.settings.state.valueBytes),
      );
      job.phase = record.phase;
      this.jobs.set(id, job);
      // Before the run records are read a cancelled job looks as if nothing of it could run.
      if (this.ready) this.ledger.flush(job);
      this.touch();
      return;
    }
    if (version <= known.version) return;
    known.version = version;
    known.phase = record.phase;
    known.phaseStored = true;
    if (record.phase !== 'open') this.stopAll(known, 0);
    this.ledger.flush(known);
    this.touch();
  }

  /** A user's node has just cancelled this job; the store's own news of it may take longer. */
  hint(id: string): void {
    const job = this.jobs.get(id);
    if (job && job.phase === 'open') this.stopAll(job, 0);
  }

  counts(id: string): Counts | null {
    const job = this.jobs.get(id);
    return job ? { done: job.doneCount, running: job.running } : null;
  }

  allCounts(): (Counts & { id: string })[] {
    const list: (Counts & { id: string })[] = [];
    for (const job of this.jobs.values()) {
      if (job.phase === 'open')
        list.push({ id: job.id, done: job.doneCount, running: job.running });
    }
    return list;
  }

  // ---- reports

  report(r: Report): Order[] | Promise<Order[]> {
    const type = this.types.get(r.type) ?? null;
    const m = this.fleet.machines.get(r.machine);
    const before = m ? Number(m.confirmed) + (m.noticeAt === null ? 0 : 2) : -1;
    const fresh = this.ready && (m?.newer(r.session, r.seq) ?? true);
    if (fresh) this.longPoll.supersede(r.machine);
    const orders = this.fleet.report(r, type, this.now, this.ready);
    this.heardAt = this.now;
    const after = this.fleet.machines.get(r.machine)!;
    if (Number(after.confirmed) + (after.noticeAt === null ? 0 : 2) !== before) this.touch();
    // On others' votes alone running work is kept, but nothing is begun.
    if (!this.term.leased(this.now)) return orders.filter((o) => o.op !== 'start');
    const holdMs = orders.length === 0 && fresh ? this.holdMs(after) : 0;
    return holdMs === 0 ? orders : this.laterOrders(after, holdMs);
  }

  /** How long an answer without orders is kept back for what may come up. */
  private holdMs(m: Machine): number {
    if (m.quiet) return this.longestHoldMs;
    // Ends on it are news that must not wait long behind the answer.
    return m.expectsStart ? this.longestHoldMs / 5 : 0;
  }

  private async laterOrders(m: Machine, holdMs: number): Promise<Order[]> {
    const newest = await this.longPoll.wait(m.id, holdMs);
    if (!newest || !this.term.leased(this.now)) return [];
    return this.fleet.machines.get(m.id) === m ? this.fleet.pending(m) : [];
  }

  private get longestHoldMs(): number {
    return Math.min(this.parts.settings.workers.reportMs * HOLD_SHARE, MOST_HOLD_MS);
  }

  private onRunning(p: Placement): void {
    p.runningSince = this.now;
    const { job } = p;
    job.failures = 0;
    if (job.gang && job.gang.phase === 'placed') {
      let ready = job.doneCount;
      for (const other of job.live.values()) {
        if (other.state === 'running' && !job.isDone(other.task)) ready++;
      }
      if (ready >= job.spec.tasks) {
        job.gang.phase = 'started';
        job.gang.holdsGate = false;
        job.gang.suspensions = 0;
        job.touch(0);
        this.ledger.flush(job);
        this.touch();
      }
    }
  }

  private onExited(p: Placement, why: ExitWhy, saved: boolean): void {
    const { job } = p;
    job.live.delete(p.task);
    job.exited.push(p);
    job.touch(p.task);
    if (why === 'done') {
      // The tasks of a gang complete together.
      if (job.gang) for (let t = 0; t < job.spec.tasks; t++) job.markDone(t);
      else job.markDone(p.task);
    } else if (why === 'error' || why === 'no_room' || why === 'unknown' || why === 'busy') {
      this.onFailure(p, why);
    }
    this.parts.runtime.log.debug(
      { task: `${job.id}/${p.task}`, attempt: p.attempt, machine: p.machine, why, saved },
      'task ended',
    );
    this.afterEnd(job);
  }

  private onFailure(p: Placement, why: ExitWhy): void {
    const { job } = p;
    job.failures++;
    const pause = this.parts.settings.workers.reportMs * 2 ** Math.min(job.failures, 5);
    job.retryAt = Math.max(job.retryAt, this.now + pause);
    if (why !== 'error') return;
    const m = this.fleet.machines.get(p.machine);
    // One job that fails everywhere must not give every machine a bad name: it counts once each.
    m?.failedJobs.add(job.id);
    job.failedOn.add(p.machine);
    if (job.failedOn.size > 3) job.failedOn.clear();
  }

  private onLost(p: Placement): void {
    const { job } = p;
    job.live.delete(p.task);
    job.touch(p.task);
    this.parts.runtime.log.debug(
      { task: `${job.id}/${p.task}`, attempt: p.attempt, machine: p.machine },
      'task gone',
    );
    this.afterEnd(job);
  }

  private afterEnd(job: Job): void {
    if (job.phase === 'open' && job.complete) {
      job.phase = 'done';
      job.phaseStored = false;
    }
    if (job.gang && job.phase === 'open')
      this.gate.broken(job, (grace) => this.stopAll(job, grace));
    this.ledger.flushEnds(job);
    this.touch();
  }

  flush(job: Job): void {
    this.ledger.flush(job);
  }

  /** Stops every task of a job; what was never sent is taken back at once. */
  stopAll(job: Job, graceMs: number): void {
    for (const p of [...job.live.values()]) this.stop(p, graceMs);
  }

  stop(p: Placement, graceMs: number): void {
    if (p.stop && p.stop.graceMs <= graceMs) return;
    p.stop = { graceMs };
    if (p.stage === 'recording' || p.stage === 'recorded') this.fleet.withdraw(p);
    else if (!this.longPoll.release(p.machine)) this.halt(p, graceMs);
  }

  private halt(p: Placement, graceMs: number): void {
    const m = this.fleet.machines.get(p.machine);
    // A silent machine would only hold a socket; its lease is running out.
    const { reportMs } = this.parts.settings.workers;
    if (!m || p.session !== m.session || m.heardAt === null) return;
    if (this.now - m.heardAt > reportMs * 2) return;
    const { task, attempt } = p;
    this.stopCommands.add(m, { op: 'stop', job: p.job.id, task, attempt, graceMs });
  }

  // ---- cloud

  private async listMachines(signal: AbortSignal): Promise<void> {
    const { settings, runtime } = this.parts;
    while (!signal.aborted) {
      if (await this.rentals.list()) this.listedOnce = true;
      await runtime.clock.sleep(
        this.listedOnce ? settings.cloud.listLagMs : settings.cloud.listLagMs / 10,
        signal,
      );
    }
  }

  private async refreshPrices(signal: AbortSignal): Promise<void> {
    const { catalogue, runtime } = this.parts;
    while (!signal.aborted) {
      await catalogue.ask(signal).catch(() => false);
      await runtime.clock.sleep(PRICES_MS, signal);
    }
  }

  // ---- rounds of decisions

  private async rounds(signal: AbortSignal): Promise<void> {
    const { runtime, settings } = this.parts;
    const { clock } = runtime;
    const base = settings.workers.reportMs / 10;
    let wakeUp: (() => void) | null = null;
    let dueAt = clock.now();
    const subscription = this.wake.subscribe(() => wakeUp?.());
    try {
      while (!signal.aborted) {
        const startedAt = clock.now();
        // Who stood still has heard nobody, and has not read yet what came meanwhile.
        if (startedAt - dueAt > settings.workers.reportMs / 2) this.heardAt &&= startedAt;
        if (this.term.active(startedAt)) this.round();
        // The longer a round takes, or the more writes of earlier ones still wait for their share of
        // the store's rate, the longer the next one gathers work: each write then carries more.
        // But never for longer than a report interval: a controller that stood still in the middle of a
        // round took long for another reason.
        const took = clock.now() - startedAt;
        const behind = base * this.parts.store.writesWaiting;
        const most = settings.workers.reportMs;
        const pause = Math.max(base, Math.min(most, Math.max(took * 3, behind)));
        dueAt = clock.now() + pause;
        await clock.sleep(pause, signal);
        if (!this.dirty) {
          await new Promise<void>((resolve) => {
            wakeUp = resolve;
            dueAt = clock.now() + most;
            void clock.sleep(most, signal).then(resolve);
          });
          wakeUp = null;
        }
      }
    } finally {
      subscription.unsubscribe();
    }
  }

  private round(): void {
    const now = this.now;
    this.dirty = false;
    if (this.fleet.sweep(now)) void this.lookForKeepers();
    if (!this.term.leased(now)) return;
    if (this.deserted(now)) {
      this.parts.runtime.log.warn({}, 'no worker reports any more, resigning');
      this.resign();
      return;
    }
    this.drain(now);
    for (const job of this.jobs.values()) {
      if (job.gang) {
        checkTimeout(this, job, now);
      }
      if (job.phase !== 'open' && job.live.size > 0) this.stopAll(job, 0);
    }
    if (this.types.size === 0) return;
    // Before the first reports and the list are in, free machines look missing.
    const settled = now - this.term.startedAt > this.parts.settings.workers.reportMs * 3;
    const snapshot = takeSnapshot(this, now);
    const result = plan(snapshot);
    this.carryOut(result, now, settled && this.listedOnce);
    this.logRound(snapshot, result, this.now - now);
  }

  /** What the round saw and did: where a fleet stalls can be read from these lines. */
  private logRound(snapshot: Snapshot, result: Plan, tookMs: number): void {
    const waiting: Record<string, number> = {};
    for (const { spec, waiting: tasks } of snapshot.jobs) {
      if (tasks > 0) waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + tasks;
    }
    const up = snapshot.machines.filter((m) => m.up).length;
    this.parts.runtime.log.debug(
      {
        up,
        coming: snapshot.machines.length - up,
        waiting,
        started: result.starts.reduce((n, s) => n + s.on.reduce((k, o) => k + o.count, 0), 0),
        stops: result.stops.length,
        rents: result.rents,
        spare: result.spare.length,
        gate: snapshot.gateShut,
        teams: Object.fromEntries([...snapshot.teams].map(([name, t]) => [name, t.used.gpus])),
        writesWaiting: this.parts.store.writesWaiting,
        tookMs,
      },
      'round',
    );
  }

  private async lookForKeepers(): Promise<void> {
    try {
      await this.zoneDelegates.look(this.term.signal);
      this.touch();
    } catch {
      // The next round asks again.
    }
  }

  /**
   * No worker reaches us though there are some: they may reach another controller instead. Also
   * where none ever has: who is cut from the workers before its term hears nobody stop. Then it
   * takes longer, since they first have to find the new leader.
   */
  private deserted(now: number): boolean {
    const { workers, size } = this.parts.settings;
    if (size === 1) return false;
    const never = this.heardAt === null;
    const patienceMs = never
      ? workers.leaseMs * NEVER_HEARD_SHARE
      : workers.reportMs * (SILENT_REPORTS + 2 / Math.max(1, this.fleet.heard));
    if (now - (this.heardAt ?? this.term.startedAt) < patienceMs) return false;
    for (const m of this.fleet.machines.values()) {
      if (m.returning || m.listedState === 'failed') continue;
      if (never && m.placements.size > 0) return true;
      if ((never || m.heardAt !== null) && m.listedState === 'running') return true;
    }
    return false;
  }

  /** Work leaves a machine that the cloud takes back or that has proven faulty. */
  private drain(now: number): void {
    for (const m of this.fleet.machines.values()) {
      if (m.stillborn(now)) this.reconciler.giveBack(m);
      if (m.noticeAt === null && !m.faulty) continue;
      for (const p of m.placements.values()) {
        if (p.stop || p.job.phase !== 'open') continue;
        const grace = this.graceFor(p.job);
        if (p.job.gang) this.stopAll(p.job, grace);
        else this.stop(p, grace);
      }
      if (m.faulty && m.placements.size === 0) this.reconciler.giveBack(m);
    }
  }

  graceFor(job: Job): number {
    const { spec } = job;
    return spec.checkpointMs > 0 ? spec.saveMs + this.parts.settings.workers.gangPeerMs : 0;
  }

  /**
   * What makes way for others saves first only if it would lose much: a machine that saves does no
   * more work than one that does a little of it again, and whoever waits for it waits longer.
   */
  private graceToMakeWay(job: Job): number {
    const { checkpointMs, saveMs } = job.spec;
    return checkpointMs <= saveMs * LITTLE_LOSS_SAVES ? 0 : this.graceFor(job);
  }

  private carryOut(result: Plan, now: number, mayRent: boolean): void {
    const touched = new Set<Job>();
    for (const start of result.starts) {
      const job = this.jobs.get(start.job)!;
      this.place(job, start.on, now);
      touched.add(job);
    }
    if (result.admit !== null) {
      const job = this.jobs.get(result.admit)!;
      this.gate.admit(job, now);
      touched.add(job);
    }
    for (const { job, task } of result.stops) {
      const p = this.jobs.get(job)?.live.get(task);
      if (p) this.stop(p, this.graceToMakeWay(p.job));
    }
    for (const job of touched) this.ledger.flush(job);
    if (!mayRent) return;
    for (const rent of result.rents) this.rentals.rent(rent);
    this.reconciler.giveBackSurplus(result.spare, now);
  }

  private place(job: Job, on: { machine: string; count: number }[], now: number): void {
    const total = on.reduce((n, o) => n + o.count, 0);
    const tasks = job.waitingTasks(total);
    job.attempt++;
    let next = 0;
    for (const { machine, count } of on) {
      const m = this.fleet.machines.get(machine)!;
      for (let i = 0; i < count; i++) {
        const task = tasks[next++]!;
        const p: Placement = {
          job,
          task,
          attempt: job.attempt,
          machine,
          session: m.session,
          zone: m.zone,
          stage: 'recording',
          state: null,
          placedAt: now,
          runningSince: null,
          stop: null,
        };
        job.live.set(task, p);
        this.fleet.add(p, now);
        job.touch(task);
      }
    }
    const { clock, log } = this.parts.runtime;
    log.debug(
      {
        job: job.id,
        class: job.spec.jobClass,
        attempt: job.attempt,
        waitedMs: Math.round(clock.wall() - job.submittedAt),
        on,
      },
      'placed',
    );
    if (job.gang) this.gate.placed(job, now);
  }
}
