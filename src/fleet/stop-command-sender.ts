/** Sends stop commands directly to workers. */
import { NoResponseError, type Reply, type Transport } from '../http/client.js';
import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/supervised-task';
import {
  DIRECT_COMMAND_PATH,
  directCommandBody,
  parseHeartbeat,
  type WorkerCommand,
  type WorkerHeartbeat,
} from '../wire/worker-heartbeat.js';
import type { Machine } from './machine.js';

/**
 * The most commands in one request, well within the body that a worker accepts. Further stops are sent in
 * the answers to heartbeats.
 */
const MAX_COMMANDS_PER_REQUEST = 400;

/** Returns the transport to the worker at an address. */
export type WorkerTransportFactory = (address: string) => Transport;

/**
 * Sends stop commands directly to workers instead of in the answers to their next heartbeats. Only
 * stops are sent this way: a direct command may be executed minutes late, which is harmless for a
 * stop but not for a start. Lost commands are repeated in the answers to heartbeats.
 */
export class StopCommandSender {
  private readonly queuedCommands = new Map<Machine, WorkerCommand[]>();
  /** Number of requests without a response yet. */
  private inFlight = 0;

  constructor(
    private readonly transportTo: WorkerTransportFactory,
    private readonly runtime: Runtime,
    private readonly term: Term,
    /** Time-out of one request, in milliseconds. */
    private readonly timeoutMs: number,
    /** Bound on requests in flight; stops beyond it are sent in the answers to heartbeats. */
    private readonly maxInFlight: number,
    private readonly onResponse: (heartbeat: WorkerHeartbeat) => void,
  ) {}

  /**
   * Queues a command; commands to a machine that are queued synchronously share a request. Commands for
   * which no request can be sent are not queued, since a job may have tasks on thousands of machines.
   */
  add(machine: Machine, command: WorkerCommand): void {
    const commands = this.queuedCommands.get(machine);
    if (commands) {
      if (commands.length < MAX_COMMANDS_PER_REQUEST) commands.push(command);
    } else if (this.inFlight + this.queuedCommands.size < this.maxInFlight) {
      if (this.queuedCommands.size === 0) queueMicrotask(() => this.flush());
      this.queuedCommands.set(machine, [command]);
    }
  }

  private flush(): void {
    const batches = [...this.queuedCommands];
    this.queuedCommands.clear();
    for (const [machine, commands] of batches) {
      void this.sendBatch(machine, commands).catch((error: unknown) =>
        this.logFailure(machine, error),
      );
    }
  }

  private logFailure(machine: Machine, error: unknown): void {
    const fields = { machine: machine.id, address: machine.address, error: String(error) };
    if (error instanceof NoResponseError)
      this.runtime.log.debug(fields, 'direct stop command not delivered');
    // Such as an address to which no connection can be opened.
    else this.runtime.log.warn(fields, 'direct stop command failed');
  }

  private async sendBatch(machine: Machine, commands: WorkerCommand[]): Promise<void> {
    if (machine.address === null || !this.term.holdsLease(this.runtime.clock.now())) return;
    const body = directCommandBody(this.term.fencingToken, machine.agentEpoch, commands);
    const reply = await this.request(machine.address, body);
    const heartbeat = reply.status === 200 ? parseHeartbeat(reply.body) : null;
    if (heartbeat && this.term.holdsLease(this.runtime.clock.now())) this.onResponse(heartbeat);
  }

  private async request(address: string, body: object): Promise<Reply> {
    this.inFlight++;
    try {
      const transport = this.transportTo(address);
      return await transport.request('POST', DIRECT_COMMAND_PATH, body, this.timeoutMs);
    } finally {
      this.inFlight--;
    }
  }
}
