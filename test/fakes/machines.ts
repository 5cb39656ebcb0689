import { FakeWorker, type FakeTask } from './worker.js';
import type { Host } from './cloud.js';
import type { MachineSeen, TaskSeen } from './rule-checker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The machines of a scenario, and what really is on them. */
export class SimulatedMachines {
  readonly workers = new Map<string, FakeWorker>();
  /** What runs on workers from the beginning, by machine. */
  readonly onWorkers = new Map<string, FakeTask[]>();

  constructor(private readonly world: SimulatedCluster) {}

  /** The machines that hold tasks of a job. */
  holding(ref: string): FakeWorker[] {
    return [...this.workers.values()].filter(
      (worker) =>
        !worker.dead && worker.pieces.some((piece) => piece.job === ref && piece.phase !== 'ended'),
    );
  }

  /** The tasks of a job that are on machines now. */
  on(ref: string): FakeTask[] {
    return [...this.workers.values()]
      .filter((worker) => !worker.dead)
      .flatMap((worker) => worker.pieces)
      .filter((piece) => piece.job === ref && piece.phase !== 'ended');
  }

  running(ref: string): number {
    return this.on(ref).filter((piece) => piece.phase === 'running').length;
  }

  kill(id: string): void {
    const worker = this.workers.get(id);
    if (worker) worker.dead = true;
  }

  /** Machines that are up get their workers. */
  async bootWorkers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const host of this.world.cloud.hosts.values()) {
        if (this.workers.has(host.ref) || this.world.clock.now() < host.upAt) continue;
        const worker = this.worker(host);
        worker.pieces.push(...(this.onWorkers.get(host.ref) ?? []));
        this.workers.set(host.ref, worker);
        void worker.run(signal);
      }
      await this.world.clock.sleep(500, signal);
    }
  }

  private worker(host: Host): FakeWorker {
    const { vcpus, gpus, memoryGb } = this.world.cloud.hulls.find(
      (hull) => hull.sku === host.hull,
    )!;
    return new FakeWorker(
      {
        id: host.ref,
        hull: host.hull,
        yard: host.yard,
        driftwood: host.driftwood,
        room: { vcpus, gpus, memoryGb },
        leaseMs: this.world.shape.workers.leaseMs,
        reportMs: this.world.shape.workers.heartbeatIntervalMs,
        nodes: this.world.nodes.map((node) => node.name),
      },
      this.world.clock,
      {
        facts: (job) => this.world.facts.get(job) ?? null,
        assembled: (job, attempt) => this.assembled(job, attempt),
        onMachine: (worker, piece) => this.world.onMachine(worker, piece),
        onHalted: (worker, piece) => this.world.onHalted(worker, piece),
        onDone: (piece) => {
          this.world.checker.completed(piece.job, piece.task);
          this.world.onDone(piece);
        },
        call: (node, report) => {
          this.world.faults.copyReport(node, report);
          return this.world.deliver(node, report);
        },
      },
    );
  }

  private assembled(job: string, attempt: number): boolean {
    const here = this.on(job).filter(
      (piece) => piece.attempt === attempt && piece.phase !== 'fetching',
    );
    return here.length === this.world.facts.get(job)!.pieces;
  }

  seen(): MachineSeen[] {
    return [...this.workers.values()].filter((worker) => !worker.dead).map(seenOn);
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
