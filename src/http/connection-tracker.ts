/** Limits the number of inbound connections. */
import type { Socket } from 'node:net';

/** Regular clients do not pipeline requests: a connection with more unanswered requests is closed. */
const MAX_PIPELINED_REQUESTS = 4;

/**
 * Keeps the number of inbound connections within the machine's limit. A machine without free sockets
 * refuses new connections; after a failover these come from workers, whose leases would expire. So a
 * new connection above the limit closes the user connection that has been idle longest, and while there
 * are still too many connections, every user connection is closed after its next response.
 */
export class ConnectionTracker {
  private readonly open = new Set<Socket>();
  /** User connections without a pending request, the longest idle first. */
  private readonly idle = new Set<Socket>();
  /** The number of unanswered user requests of each connection that has any. */
  private readonly unanswered = new Map<Socket, number>();

  constructor(private readonly maxConnections: number) {}

  /** Registers a new connection; above the limit, closes the user connection idle for longest. */
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

  /** Whether there are more connections than the limit allows. */
  get isOverCapacity(): boolean {
    return this.open.size > this.maxConnections;
  }

  /** Records a user request; false if the connection was closed because it has too many of them. */
  requestStarted(socket: Socket): boolean {
    this.idle.delete(socket);
    const unanswered = (this.unanswered.get(socket) ?? 0) + 1;
    this.unanswered.set(socket, unanswered);
    if (unanswered <= MAX_PIPELINED_REQUESTS) return true;
    socket.destroy();
    return false;
  }

  /** Records that a user request was answered, or that a connection waits for its first request. */
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
