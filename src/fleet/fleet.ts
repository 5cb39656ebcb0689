import type { Placement } from '../jobs/tracked-job.js';
import { MAX_CLOCK_DRIFT } from '@leverhatch/core/clock';
import type {
  ExitReason,
  WorkerCommand,
  WorkerHeartbeat,
  TaskStatus,
} from '../wire/worker-heartbeat.js';
import { dropOldest } from '../runtime/drop-oldest.js';
import { BootTimes } from './boot-times.js';
import { Machine, startKey, taskKey } from './machine.js';
import type { MachineType } from './resources.js';

/** So many machines that went back are remembered, at some 100 bytes each. */
const MAX_RELEASED_REMEMBERED = 5000;

/** What reports prove about starts. */
export interface FleetEvents {
  running(placement: Placement): void;
  exited(placement: Placement, exitReason: ExitReason, checkpointed: boolean): void;
  /** Proven gone without having reported an end. */
  lost(placement: Placement): void;
}

/** Who else may have answered a zone's workers, and when that was last looked up. */
export interface ZoneDelegateExpiries {
  expiryOf(zone: string): number;
  readonly confirmedAsOf: number;
}

/** A machine that was not heard for this part of a lease gets no new work. */
const SCHEDULABLE_LEASE_FRACTION = 3;

/**
 * Belief about machines, built from reports. A recorded start stays on its machine until one of
 * the proofs below: a newer report of the same session that knows our token and does not show it,
 * a later session, a confirmed return, a failed machine, or a silence longer than any lease.
 */
export class Fleet {
  readonly machines = new Map<string, Machine>();
  readonly bootTimes = new BootTimes();
  /** Machines that the cloud took back lately: copies of their reports may still come. */
  private readonly releasedIds = new Set<string>();

  constructor(
    private readonly events: FleetEvents,
    private readonly fencingToken: number,
    /** From when on no other controller could answer a worker. */
    private readonly exclusiveSince: number,
    private readonly leaseMs: number,
    private readonly zoneDelegates: ZoneDelegateExpiries,
  ) {}

  /** How many machines have been heard in this term. */
  get heard(): number {
    let count = 0;
    for (const machine of this.machines.values()) if (machine.lastHeartbeatAt !== null) count++;
    return count;
  }

  getOrCreate(id: string, now: number): Machine {
    let machine = this.machines.get(id);
    if (!machine) {
      machine = new Machine(id, now);
      // Names are never given out twice, so nothing is placed on what goes by this one.
      machine.isReleasing = this.releasedIds.has(id);
      this.machines.set(id, machine);
    }
    return machine;
  }

  /** Whether a machine may get new work: it was heard lately, among other things. */
  isSchedulable(machine: Machine, now: number): boolean {
    return machine.isSchedulable(now, this.leaseMs / SCHEDULABLE_LEASE_FRACTION);
  }

  addPlacement(placement: Placement, now: number): void {
    const machine = this.getOrCreate(placement.machine, now);
    if (machine.zone === '') machine.zone = placement.zone;
    machine.placements.set(taskKey(placement.job.id, placement.task), placement);
  }

  /**
   * Takes one report and answers what to order. `act` is false while the records are still being
   * read: then nothing is believed and nothing ordered, but the lease is kept alive.
   */
  applyHeartbeat(
    heartbeat: WorkerHeartbeat,
    type: MachineType | null,
    now: number,
    act: boolean,
  ): WorkerCommand[] {
    const machine = this.getOrCreate(heartbeat.machine, now);
    // A late copy changes nothing. It does not show that the machine is within reach: work placed on
    // one that is cut off would wait for its lease, and a lease that runs out then would look as if
    // it were deaf. Nor does its answer renew a lease beyond the one of the newest report: a lease
    // counts from when a report was sent, and that one was sent later.
    if (!machine.isNewerHeartbeat(heartbeat.agentEpoch, heartbeat.sequence)) return [];
    machine.lastHeartbeat = { agentEpoch: heartbeat.agentEpoch, sequence: heartbeat.sequence };
    machine.lastAnsweredAt = now;
    // The answer to a direct command has overtaken it; but its own answer renews the lease, and then
    // must not lack a stop.
    if (!machine.isNewer(heartbeat.agentEpoch, heartbeat.sequence))
      return heartbeat.agentEpoch === machine.agentEpoch ? this.pendingStopCommands(machine) : [];
    if (machine.lastHeartbeatAt === null || now - machine.lastHeartbeatAt > this.leaseMs / 2)
      machine.steadySince = now;
    if (machine.isBooting && machine.type)
      this.bootTimes.recordBoot(machine.type.name, machine.provisionedAt, now);
    machine.firstHeartbeatAt ??= now;
    machine.lastHeartbeatAt = now;
    const before = machine.agentEpoch;
    if (act) machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.address = heartbeat.address;
    machine.type = type ?? machine.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    machine.preemptionNoticeAt =
      heartbeat.preemptionNoticeMs === null ? null : now + heartbeat.preemptionNoticeMs;
    if (!act) return [];

    if (heartbeat.agentEpoch > before) {
      // Answered without a gap for longer than a lease, and the lease ran out all the same: the
      // reports arrive, the answers do not.
      if (before >= 0 && now - machine.steadySince > this.leaseMs * 1.1) machine.unansweredEpochs++;
      machine.steadySince = now;
      machine.unrecordedExits.clear();
      for (const placement of [...machine.placements.values()]) {
        if (placement.agentEpoch < heartbeat.agentEpoch) this.markLost(machine, placement);
      }
    }
    if (heartbeat.fencingToken >= this.fencingToken) machine.isTokenConfirmed = true;
    return this.reconcileHeartbeat(machine, heartbeat);
  }

  private reconcileHeartbeat(machine: Machine, heartbeat: WorkerHeartbeat): WorkerCommand[] {
    const stops: WorkerCommand[] = [];
    const forgets: WorkerCommand[] = [];
    const seen = new Set<string>();
    for (const status of heartbeat.tasks) {
      if (this.applyTaskStatus(machine, heartbeat, status))
        seen.add(taskKey(status.job, status.task));
      else this.addOrphanCommands(machine, status, stops, forgets);
    }
    const starts: WorkerCommand[] = [];
    for (const [key, placement] of [...machine.placements]) {
      if (placement.agentEpoch !== heartbeat.agentEpoch) continue;
      if (!seen.has(key) && placement.stage !== 'recording')
        this.handleMissing(machine, placement, heartbeat, starts);
      else if (placement.stop && placement.stage === 'reported') {
        stops.push({
          kind: 'stop',
          job: placement.job.id,
          task: placement.task,
          attempt: placement.attempt,
          graceMs: placement.stop.graceMs,
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
  applyDirectResponse(heartbeat: WorkerHeartbeat): void {
    const machine = this.machines.get(heartbeat.machine);
    if (
      !machine ||
      heartbeat.agentEpoch !== machine.agentEpoch ||
      !machine.isNewer(heartbeat.agentEpoch, heartbeat.sequence)
    )
      return;
    machine.sequence = heartbeat.sequence;
    for (const status of heartbeat.tasks) this.applyTaskStatus(machine, heartbeat, status);
  }

  /** What a report says of one task; false if it is none of the recorded starts. */
  private applyTaskStatus(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    status: TaskStatus,
  ): boolean {
    const key = taskKey(status.job, status.task);
    const placement = machine.placements.get(key);
    if (
      !placement ||
      placement.attempt !== status.attempt ||
      placement.agentEpoch !== heartbeat.agentEpoch
    )
      return false;
    if (status.state === 'exited') {
      machine.placements.delete(key);
      machine.unrecordedExits.add(startKey(status.job, status.task, status.attempt));
      machine.cancelFetch(placement.job.spec.image);
      this.events.exited(placement, status.exitReason ?? 'error', status.checkpointed);
      return true;
    }
    placement.stage = 'reported';
    const before = placement.state;
    placement.state = status.state;
    if (status.state !== before) {
      machine.noteImage(
        placement.job.spec.image,
        placement.job.spec.imageGb,
        status.state !== 'fetching',
      );
    }
    if (status.state === 'running' && before !== 'running') this.events.running(placement);
    return true;
  }

  /**
   * Orders that have come up since its newest report was taken, which still waits for its answer.
   * What that report showed is still the latest that is known.
   */
  pendingCommands(machine: Machine): WorkerCommand[] {
    const commands = this.pendingStopCommands(machine);
    for (const placement of machine.placements.values()) {
      if (
        placement.agentEpoch === machine.agentEpoch &&
        placement.stage === 'recorded' &&
        !placement.stop
      ) {
        commands.push(this.dispatch(machine, placement));
      }
    }
    return commands;
  }

  /** Stops of what the machine's newest report showed. */
  pendingStopCommands(machine: Machine): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const placement of machine.placements.values()) {
      if (
        placement.agentEpoch !== machine.agentEpoch ||
        placement.stage !== 'reported' ||
        !placement.stop
      )
        continue;
      const { task, attempt, stop } = placement;
      commands.push({ kind: 'stop', job: placement.job.id, task, attempt, graceMs: stop.graceMs });
    }
    return commands;
  }

  private dispatch(machine: Machine, placement: Placement): WorkerCommand {
    placement.stage = 'dispatched';
    machine.noteImage(placement.job.spec.image, placement.job.spec.imageGb, false);
    return {
      kind: 'start',
      job: placement.job.id,
      task: placement.task,
      attempt: placement.attempt,
    };
  }

  /** On the machine but not in our records, or an exited start that was recorded as such. */
  private addOrphanCommands(
    machine: Machine,
    status: TaskStatus,
    stops: WorkerCommand[],
    forgets: WorkerCommand[],
  ): void {
    const { job, task, attempt } = status;
    if (status.state !== 'exited') stops.push({ kind: 'stop', job, task, attempt, graceMs: 0 });
    else if (!machine.unrecordedExits.has(startKey(job, task, attempt))) {
      forgets.push({ kind: 'forget', job, task, attempt });
    }
  }

  /** A recorded start that its worker does not show. */
  private handleMissing(
    machine: Machine,
    placement: Placement,
    heartbeat: WorkerHeartbeat,
    starts: WorkerCommand[],
  ): void {
    // A report from before our time may have been held up while an earlier leader had the start
    // executed; only one that knows our token proves that it never will be. Of a start of our own
    // term the next newer report proves it, whatever token it knows: the worker had then already
    // taken or dropped the answer that carried the order.
    if (placement.stage === 'recovered' && heartbeat.fencingToken < this.fencingToken) return;
    if (placement.stage === 'reported' || placement.stop) {
      // Seen before and now gone, or never executed and no longer wanted.
      this.markLost(machine, placement);
      return;
    }
    starts.push(this.dispatch(machine, placement));
  }

  private markLost(machine: Machine, placement: Placement): void {
    machine.placements.delete(taskKey(placement.job.id, placement.task));
    machine.cancelFetch(placement.job.spec.image);
    this.events.lost(placement);
  }

  /** A start that was recorded in this term and never sent can be taken back at once. */
  withdraw(placement: Placement): void {
    const machine = this.machines.get(placement.machine);
    if (machine) this.markLost(machine, placement);
  }

  /** The end of a start is in the store: its worker may forget it. */
  acknowledgeExit(placement: Placement): void {
    this.machines
      .get(placement.machine)
      ?.unrecordedExits.delete(startKey(placement.job.id, placement.task, placement.attempt));
  }

  /** The cloud has confirmed that it took the machine back. */
  confirmReleased(id: string): void {
    this.releasedIds.add(id);
    // What comes of one that is dropped is taken for a machine that is in no list, and soon given up.
    dropOldest(this.releasedIds, MAX_RELEASED_REMEMBERED);
    this.removeMachine(id);
  }

  /** The machine no longer exists, and with it all that was on it. */
  removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    for (const placement of [...machine.placements.values()]) this.markLost(machine, placement);
    this.machines.delete(id);
  }

  /** From when on the silence of a machine proves that its worker's lease has run out. */
  leaseExpiryOf(machine: Machine): number {
    const answered = Math.max(
      machine.lastAnsweredAt ?? -Infinity,
      this.exclusiveSince,
      this.zoneDelegates.expiryOf(machine.zone),
    );
    return answered + this.leaseMs * (1 + MAX_CLOCK_DRIFT) + 50;
  }

  /**
   * Gives up what is on machines whose leases have run out. Answers true if the zone delegates have to be
   * looked up first: one that came after the last refresh may have kept a lease alive.
   */
  expireLeases(now: number): boolean {
    let unsure = false;
    for (const machine of this.machines.values()) {
      if (machine.placements.size === 0 || now <= this.leaseExpiryOf(machine)) continue;
      if (!this.isLeaseExpired(machine, now)) {
        unsure = true;
        continue;
      }
      for (const placement of [...machine.placements.values()]) this.markLost(machine, placement);
    }
    return unsure;
  }

  /**
   * The lease of a silent machine has run out for certain: its time is over, and the zone delegates
   * were looked up since, so that none of them can have answered it unknown to us.
   */
  isLeaseExpired(machine: Machine, now: number): boolean {
    const from = this.leaseExpiryOf(machine);
    return now > from && this.zoneDelegates.confirmedAsOf >= from;
  }
}
