/** Bounds on the connections from outside. */
import type { Socket } from 'node:net';

/** Clients do not pipeline requests: a connection with more unanswered requests is closed. */
const MAX_PIPELINED_REQUESTS = 4;

/**
 * Connections from outside, kept within what the machine allows. A machine without free sockets refuses
 * new connections, and after a failover these are workers', whose leases run out. So users' idle
 * connections are closed, the longest idle first, and while there are still too many connections each
 * user's is closed after its next answer.
 */
export class ConnectionTracker {
  private readonly open = new Set<Socket>();
  /** Users' connections without a request, the longest idle first. */
  private readonly idle = new Set<Socket>();
  /** Users' unanswered requests, for each connection that has any. */
  private readonly unanswered = new Map<Socket, number>();

  constructor(private readonly maxConnections: number) {}

  /** A connection was opened. */
  add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.idle.delete(socket);
      this.unanswered.delete(socket);
    });
    if (!this.isOverCapacity) return;
    const [longestIdle] = this.idle;
    if (longestIdle === undefined) return;
    this.idle.delete(longestIdle);
    longestIdle.destroy();
  }

  /** There are more connections than the machine has room for. */
  get isOverCapacity(): boolean {
    return this.open.size > this.maxConnections;
  }

  /** A user's request arrived; false if its connection is closed for too many of them at once. */
  requestStarted(socket: Socket): boolean {
    this.idle.delete(socket);
    const unanswered = (this.unanswered.get(socket) ?? 0) + 1;
    this.unanswered.set(socket, unanswered);
    if (unanswered <= MAX_PIPELINED_REQUESTS) return true;
    socket.destroy();
    return false;
  }

  /** A user's request was answered, and its connection stays open. */
  requestEnded(socket: Socket): void {
    const remaining = (this.unanswered.get(socket) ?? 1) - 1;
    if (remaining > 0) {
      this.unanswered.set(socket, remaining);
      return;
    }
    this.unanswered.delete(socket);
    if (this.open.has(socket)) this.idle.add(socket);
  }

  /** Closes all connections. */
  closeAll(): void {
    for (const socket of this.open) socket.destroy();
  }
}
