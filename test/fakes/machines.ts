import { FakeWorker, type FakeTask } from './worker.js';
import type { Host } from './cloud.js';
import type { ObservedMachine, ObservedTask } from './rule-checker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The machines of a scenario, and the tasks that are actually on them. */
export class SimulatedMachines {
  readonly workers = new Map<string, FakeWorker>();
  /** Tasks that workers already have when they start, by machine. */
  readonly initialTasks = new Map<string, FakeTask[]>();

  constructor(private readonly cluster: SimulatedCluster) {}

  /** The live machines with unfinished tasks of a job. */
  machinesWith(ref: string): FakeWorker[] {
    return [...this.workers.values()].filter(
      (worker) =>
        !worker.dead && worker.pieces.some((piece) => piece.job === ref && piece.phase !== 'ended'),
    );
  }

  /** The unfinished tasks of a job on live machines. */
  tasksOf(ref: string): FakeTask[] {
    return [...this.workers.values()]
      .filter((worker) => !worker.dead)
      .flatMap((worker) => worker.pieces)
      .filter((piece) => piece.job === ref && piece.phase !== 'ended');
  }

  running(ref: string): number {
    return this.tasksOf(ref).filter((piece) => piece.phase === 'running').length;
  }

  kill(id: string): void {
    const worker = this.workers.get(id);
    if (worker) worker.dead = true;
  }

  /** Starts a worker on each machine as soon as it has booted. */
  async bootWorkers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const host of this.cluster.cloud.hosts.values()) {
        if (this.workers.has(host.ref) || this.cluster.clock.now() < host.upAt) continue;
        const worker = this.createWorker(host);
        worker.pieces.push(...(this.initialTasks.get(host.ref) ?? []));
        this.workers.set(host.ref, worker);
        void worker.run(signal);
      }
      await this.cluster.clock.sleep(500, signal);
    }
  }

  private createWorker(host: Host): FakeWorker {
    const { vcpus, gpus, memoryGb } = this.cluster.cloud.hulls.find(
      (hull) => hull.sku === host.hull,
    )!;
    return new FakeWorker(
      {
        id: host.ref,
        hull: host.hull,
        yard: host.yard,
        driftwood: host.driftwood,
        room: { vcpus, gpus, memoryGb },
        leaseMs: this.cluster.shape.workers.leaseMs,
        reportMs: this.cluster.shape.workers.heartbeatIntervalMs,
        nodes: this.cluster.nodes.map((node) => node.name),
      },
      this.cluster.clock,
      {
        facts: (job) => this.cluster.facts.get(job) ?? null,
        allHaveImages: (job, attempt) => this.allHaveImages(job, attempt),
        onMachine: (worker, piece) => this.cluster.onMachine(worker, piece),
        onStopped: (worker, piece) => this.cluster.onStopped(worker, piece),
        onDone: (piece) => {
          this.cluster.checker.completed(piece.job, piece.task);
          this.cluster.onDone(piece);
        },
        call: (node, report) => {
          this.cluster.faults.copyReport(node, report);
          return this.cluster.deliver(node, report);
        },
      },
    );
  }

  private allHaveImages(job: string, attempt: number): boolean {
    const ready = this.tasksOf(job).filter(
      (piece) => piece.attempt === attempt && piece.phase !== 'fetching',
    );
    return ready.length === this.cluster.facts.get(job)!.pieces;
  }

  /** The actual state of the live machines, or only of those with tasks. */
  observe(onlyOccupied = false): ObservedMachine[] {
    const machines: ObservedMachine[] = [];
    for (const worker of this.workers.values()) {
      if (worker.dead || (onlyOccupied && worker.pieces.length === 0)) continue;
      machines.push(observeMachine(worker));
    }
    return machines;
  }
}

/** The actual state of a machine. */
export function observeMachine(worker: FakeWorker): ObservedMachine {
  const tasks: ObservedTask[] = [];
  for (const { job, task, phase } of worker.expired ? [] : worker.pieces) {
    if (phase !== 'ended') tasks.push({ job, task, state: phase });
  }
  const { id, hull: type, yard: zone, driftwood: spot } = worker;
  const usable = !worker.hung && !worker.deaf && !worker.mute && worker.warningS === null;
  return { id, type, zone, spot, usable, tasks };
}
