import { connect, createServer, type Socket } from 'node:net';
import { Subject, type Observable } from 'rxjs';
import { supervise, type Runtime } from '@leverhatch/core/duty';
import type { Settings } from '../settings/deploy.js';
import { Decoder, encode, type PeerMessage } from './frames.js';

export interface PeerTransport {
  /** What other controllers say, with the speaker's name. */
  readonly messages: Observable<{ from: string; message: PeerMessage }>;
  /** Sends to one controller if it is connected; nothing is kept for later. */
  send(to: string, message: PeerMessage): void;
  readonly peers: string[];
  /** When a peer's process began, by our clock; null if it has not been heard. */
  startedAt(peer: string): number | null;
  /**
   * When a peer last said anything, in milliseconds of our clock; the start of our process if it
   * never did. Null if its connection has been closed since: its process ended, or will be back.
   */
  lastHeardAt(peer: string): number | null;
}

/** A peer that takes this much less than it is sent is cut off: it would grow our memory. */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** A peer's connection, the one that replaces it, and a stranger's. */
const CONNECTIONS_PER_PEER = 3;

/**
 * One connection to each other controller, for what we say; what they say comes on theirs. All of
 * it is advice or is asked for again, so a lost connection costs a retry and nothing else.
 */
export class TcpPeerTransport implements PeerTransport {
  readonly messages = new Subject<{ from: string; message: PeerMessage }>();
  readonly peers: string[];
  private readonly out = new Map<string, Socket>();
  /** The connection on which each peer speaks; null: the peer has closed it. */
  private readonly incoming = new Map<string, Socket | null>();
  /** What a message looks like on the wire: most go to every peer. */
  private readonly encoded = new WeakMap<PeerMessage, Buffer>();
  private readonly starts = new Map<string, number>();
  private readonly lastHeard = new Map<string, number>();

  constructor(
    private readonly settings: Settings,
    private readonly runtime: Runtime,
    private readonly retryMs: number,
  ) {
    this.peers = settings.peers.map((peer) => peer.member);
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      supervise(this.runtime, 'peer listener', signal, this.retryMs, (signal) =>
        this.accept(signal),
      ),
      ...this.settings.peers.map((peer) =>
        supervise(this.runtime, `peer ${peer.member}`, signal, this.retryMs, (signal) =>
          this.speakTo(peer.member, peer.address, signal),
        ),
      ),
    ]);
  }

  send(to: string, message: PeerMessage): void {
    const socket = this.out.get(to);
    if (!socket) return;
    if (socket.writableLength > MAX_BUFFERED_BYTES) {
      socket.destroy();
      return;
    }
    let bytes = this.encoded.get(message);
    if (!bytes) this.encoded.set(message, (bytes = encode(message)));
    socket.write(bytes);
  }

  startedAt(peer: string): number | null {
    return this.starts.get(peer) ?? null;
  }

  lastHeardAt(peer: string): number | null {
    if (this.incoming.get(peer) === null) return null;
    return this.lastHeard.get(peer) ?? this.runtime.startedAt;
  }

  private accept(signal: AbortSignal): Promise<void> {
    const [host, port] = split(this.settings.peerAddress);
    const server = createServer((socket) => this.listenTo(socket, signal));
    server.maxConnections = this.peers.length * CONNECTIONS_PER_PEER;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.once('close', resolve);
      signal.addEventListener('abort', () => server.close(), { once: true });
      server.listen(port, host);
    });
  }

  private listenTo(socket: Socket, signal: AbortSignal): void {
    const decoder = new Decoder();
    let from: string | null = null;
    let silent = false;
    const end = (): void => void socket.destroy();
    signal.addEventListener('abort', end, { once: true });
    socket.on('close', () => {
      signal.removeEventListener('abort', end);
      // One that we closed for its silence has not said that it ends: it stays silent.
      if (from !== null && this.incoming.get(from) === socket && !silent)
        this.incoming.set(from, null);
    });
    socket.on('error', end);
    // Every controller says something in each report interval.
    socket.setTimeout(this.settings.workers.leaseMs, () => {
      silent = true;
      end();
    });
    socket.on('data', (chunk: Buffer) => {
      if (from !== null) this.lastHeard.set(from, this.runtime.clock.now());
      try {
        for (const message of decoder.push(chunk)) {
          if (message.kind === 'hello') {
            if (!this.peers.includes(message.member)) return end();
            from = message.member;
            this.replaceIncoming(from, socket);
            this.lastHeard.set(from, this.runtime.clock.now());
            this.starts.set(from, this.runtime.clock.now() - message.ageMs);
          } else if (from !== null) this.messages.next({ from, message });
        }
      } catch (error) {
        this.runtime.log.warn({ from, error: String(error) }, 'broken frame, connection closed');
        end();
      }
    });
  }

  /** Behind a cut the connection before may stay open on our side. */
  private replaceIncoming(from: string, socket: Socket): void {
    const before = this.incoming.get(from);
    if (before !== socket) before?.destroy();
    this.incoming.set(from, socket);
  }

  private speakTo(member: string, address: string, signal: AbortSignal): Promise<void> {
    const [host, port] = split(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port, noDelay: true });
      const end = (): void => void socket.destroy();
      signal.addEventListener('abort', end, { once: true });
      socket.setTimeout(this.retryMs * 4, end);
      socket.on('connect', () => {
        socket.setTimeout(0);
        const { clock, startedAt } = this.runtime;
        const ageMs = Math.max(0, Math.round(clock.now() - startedAt));
        socket.write(encode({ kind: 'hello', member: this.settings.member, ageMs }));
        this.out.set(member, socket);
      });
      socket.on('error', end);
      socket.on('data', () => undefined);
      socket.on('close', () => {
        signal.removeEventListener('abort', end);
        if (this.out.get(member) === socket) this.out.delete(member);
        resolve();
      });
    });
  }
}

function split(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
