import { NoResponseError, type Transport } from '../http/client.js';
import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/duty';
import {
  DIRECT_COMMAND_PATH,
  directCommandBody,
  parseHeartbeat,
  type WorkerCommand,
  type WorkerHeartbeat,
} from '../wire/worker-heartbeat.js';
import type { Machine } from './machine.js';

/** Reaches the worker at an address. */
export type WorkerTransports = (address: string) => Transport;

/**
 * Stops that go straight to workers instead of waiting for their next reports. Only stops do: such a
 * command may be carried out minutes late, and a stop is meant for ever while a start is not. What
 * is lost on the way is repeated in the answers to reports.
 */
export class StopCommands {
  private readonly waiting = new Map<Machine, WorkerCommand[]>();
  /** Requests without an answer. */
  private inFlight = 0;

  constructor(
    private readonly transportTo: WorkerTransports,
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly timeoutMs: number,
    /** So many requests may be under way; a stop beyond them goes with the answer to a report. */
    private readonly maxInFlight: number,
    private readonly onResponse: (heartbeat: WorkerHeartbeat) => void,
  ) {}

  /** Stops that are decided together reach a machine in one request. */
  add(machine: Machine, command: WorkerCommand): void {
    const commands = this.waiting.get(machine);
    if (commands) commands.push(command);
    else {
      if (this.waiting.size === 0) queueMicrotask(() => this.sendAll());
      this.waiting.set(machine, [command]);
    }
  }

  private sendAll(): void {
    const all = [...this.waiting];
    this.waiting.clear();
    for (const [machine, commands] of all) {
      void this.send(machine, commands).catch((error: unknown) => {
        if (!(error instanceof NoResponseError)) throw error;
        this.runtime.log.debug({ machine: machine.id, error: error.message }, 'stop not delivered');
      });
    }
  }

  private async send(machine: Machine, commands: WorkerCommand[]): Promise<void> {
    if (machine.address === null || !this.term.holdsLease(this.runtime.clock.now())) return;
    if (this.inFlight >= this.maxInFlight) return;
    this.inFlight++;
    const reply = await this.transportTo(machine.address)
      .request(
        'POST',
        DIRECT_COMMAND_PATH,
        directCommandBody(this.term.fencingToken, machine.agentEpoch, commands),
        this.timeoutMs,
      )
      .finally(() => this.inFlight--);
    const report = reply.status === 200 ? parseHeartbeat(reply.body) : null;
    if (report && this.term.holdsLease(this.runtime.clock.now())) this.onResponse(report);
  }
}
