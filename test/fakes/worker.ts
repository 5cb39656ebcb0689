import type { Clock } from '@leverhatch/core/clock';
import { cancellableSleep } from './clock.js';

export interface FakeTask {
  job: string;
  task: number;
  attempt: number;
  phase: 'fetching' | 'gathering' | 'running' | 'flushing' | 'ended';
  cause: string | null;
  /** When its phase began. */
  since: number;
  /** Whether its progress has been saved. */
  stored?: boolean;
}

export interface JobBehavior {
  shape: string;
  pieces: number;
  runMs: number;
  fetchMs: number;
  saveMs: number;
  vcpus: number;
  gpus: number;
  memoryGb: number;
  /** The job is broken: its tasks fail on every machine after running for this long. */
  failsAfterMs?: number;
}

export interface MachineCapacity {
  vcpus: number;
  gpus: number;
  memoryGb: number;
}

/** The machine and the settings of a worker. */
export interface WorkerConfig {
  id: string;
  hull: string;
  yard: string;
  driftwood: boolean;
  room: MachineCapacity;
  leaseMs: number;
  /** The heartbeat interval. */
  reportMs: number;
  nodes: string[];
  /** The address for direct commands; derived from the id by default. */
  address?: string;
}

type DirectCommand = { baton: number; shift: number; orders: Record<string, unknown>[] };

export interface WorkerHost {
  /** How the tasks of a job run; null if there is no such job. */
  facts(job: string): JobBehavior | null;
  /** Whether all tasks of an attempt have their image. */
  allHaveImages(job: string, attempt: number): boolean;
  onMachine(worker: FakeWorker, piece: FakeTask): void;
  onDone(piece: FakeTask): void;
  /** Called when a running task is told to stop. */
  onStopped?(worker: FakeWorker, piece: FakeTask): void;
  /** Sends a heartbeat; rejects if there is no connection. */
  call(node: number, report: object, worker: FakeWorker): Promise<ReportResponse>;
}

export type ReportResponse = { status: number; body: unknown };

/** The pause before a worker tries the next controller. */
const RETRY_MS = 1000;

/** How often a hung worker checks whether it can continue. */
const HUNG_POLL_MS = 100;

/** A worker, written from the protocol: one heartbeat in flight, a lease, sessions and tokens. */
export class FakeWorker {
  /** The session number. */
  shift = 1;
  /** The sequence number of its reports. */
  tick = 0;
  /** The highest fencing token seen. */
  baton = 0;
  pieces: FakeTask[] = [];
  dead = false;
  hung = false;
  /** Whether responses and direct commands to it are lost; its heartbeats arrive. */
  deaf = false;
  /** Whether its heartbeats are lost; direct commands arrive. */
  mute = false;
  warningS: number | null = null;
  /** Every task fails on this machine after running for this many milliseconds. */
  failsAfterMs = Infinity;
  /** Every heartbeat sent, for late copies. */
  readonly sent: object[] = [];
  private node = 0;
  private leaseStartedAt: number;

  /** Direct commands that arrived while it hung; they are executed when it continues. */
  private readonly deferredCommands: DirectCommand[] = [];

  constructor(
    private readonly config: WorkerConfig,
    private readonly clock: Clock,
    private readonly host: WorkerHost,
  ) {
    this.leaseStartedAt = clock.now();
  }

  get id(): string {
    return this.config.id;
  }

  get hull(): string {
    return this.config.hull;
  }

  get yard(): string {
    return this.config.yard;
  }

  get driftwood(): boolean {
    return this.config.driftwood;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.dead) {
      // The lease also expires while the machine hangs, so old tasks never resume after it.
      if (this.expired) this.nextSession();
      const startedAt = this.clock.now();
      const to = this.node;
      if (!this.hung) {
        for (const command of this.deferredCommands.splice(0)) this.direct(command);
        this.advanceTasks();
        await this.report();
      }
      const controllerChanged = this.node !== to;
      const elapsedMs = this.clock.now() - startedAt;
      const pause = controllerChanged ? RETRY_MS : Math.max(1, this.config.reportMs - elapsedMs);
      await this.clock.sleep(this.hung ? HUNG_POLL_MS : pause, signal);
    }
  }

  body(): object {
    return {
      rig: this.id,
      address: this.config.address ?? `${this.id}:9000`,
      hull: this.hull,
      yard: this.yard,
      driftwood: this.driftwood,
      shift: this.shift,
      tick: ++this.tick,
      baton: this.baton,
      warningS: this.warningS,
      pieces: this.pieces.map((piece) => ({
        piece: `${piece.job}/${piece.task}`,
        try: piece.attempt,
        phase: piece.phase,
        ...(piece.cause === null ? {} : { cause: piece.cause }),
        ...(piece.stored ? { stored: true } : {}),
      })),
    };
  }

  /** Restarts the process on the same machine: a new session without a token or tasks. */
  restart(): void {
    this.nextSession();
    this.tick = this.baton = 0;
    this.deferredCommands.length = 0;
  }

  /** Receives a direct command; null means no response. */
  direct(command: DirectCommand): { status: number; body: object } | null {
    if (this.dead || this.deaf) return null;
    if (this.hung) {
      this.deferredCommands.push(command);
      return null;
    }
    const accepted = command.baton >= this.baton && command.shift === this.shift;
    if (accepted) {
      this.baton = command.baton;
      for (const order of command.orders) this.execute(order);
    }
    return { status: accepted ? 200 : 409, body: this.body() };
  }

  private async report(): Promise<void> {
    const body = this.body();
    this.sent.push(body);
    const { shift } = this;
    const sentAt = this.clock.now();
    const timeout = cancellableSleep(this.clock, 4000);
    const response = this.mute
      ? Promise.resolve(null)
      : this.host.call(this.node, body, this).catch(() => null);
    const answer = await Promise.race([response, timeout.ended.then(() => null)]);
    timeout.cancel();
    if (this.dead || this.hung) return;
    if (answer && this.deaf) return;
    if (!answer || (answer.status !== 200 && answer.status !== 421)) {
      this.node = (this.node + 1) % this.config.nodes.length;
      return;
    }
    if (answer.status === 421) {
      const to = this.config.nodes.indexOf((answer.body as { foreman?: string }).foreman ?? '');
      this.node = to >= 0 && to !== this.node ? to : (this.node + 1) % this.config.nodes.length;
      return;
    }
    const { baton, orders } = answer.body as { baton: number; orders: Record<string, unknown>[] };
    if (shift !== this.shift || baton < this.baton) return;
    this.baton = baton;
    this.leaseStartedAt = sentAt;
    for (const order of orders) this.execute(order);
    this.advanceTasks();
  }

  private execute(order: Record<string, unknown>): void {
    const [job, task] = String(order.piece).split('/') as [string, string];
    const attempt = Number(order.try);
    const isSameTask = (piece: FakeTask): boolean =>
      piece.job === job && piece.task === Number(task);
    const held = this.pieces.find((piece) => isSameTask(piece) && piece.attempt === attempt);
    if (order.verb === 'forget') {
      this.pieces = this.pieces.filter((piece) => piece !== held || piece.phase !== 'ended');
    } else if (order.verb === 'launch' && !held) {
      const cause = this.rejectionCause(job, Number(task));
      const phase = cause === null ? 'fetching' : 'ended';
      this.pieces.push({ job, task: Number(task), attempt, phase, cause, since: this.clock.now() });
    } else if (order.verb === 'halt' && held) this.halt(held, Number(order.windDownS) * 1000);
  }

  private rejectionCause(job: string, task: number): string | null {
    const running = this.pieces.filter((piece) => piece.phase !== 'ended');
    if (running.some((piece) => piece.job === job && piece.task === task)) return 'in_use';
    const facts = this.host.facts(job);
    if (!facts) return 'unknown';
    for (const amount of ['vcpus', 'gpus', 'memoryGb'] as const) {
      const used = running.reduce(
        (sum, piece) => sum + (this.host.facts(piece.job)?.[amount] ?? 0),
        0,
      );
      if (used + facts[amount] > this.config.room[amount] + 1e-6) return 'no_room';
    }
    return null;
  }

  private halt(piece: FakeTask, windDownMs: number): void {
    if (piece.phase === 'ended') return;
    const ran = piece.phase === 'running';
    this.stopTask(piece, windDownMs);
    if (ran) this.host.onStopped?.(this, piece);
  }

  private stopTask(piece: FakeTask, windDownMs: number): void {
    const saveMs = this.host.facts(piece.job)?.saveMs ?? 0;
    const mustSave = piece.phase === 'running' || piece.phase === 'flushing';
    if (mustSave && saveMs > 0 && windDownMs >= saveMs) {
      if (piece.phase === 'running') piece.since = this.clock.now();
      piece.phase = 'flushing';
      return;
    }
    piece.phase = 'ended';
    piece.cause = 'stopped';
  }

  /** Whether the lease has expired: its tasks are dead from then on, even if it notices later. */
  get expired(): boolean {
    return this.clock.now() - this.leaseStartedAt > this.config.leaseMs;
  }

  private nextSession(): void {
    this.shift++;
    this.pieces = [];
    this.leaseStartedAt = this.clock.now();
  }

  /** Advances the phases of tasks to the current time. */
  private advanceTasks(): void {
    const now = this.clock.now();
    if (this.expired) return this.nextSession();
    for (const piece of this.pieces) {
      const facts = this.host.facts(piece.job);
      if (piece.phase === 'ended') continue;
      if (!facts) {
        piece.phase = 'ended';
        piece.cause = 'unknown';
        continue;
      }
      if (piece.phase === 'fetching' && now - piece.since >= facts.fetchMs) {
        piece.phase = facts.shape === 'gang' ? 'gathering' : 'running';
        piece.since = now;
        this.host.onMachine(this, piece);
      }
      if (piece.phase === 'gathering' && this.host.allHaveImages(piece.job, piece.attempt)) {
        piece.phase = 'running';
        piece.since = now;
      }
      const failsAfterMs = Math.min(this.failsAfterMs, facts.failsAfterMs ?? Infinity);
      if (piece.phase === 'running' && now - piece.since >= failsAfterMs) {
        piece.phase = 'ended';
        piece.cause = 'error';
      }
      if (piece.phase === 'running' && facts.runMs > 0 && now - piece.since >= facts.runMs) {
        piece.phase = 'ended';
        piece.cause = 'done';
        this.host.onDone(piece);
      }
      if (piece.phase === 'flushing' && now - piece.since >= facts.saveMs) {
        piece.phase = 'ended';
        piece.cause = 'stopped';
        piece.stored = true;
      }
    }
  }
}
