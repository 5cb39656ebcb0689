import { FakeWorker, type Piece } from './worker.js';
import type { Host } from './cloud.js';
import type { MachineSeen, TaskSeen } from './rule-checker.js';
import type { World } from './world.js';

/** The machines of a story, and what really is on them. */
export class Machines {
  readonly workers = new Map<string, FakeWorker>();
  /** What runs on workers from the beginning, by machine. */
  readonly onWorkers = new Map<string, Piece[]>();

  constructor(private readonly world: World) {}

  /** The machines that hold tasks of a job. */
  holding(ref: string): FakeWorker[] {
    return [...this.workers.values()].filter(
      (w) => !w.dead && w.pieces.some((p) => p.job === ref && p.phase !== 'ended'),
    );
  }

  /** The tasks of a job that are on machines now. */
  on(ref: string): Piece[] {
    return [...this.workers.values()]
      .filter((w) => !w.dead)
      .flatMap((w) => w.pieces)
      .filter((p) => p.job === ref && p.phase !== 'ended');
  }

  running(ref: string): number {
    return this.on(ref).filter((p) => p.phase === 'running').length;
  }

  kill(id: string): void {
    const worker = this.workers.get(id);
    if (worker) worker.dead = true;
  }

  /** Machines that are up get their workers. */
  async bootWorkers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const h of this.world.cloud.hosts.values()) {
        if (this.workers.has(h.ref) || this.world.clock.now() < h.upAt) continue;
        const worker = this.worker(h);
        worker.pieces.push(...(this.onWorkers.get(h.ref) ?? []));
        this.workers.set(h.ref, worker);
        void worker.run(signal);
      }
      await this.world.clock.sleep(500, signal);
    }
  }

  private worker(host: Host): FakeWorker {
    const { vcpus, gpus, memoryGb } = this.world.cloud.hulls.find((h) => h.sku === host.hull)!;
    return new FakeWorker(
      {
        id: host.ref,
        hull: host.hull,
        yard: host.yard,
        driftwood: host.driftwood,
        room: { vcpus, gpus, memoryGb },
        leaseMs: this.world.shape.workers.leaseMs,
        reportMs: this.world.shape.workers.reportMs,
        nodes: this.world.nodes.map((n) => n.name),
      },
      this.world.clock,
      {
        facts: (job) => this.world.facts.get(job) ?? null,
        assembled: (job, attempt) => this.assembled(job, attempt),
        onMachine: (w, p) => this.world.onMachine(w, p),
        onHalted: (w, p) => this.world.onHalted(w, p),
        onDone: (p) => {
          this.world.checker.completed(p.job, p.task);
          this.world.onDone(p);
        },
        call: (node, report) => {
          this.world.trouble.copyReport(node, report);
          return this.world.deliver(node, report);
        },
      },
    );
  }

  private assembled(job: string, attempt: number): boolean {
    const here = this.on(job).filter((p) => p.attempt === attempt && p.phase !== 'fetching');
    return here.length === this.world.facts.get(job)!.pieces;
  }

  seen(): MachineSeen[] {
    return [...this.workers.values()].filter((w) => !w.dead).map(seenOn);
  }
}

/** What really is on a machine. */
export function seenOn(worker: FakeWorker): MachineSeen {
  const tasks: TaskSeen[] = [];
  for (const { job, task, phase } of worker.expired ? [] : worker.pieces) {
    if (phase !== 'ended') tasks.push({ job, task, state: phase });
  }
  const { id, hull: type, yard: zone, driftwood: spot } = worker;
  const usable = !worker.hung && !worker.deaf && !worker.mute && worker.warningS === null;
  return { id, type, zone, spot, usable, tasks };
}
