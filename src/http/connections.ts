import type { Socket } from 'node:net';

/**
 * Connections from outside, kept within what the machine allows. Whoever comes last is refused by a
 * machine without free sockets, and after a failure that would be workers, whose leases run: so
 * users' connections on which nothing is asked give way, the longest idle first.
 */
export class Connections {
  private readonly open = new Set<Socket>();
  private readonly idle = new Set<Socket>();

  constructor(private readonly most: number) {}

  add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.idle.delete(socket);
    });
    if (this.open.size <= this.most) return;
    for (const longest of this.idle) {
      this.idle.delete(longest);
      longest.destroy();
      break;
    }
  }

  /** A user asks something on it. */
  busy(socket: Socket): void {
    this.idle.delete(socket);
  }

  /** The user has the answer and keeps the connection. */
  rests(socket: Socket): void {
    if (this.open.has(socket)) this.idle.add(socket);
  }

  closeAll(): void {
    for (const socket of this.open) socket.destroy();
  }
}
