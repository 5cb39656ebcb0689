import type { Placement } from '../jobs/tracked-job.js';
import { DRIFT } from '@leverhatch/core/clock';
import type { ExitWhy, Order, Report, TaskReport } from '../wire/report.js';
import { dropOldest } from '../runtime/drop-oldest.js';
import { BootTimes } from './boot-times.js';
import { Machine, startKey, taskKey } from './machine.js';
import type { MachineType } from './types.js';

/** So many machines that went back are remembered, at some 100 bytes each. */
const MOST_RETURNED = 5000;

/** What reports prove about starts. */
export interface FleetEvents {
  running(placement: Placement): void;
  exited(placement: Placement, why: ExitWhy, saved: boolean): void;
  /** Proven gone without having reported an end. */
  lost(placement: Placement): void;
}

/** Who else may have answered a zone's workers, and when that was last looked up. */
export interface ZoneDelegateBounds {
  boundOf(zone: string): number;
  readonly confirmedFrom: number;
}

/** A machine that was not heard for this part of a lease gets no new work. */
const USABLE_LEASE_PARTS = 3;

/**
 * Belief about machines, built from reports. A recorded start stays on its machine until one of
 * the proofs below: a newer report of the same session that knows our token and does not show it,
 * a later session, a confirmed return, a failed machine, or a silence longer than any lease.
 */
export class Fleet {
  readonly machines = new Map<string, Machine>();
  readonly boots = new BootTimes();
  /** Machines that the cloud took back lately: copies of their reports may still come. */
  private readonly returned = new Set<string>();

  constructor(
    private readonly events: FleetEvents,
    private readonly token: number,
    /** From when on no other controller could answer a worker. */
    private readonly soleSince: number,
    private readonly leaseMs: number,
    private readonly zoneDelegates: ZoneDelegateBounds,
  ) {}

  /** How many machines have been heard in this term. */
  get heard(): number {
    let n = 0;
    for (const m of this.machines.values()) if (m.heardAt !== null) n++;
    return n;
  }

  machine(id: string, now: number): Machine {
    let m = this.machines.get(id);
    if (!m) {
      m = new Machine(id, now);
      // Names are never given out twice, so nothing is placed on what goes by this one.
      m.returning = this.returned.has(id);
      this.machines.set(id, m);
    }
    return m;
  }

  /** Whether a machine may get new work: it was heard lately, among other things. */
  isUsable(m: Machine, now: number): boolean {
    return m.usable(now, this.leaseMs / USABLE_LEASE_PARTS);
  }

  add(p: Placement, now: number): void {
    const m = this.machine(p.machine, now);
    if (m.zone === '') m.zone = p.zone;
    m.placements.set(taskKey(p.job.id, p.task), p);
  }

  /**
   * Takes one report and answers what to order. `act` is false while the records are still being
   * read: then nothing is believed and nothing ordered, but the lease is kept alive.
   */
  report(r: Report, type: MachineType | null, now: number, act: boolean): Order[] {
    const m = this.machine(r.machine, now);
    // A late copy changes nothing. It does not show that the machine is within reach: work placed on
    // one that is cut off would wait for its lease, and a lease that runs out then would look as if
    // it were deaf. Nor does its answer renew a lease beyond the one of the newest report: a lease
    // counts from when a report was sent, and that one was sent later.
    if (!m.newerReport(r.session, r.seq)) return [];
    m.lastReport = { session: r.session, seq: r.seq };
    m.answeredAt = now;
    // The answer to a direct command has overtaken it; but its own answer renews the lease, and then
    // must not lack a stop.
    if (!m.newer(r.session, r.seq)) return r.session === m.session ? this.pendingStops(m) : [];
    if (m.heardAt === null || now - m.heardAt > this.leaseMs / 2) m.steadySince = now;
    if (m.booting && m.type) this.boots.cameUp(m.type.name, m.rentedAt, now);
    m.firstHeardAt ??= now;
    m.heardAt = now;
    const before = m.session;
    if (act) m.session = r.session;
    m.seq = r.seq;
    m.address = r.address;
    m.type = type ?? m.type;
    m.zone = r.zone;
    m.spot = r.spot;
    m.noticeAt = r.noticeMs === null ? null : now + r.noticeMs;
    if (!act) return [];

    if (r.session > before) {
      // Answered without a gap for longer than a lease, and the lease ran out all the same: the
      // reports arrive, the answers do not.
      if (before >= 0 && now - m.steadySince > this.leaseMs * 1.1) m.deafSessions++;
      m.steadySince = now;
      m.unrecorded.clear();
      for (const p of [...m.placements.values()]) {
        if (p.session < r.session) this.lose(m, p);
      }
    }
    if (r.token >= this.token) m.confirmed = true;
    return this.settle(m, r);
  }

  private settle(m: Machine, r: Report): Order[] {
    const stops: Order[] = [];
    const forgets: Order[] = [];
    const seen = new Set<string>();
    for (const t of r.tasks) {
      if (this.shown(m, r, t)) seen.add(taskKey(t.job, t.task));
      else this.unexpected(m, t, stops, forgets);
    }
    const starts: Order[] = [];
    for (const [key, p] of [...m.placements]) {
      if (p.session !== r.session) continue;
      if (!seen.has(key) && p.stage !== 'recording') this.absent(m, p, r, starts);
      else if (p.stop && p.stage === 'reported') {
        stops.push({
          op: 'stop',
          job: p.job.id,
          task: p.task,
          attempt: p.attempt,
          graceMs: p.stop.graceMs,
        });
      }
    }
    return [...stops, ...forgets, ...starts];
  }

  /**
   * The report that answers a direct command. It tells of what it shows, and proves nothing gone: an
   * order that is on its way in the answer to an ordinary report may not have been carried out yet.
   * Nor does it renew the lease.
   */
  direct(r: Report): void {
    const m = this.machines.get(r.machine);
    if (!m || r.session !== m.session || !m.newer(r.session, r.seq)) return;
    m.seq = r.seq;
    for (const t of r.tasks) this.shown(m, r, t);
  }

  /** What a report says of one task; false if it is none of the recorded starts. */
  private shown(m: Machine, r: Report, t: TaskReport): boolean {
    const key = taskKey(t.job, t.task);
    const p = m.placements.get(key);
    if (!p || p.attempt !== t.attempt || p.session !== r.session) return false;
    if (t.state === 'exited') {
      m.placements.delete(key);
      m.unrecorded.add(startKey(t.job, t.task, t.attempt));
      m.dropFetch(p.job.spec.image);
      this.events.exited(p, t.why ?? 'error', t.saved);
      return true;
    }
    p.stage = 'reported';
    const before = p.state;
    p.state = t.state;
    if (t.state !== before) {
      m.useImage(p.job.spec.image, p.job.spec.imageGb, t.state !== 'fetching');
    }
    if (t.state === 'running' && before !== 'running') this.events.running(p);
    return true;
  }

  /**
   * Orders that have come up since its newest report was taken, which still waits for its answer.
   * What that report showed is still the latest that is known.
   */
  pending(m: Machine): Order[] {
    const orders = this.pendingStops(m);
    for (const p of m.placements.values()) {
      if (p.session === m.session && p.stage === 'recorded' && !p.stop) {
        orders.push(this.offer(m, p));
      }
    }
    return orders;
  }

  /** Stops of what the machine's newest report showed. */
  pendingStops(m: Machine): Order[] {
    const orders: Order[] = [];
    for (const p of m.placements.values()) {
      if (p.session !== m.session || p.stage !== 'reported' || !p.stop) continue;
      const { task, attempt, stop } = p;
      orders.push({ op: 'stop', job: p.job.id, task, attempt, graceMs: stop.graceMs });
    }
    return orders;
  }

  private offer(m: Machine, p: Placement): Order {
    p.stage = 'offered';
    m.useImage(p.job.spec.image, p.job.spec.imageGb, false);
    return { op: 'start', job: p.job.id, task: p.task, attempt: p.attempt };
  }

  /** On the machine but not in our records, or an exited start that was recorded as such. */
  private unexpected(m: Machine, t: TaskReport, stops: Order[], forgets: Order[]): void {
    const { job, task, attempt } = t;
    if (t.state !== 'exited') stops.push({ op: 'stop', job, task, attempt, graceMs: 0 });
    else if (!m.unrecorded.has(startKey(job, task, attempt))) {
      forgets.push({ op: 'forget', job, task, attempt });
    }
  }

  /** A recorded start that its worker does not show. */
  private absent(m: Machine, p: Placement, r: Report, starts: Order[]): void {
    // A report from before our time may have been held up while an earlier leader had the start
    // executed; only one that knows our token proves that it never will be. Of a start of our own
    // term the next newer report proves it, whatever token it knows: the worker had then already
    // taken or dropped the answer that carried the order.
    if (p.stage === 'recovered' && r.token < this.token) return;
    if (p.stage === 'reported' || p.stop) {
      // Seen before and now gone, or never executed and no longer wanted.
      this.lose(m, p);
      return;
    }
    starts.push(this.offer(m, p));
  }

  private lose(m: Machine, p: Placement): void {
    m.placements.delete(taskKey(p.job.id, p.task));
    m.dropFetch(p.job.spec.image);
    this.events.lost(p);
  }

  /** A start that was recorded in this term and never sent can be taken back at once. */
  withdraw(p: Placement): void {
    const m = this.machines.get(p.machine);
    if (m) this.lose(m, p);
  }

  /** The end of a start is in the store: its worker may forget it. */
  recorded(p: Placement): void {
    this.machines.get(p.machine)?.unrecorded.delete(startKey(p.job.id, p.task, p.attempt));
  }

  /** The cloud has confirmed that it took the machine back. */
  returnConfirmed(id: string): void {
    this.returned.add(id);
    // What comes of one that is dropped is taken for a machine that is in no list, and soon given up.
    dropOldest(this.returned, MOST_RETURNED);
    this.gone(id);
  }

  /** The machine no longer exists, and with it all that was on it. */
  gone(id: string): void {
    const m = this.machines.get(id);
    if (!m) return;
    for (const p of [...m.placements.values()]) this.lose(m, p);
    this.machines.delete(id);
  }

  /** From when on the silence of a machine proves that its worker's lease has run out. */
  silentFrom(m: Machine): number {
    const answered = Math.max(
      m.answeredAt ?? -Infinity,
      this.soleSince,
      this.zoneDelegates.boundOf(m.zone),
    );
    return answered + this.leaseMs * (1 + DRIFT) + 50;
  }

  /**
   * Gives up what is on machines whose leases have run out. Answers true if the zone delegates have to be
   * looked up first: one that came after the last refresh may have kept a lease alive.
   */
  sweep(now: number): boolean {
    let unsure = false;
    for (const m of this.machines.values()) {
      if (m.placements.size === 0 || now <= this.silentFrom(m)) continue;
      if (!this.leaseRanOut(m, now)) {
        unsure = true;
        continue;
      }
      for (const p of [...m.placements.values()]) this.lose(m, p);
    }
    return unsure;
  }

  /**
   * The lease of a silent machine has run out for certain: its time is over, and the zone delegates
   * were looked up since, so that none of them can have answered it unknown to us.
   */
  leaseRanOut(m: Machine, now: number): boolean {
    const from = this.silentFrom(m);
    return now > from && this.zoneDelegates.confirmedFrom >= from;
  }
}
