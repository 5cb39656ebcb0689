import { NoAnswer, type Transport } from '../http/client.js';
import type { Term } from '../election/term.js';
import type { Runtime } from '@leverhatch/core/duty';
import { DIRECT_PATH, directBody, parseReport, type Order, type Report } from '../wire/report.js';
import type { Machine } from './machine.js';

/** Reaches the worker at an address. */
export type Callers = (address: string) => Transport;

/**
 * Stops that go straight to workers instead of waiting for their next reports. Only stops do: such a
 * command may be carried out minutes late, and a stop is meant for ever while a start is not. What
 * is lost on the way is repeated in the answers to reports.
 */
export class StopCommands {
  private readonly waiting = new Map<Machine, Order[]>();
  /** Requests without an answer. */
  private underWay = 0;

  constructor(
    private readonly callers: Callers,
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly timeoutMs: number,
    /** So many requests may be under way; a stop beyond them goes with the answer to a report. */
    private readonly most: number,
    private readonly answered: (report: Report) => void,
  ) {}

  /** Stops that are decided together reach a machine in one request. */
  add(m: Machine, order: Order): void {
    const orders = this.waiting.get(m);
    if (orders) orders.push(order);
    else {
      if (this.waiting.size === 0) queueMicrotask(() => this.sendAll());
      this.waiting.set(m, [order]);
    }
  }

  private sendAll(): void {
    const all = [...this.waiting];
    this.waiting.clear();
    for (const [m, orders] of all) {
      void this.send(m, orders).catch((error: unknown) => {
        if (!(error instanceof NoAnswer)) throw error;
        this.runtime.log.debug({ machine: m.id, error: error.message }, 'stop not delivered');
      });
    }
  }

  private async send(m: Machine, orders: Order[]): Promise<void> {
    if (m.address === null || !this.term.leased(this.runtime.clock.now())) return;
    if (this.underWay >= this.most) return;
    this.underWay++;
    const reply = await this.callers(m.address)
      .request('POST', DIRECT_PATH, directBody(this.term.token, m.session, orders), this.timeoutMs)
      .finally(() => this.underWay--);
    const report = reply.status === 200 ? parseReport(reply.body) : null;
    if (report && this.term.leased(this.runtime.clock.now())) this.answered(report);
  }
}
