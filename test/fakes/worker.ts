import type { Clock } from '@leverhatch/core/clock';

export interface FakeTask {
  job: string;
  task: number;
  attempt: number;
  phase: 'fetching' | 'gathering' | 'running' | 'flushing' | 'ended';
  cause: string | null;
  since: number;
  /** Its progress is saved. */
  stored?: boolean;
}

export interface JobFacts {
  shape: string;
  pieces: number;
  runMs: number;
  fetchMs: number;
  saveMs: number;
  vcpus: number;
  gpus: number;
  memoryGb: number;
  /** Submitted with a mistake: its tasks fail on every machine after running for so long. */
  failsAfterMs?: number;
}

export interface Room {
  vcpus: number;
  gpus: number;
  memoryGb: number;
}

/** What the worker is told to run, and where it stands. */
export interface WorkerConfig {
  id: string;
  hull: string;
  yard: string;
  driftwood: boolean;
  room: Room;
  leaseMs: number;
  /** It reports about so often. */
  reportMs: number;
  nodes: string[];
  /** Where direct commands reach it; without it as its name says. */
  address?: string;
}

type DirectCommand = { baton: number; shift: number; orders: Record<string, unknown>[] };

export interface WorkerHost {
  /** How the worker learns what to run; null: no such job. */
  facts(job: string): JobFacts | null;
  /** Whether all tasks of this attempt have their image. */
  allHaveImages(job: string, attempt: number): boolean;
  onMachine(worker: FakeWorker, piece: FakeTask): void;
  onDone(piece: FakeTask): void;
  /** A task that ran was told to stop. */
  onStopped?(worker: FakeWorker, piece: FakeTask): void;
  /** Sends a heartbeat on its way; rejects if no connection comes about. */
  call(node: number, report: object, worker: FakeWorker): Promise<ReportResponse>;
}

export type ReportResponse = { status: number; body: unknown };

/** After how long a worker tries the next controller. */
const RETRY_MS = 1000;

/** How often a machine that hangs looks whether it may go on. */
const HUNG_POLL_MS = 100;

/** A worker, written from the protocol: one report in flight, a lease, sessions and tokens. */
export class FakeWorker {
  shift = 1;
  tick = 0;
  baton = 0;
  pieces: FakeTask[] = [];
  dead = false;
  hung = false;
  /** Reports arrive; answers and direct commands do not. */
  deaf = false;
  /** Reports reach nobody; direct commands arrive. */
  mute = false;
  warningS: number | null = null;
  /** Every task fails here after running for so long, in milliseconds. */
  failsAfterMs = Infinity;
  /** Every report as it was sent, for late copies. */
  readonly sent: object[] = [];
  private node = 0;
  private leaseStartedAt: number;

  /** Direct commands that came while it hung: they are carried out when it goes on. */
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
      // The lease of a hanging machine runs out like any other's: it never resumes past it.
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

  /** Its process starts anew on the same machine: a new session that knows no token and no task. */
  restart(): void {
    this.nextSession();
    this.tick = this.baton = 0;
    this.deferredCommands.length = 0;
  }

  /** A direct command; null: no answer. */
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
    const timer = new AbortController();
    const timeout = this.clock.sleep(4000, timer.signal).then(() => null);
    const response = this.mute
      ? Promise.resolve(null)
      : this.host.call(this.node, body, this).catch(() => null);
    const answer = await Promise.race([response, timeout]);
    timer.abort();
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
    const same = (piece: FakeTask): boolean => piece.job === job && piece.task === Number(task);
    const held = this.pieces.find((piece) => same(piece) && piece.attempt === attempt);
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

  /** Its lease has run out: whatever was on it is killed at that moment, though it notices later. */
  get expired(): boolean {
    return this.clock.now() - this.leaseStartedAt > this.config.leaseMs;
  }

  private nextSession(): void {
    this.shift++;
    this.pieces = [];
    this.leaseStartedAt = this.clock.now();
  }

  /** Lets tasks go on as far as time allows. */
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
