import type { Socket } from 'node:net';

/** Nobody pipelines requests: a connection with more of them without an answer is closed. */
const MAX_PIPELINED_REQUESTS = 4;

/**
 * Connections from outside, kept within what the machine allows. Whoever comes last is refused by a
 * machine without free sockets, and after a failure that would be workers, whose leases run: so
 * users' connections on which nothing is asked give way, the longest idle first; and while there are
 * too many all the same, each of them is closed with its next answer.
 */
export class ConnectionTracker {
  private readonly open = new Set<Socket>();
  private readonly idle = new Set<Socket>();
  /** Users' requests without an answer, on each connection that has any. */
  private readonly unanswered = new Map<Socket, number>();

  constructor(private readonly maxConnections: number) {}

  add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.idle.delete(socket);
      this.unanswered.delete(socket);
    });
    if (!this.isOverCapacity) return;
    for (const longest of this.idle) {
      this.idle.delete(longest);
      longest.destroy();
      break;
    }
  }

  /** There are more than the machine has room for. */
  get isOverCapacity(): boolean {
    return this.open.size > this.maxConnections;
  }

  /** A user asks something on it; false if it has been closed for asking too much at once. */
  requestStarted(socket: Socket): boolean {
    this.idle.delete(socket);
    const unanswered = (this.unanswered.get(socket) ?? 0) + 1;
    this.unanswered.set(socket, unanswered);
    if (unanswered <= MAX_PIPELINED_REQUESTS) return true;
    socket.destroy();
    return false;
  }

  /** The user has an answer and keeps the connection. */
  requestEnded(socket: Socket): void {
    const left = (this.unanswered.get(socket) ?? 1) - 1;
    if (left > 0) {
      this.unanswered.set(socket, left);
      return;
    }
    this.unanswered.delete(socket);
    if (this.open.has(socket)) this.idle.add(socket);
  }

  closeAll(): void {
    for (const socket of this.open) socket.destroy();
  }
}
