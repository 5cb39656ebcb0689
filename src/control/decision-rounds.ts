import type { Job, Placement } from '../jobs/tracked-job.js';
import type { Plan, Snapshot } from '../scheduler/model.js';
import { plan } from '../scheduler/plan.js';
import { checkTimeout, gateBootMs } from './gang-gate.js';
import type { Leader } from './leader.js';
import { RoundSize } from './round-size.js';
import { takeSnapshot } from './snapshot.js';

/** Rounds of decisions: what starts, what makes way, what is rented and given back. */
export class DecisionRounds {
  private dirty = true;
  private wakeUp: (() => void) | null = null;
  /** When the round before this one began. */
  private lookedAt = -Infinity;

  private readonly size = new RoundSize(() => this.leader.lifetimeMs);

  constructor(private readonly leader: Leader) {}

  /** Something changed that the next round of decisions should see. */
  touch(): void {
    this.dirty = true;
    this.wakeUp?.();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { runtime, settings } = this.leader.parts;
    const { clock } = runtime;
    const base = settings.workers.reportMs / 10;
    let dueAt = clock.now();
    while (!signal.aborted) {
      const startedAt = clock.now();
      // Who stood still has heard nobody, and has not read yet what came meanwhile; and who turns
      // workers away hears less of them.
      const stoodStill = startedAt - dueAt > settings.workers.reportMs / 2;
      if (stoodStill || !this.leader.mayAnswer(startedAt)) this.leader.silence.excuse(startedAt);
      if (this.leader.term.active(startedAt)) this.round();
      // The longer a round takes, or the more writes of earlier ones still wait for their share of
      // the store's rate, the longer the next one collects work: each write then carries more.
      // But never for longer than a report interval: a controller that stood still in the middle of a
      // round took long for another reason.
      const took = clock.now() - startedAt;
      const behind = base * this.leader.parts.store.writesWaiting;
      const most = settings.workers.reportMs;
      const pause = Math.max(base, Math.min(most, Math.max(took * 3, behind)));
      dueAt = clock.now() + pause;
      await clock.sleep(pause, signal);
      if (!this.dirty) {
        await new Promise<void>((resolve) => {
          this.wakeUp = resolve;
          dueAt = clock.now() + most;
          void clock.sleep(most, signal).then(resolve);
        });
        this.wakeUp = null;
      }
    }
  }

  private round(): void {
    const now = this.leader.now;
    this.dirty = false;
    const rested = now - this.lookedAt > this.leader.parts.settings.workers.reportMs / 2;
    this.lookedAt = now;
    this.leader.silentMachines.observe(this.leader.fleet.machines, now);
    if (this.leader.fleet.sweep(now)) void this.refreshZoneDelegates();
    if (!this.leader.term.leased(now)) return;
    if (this.deserted(now)) {
      // Who rested may have stood still for a part of it, unnoticed: what came meanwhile is read first.
      if (rested) return this.touch();
      this.leader.parts.runtime.log.warn({}, 'no worker reports any more, resigning');
      this.leader.parts.silentTerms.resigned(!this.leader.parts.othersServed());
      this.leader.resign();
      return;
    }
    this.drain(now);
    for (const job of this.leader.jobs.values()) {
      this.leader.progress.judge(job, now);
      if (job.gang) {
        checkTimeout(this.leader, job, now);
      }
      if (job.phase !== 'open' && job.placements.size > 0) this.leader.stops.stopAll(job, 0);
    }
    if (this.leader.types.size === 0) return;
    // Before the first reports and the list are in, free machines look missing.
    const settled =
      now - this.leader.term.startedAt > this.leader.parts.settings.workers.reportMs * 3;
    const whole = takeSnapshot(this.leader, now);
    const snapshot = this.size.limit(whole);
    // Of these the round keeps its own count, which goes on while it decides.
    const used = new Map(
      [...snapshot.teams].map(([name, t]) => [name, { ...t, used: { ...t.used } }]),
    );
    const plannedAt = this.leader.now;
    const result = plan(snapshot);
    this.leader.teamLimits.observe(result.heldBack, used, now);
    // What was left out may need them.
    if (snapshot !== whole) {
      result.spare = [];
      result.clearable = [];
    }
    this.carryOut(result, now, settled && this.leader.listedOnce);
    this.leader.extensions.afterRound(result.heldBack);
    this.size.took(this.leader.now - plannedAt);
    this.logRound(snapshot, result, this.leader.now - now);
  }

  /** What the round saw and did: where a fleet stalls can be read from these lines. */
  private logRound(snapshot: Snapshot, result: Plan, tookMs: number): void {
    const waiting: Record<string, number> = {};
    for (const { spec, waiting: tasks } of snapshot.jobs) {
      if (tasks > 0) waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + tasks;
    }
    const up = snapshot.machines.filter((m) => m.up).length;
    this.leader.parts.runtime.log.debug(
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
        heldBack: Object.fromEntries(result.heldBack),
        writesWaiting: this.leader.parts.store.writesWaiting,
        tookMs,
      },
      'round',
    );
  }

  private async refreshZoneDelegates(): Promise<void> {
    try {
      await this.leader.zoneDelegates.refresh(this.leader.term.signal);
      this.leader.touch();
    } catch {
      // The next round asks again.
    }
  }

  /** No worker reaches us though there are some: they may reach another controller instead. */
  private deserted(now: number): boolean {
    const { silence, fleet, types, listedOnce: listed, parts } = this.leader;
    if (parts.settings.size === 1) return false;
    const bootMs = Math.max(0, ...[...types.values()].map((t) => t.bootMs));
    const alone = !parts.othersServed();
    const { searchMs } = parts.succession;
    return silence.isTooLong(now, fleet.machines.values(), { bootMs, listed, alone, searchMs });
  }

  /** Work leaves a machine that the cloud takes back, has proven faulty or is to go back. */
  private drain(now: number): void {
    this.leader.reconciler.giveUpDead(now);
    for (const m of this.leader.fleet.machines.values()) {
      if (m.noticeAt === null && !m.faulty && !m.draining) continue;
      for (const p of m.placements.values()) {
        if (p.stop || p.job.phase !== 'open') continue;
        const grace = this.leader.stops.graceFor(p.job);
        if (p.job.gang) this.leader.stops.stopAll(p.job, grace);
        else this.leader.stops.stop(p, grace);
      }
      if ((m.faulty || m.draining) && m.placements.size === 0) this.leader.reconciler.giveBack(m);
    }
  }

  private carryOut(result: Plan, now: number, mayRent: boolean): void {
    const touched = new Set<Job>();
    for (const start of result.starts) {
      const job = this.leader.jobs.get(start.job)!;
      // Such a job is in no snapshot; should it ever get here, its tasks still must not start.
      if (job.readyAt === null) continue;
      this.place(job, start.on, now);
      touched.add(job);
    }
    if (result.admit !== null) {
      const job = this.leader.jobs.get(result.admit)!;
      this.leader.gate.admit(job, now);
      touched.add(job);
    }
    for (const { job, task } of result.stops) {
      const p = this.leader.jobs.get(job)?.placements.get(task);
      if (p) this.leader.stops.stop(p, this.leader.stops.graceToMakeWay(p.job));
    }
    for (const job of touched) this.leader.ledger.flush(job);
    if (!mayRent) return;
    for (const rent of result.rents) this.leader.rentals.rent(rent);
    this.leader.reconciler.giveBackSurplus(result, now);
  }

  private place(job: Job, on: { machine: string; count: number }[], now: number): void {
    const total = on.reduce((n, o) => n + o.count, 0);
    const tasks = job.waitingTasks(total);
    job.attempt++;
    let next = 0;
    for (const { machine, count } of on) {
      const m = this.leader.fleet.machines.get(machine)!;
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
        job.placements.set(task, p);
        this.leader.fleet.add(p, now);
        job.touch(task);
      }
    }
    const { clock, log } = this.leader.parts.runtime;
    log.debug(
      {
        job: job.id,
        class: job.spec.jobClass,
        attempt: job.attempt,
        waitedMs: Math.round(clock.wall() - (job.readyAt ?? job.submittedAt)),
        on,
      },
      'placed',
    );
    if (job.gang) this.leader.gate.placed(job, now, gateBootMs(this.leader, job));
  }
}
