/** TCP transport for messages between controllers. */
import { connect, createServer, type Socket } from 'node:net';
import { Subject, type Observable } from 'rxjs';
import { supervise, type Runtime } from '@leverhatch/core/supervised-task';
import type { Settings } from '../settings/deploy.js';
import { Decoder, encode, type PeerMessage } from './frames.js';

/**
 * Sends messages to the other controllers and receives theirs. Times are monotonic, in milliseconds.
 */
export interface PeerTransport {
  /** Messages received from other controllers, with the sender's name. */
  readonly messages: Observable<{ from: string; message: PeerMessage }>;
  /** Sends to one controller if it is connected; otherwise the message is dropped. */
  send(to: string, message: PeerMessage): void;
  /** The names of the other controllers. */
  readonly peers: string[];
  /** When a peer's process started, by the local clock; null if the peer has never connected. */
  startedAt(peer: string): number | null;
  /**
   * When a peer last sent anything, by the local clock; the start of this process if it never did. Null
   * if the peer has closed its connection since: its process has ended, or the peer will reconnect.
   */
  lastHeardAt(peer: string): number | null;
}

/** A connection with more unsent bytes is closed: the peer reads too slowly, and memory would grow. */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** Room for a peer's connection, the one that replaces it, and one from another client. */
const CONNECTIONS_PER_PEER = 3;

/** The timeout for opening a connection, in retry intervals. */
const CONNECT_TIMEOUT_RETRIES = 4;

/**
 * Opens one connection to each other controller for outgoing messages; incoming messages arrive on the
 * connections that the peers open. All messages are hints or are requested again, so a lost connection
 * costs no more than a retry.
 */
export class TcpPeerTransport implements PeerTransport {
  readonly messages = new Subject<{ from: string; message: PeerMessage }>();
  readonly peers: string[];
  /** The open connections for outgoing messages, by peer. */
  private readonly outgoing = new Map<string, Socket>();
  /** The connection on which each peer sends; null if the peer has closed it. */
  private readonly incoming = new Map<string, Socket | null>();
  /** Caches encoded messages, since most are sent to every peer. */
  private readonly encoded = new WeakMap<PeerMessage, Buffer>();
  private readonly startTimes = new Map<string, number>();
  private readonly heardTimes = new Map<string, number>();

  constructor(
    private readonly settings: Settings,
    private readonly runtime: Runtime,
    private readonly retryMs: number,
  ) {
    this.peers = settings.peers.map((peer) => peer.member);
  }

  /** Accepts and opens connections until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      supervise(this.runtime, 'peer listener', signal, this.retryMs, (signal) =>
        this.accept(signal),
      ),
      ...this.settings.peers.map((peer) =>
        supervise(this.runtime, `peer ${peer.member}`, signal, this.retryMs, (signal) =>
          this.connectTo(peer.member, peer.address, signal),
        ),
      ),
    ]);
  }

  send(to: string, message: PeerMessage): void {
    const socket = this.outgoing.get(to);
    if (!socket) return;
    if (socket.writableLength > MAX_BUFFERED_BYTES) {
      socket.destroy();
      return;
    }
    socket.write(this.encodeOnce(message));
  }

  private encodeOnce(message: PeerMessage): Buffer {
    const cached = this.encoded.get(message);
    if (cached) return cached;
    const bytes = encode(message);
    this.encoded.set(message, bytes);
    return bytes;
  }

  startedAt(peer: string): number | null {
    return this.startTimes.get(peer) ?? null;
  }

  lastHeardAt(peer: string): number | null {
    if (this.incoming.get(peer) === null) return null;
    return this.heardTimes.get(peer) ?? this.runtime.startedAt;
  }

  private accept(signal: AbortSignal): Promise<void> {
    const [host, port] = parseAddress(this.settings.peerAddress);
    const server = createServer((socket) => this.receiveFrom(socket, signal));
    server.maxConnections = this.peers.length * CONNECTIONS_PER_PEER;
    return new Promise((resolve, reject) => {
      const stop = (): void => void server.close();
      server.once('error', (error) => {
        // After an error other than a failed `listen` the server still accepts, so abort must close it.
        if (!server.listening) signal.removeEventListener('abort', stop);
        reject(error);
      });
      server.once('close', () => {
        signal.removeEventListener('abort', stop);
        resolve();
      });
      signal.addEventListener('abort', stop, { once: true });
      server.listen(port, host);
    });
  }

  private receiveFrom(socket: Socket, signal: AbortSignal): void {
    const decoder = new Decoder();
    let from: string | null = null;
    let hasTimedOut = false;
    const destroySocket = (): void => void socket.destroy();
    signal.addEventListener('abort', destroySocket, { once: true });
    socket.on('close', () => {
      signal.removeEventListener('abort', destroySocket);
      // A peer whose connection was closed here on timeout counts as unresponsive, not as ended.
      if (from !== null && this.incoming.get(from) === socket && !hasTimedOut)
        this.incoming.set(from, null);
    });
    socket.on('error', destroySocket);
    // Every controller sends a message in each heartbeat interval, so this much silence is a failure.
    socket.setTimeout(this.settings.workers.leaseMs, () => {
      hasTimedOut = true;
      destroySocket();
    });
    socket.on('data', (chunk: Buffer) => {
      if (from !== null) this.heardTimes.set(from, this.runtime.clock.now());
      try {
        for (const message of decoder.push(chunk)) {
          if (message.kind === 'hello') {
            if (!this.peers.includes(message.member)) return destroySocket();
            from = message.member;
            this.recordHello(from, message.ageMs, socket);
          } else if (from !== null) this.messages.next({ from, message });
        }
      } catch (error) {
        this.runtime.log.warn(
          { peer: from, error: String(error) },
          'peer connection closed: invalid frame',
        );
        destroySocket();
      }
    });
  }

  private recordHello(from: string, ageMs: number, socket: Socket): void {
    const previous = this.incoming.get(from);
    // After a partition the previous connection may still be open on this side.
    if (previous !== socket) previous?.destroy();
    this.incoming.set(from, socket);
    const now = this.runtime.clock.now();
    this.heardTimes.set(from, now);
    this.startTimes.set(from, now - ageMs);
  }

  private connectTo(member: string, address: string, signal: AbortSignal): Promise<void> {
    const [host, port] = parseAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port, noDelay: true });
      const destroySocket = (): void => void socket.destroy();
      signal.addEventListener('abort', destroySocket, { once: true });
      socket.setTimeout(this.retryMs * CONNECT_TIMEOUT_RETRIES, destroySocket);
      socket.on('connect', () => {
        socket.setTimeout(0);
        const { clock, startedAt } = this.runtime;
        const ageMs = Math.max(0, Math.round(clock.now() - startedAt));
        socket.write(encode({ kind: 'hello', member: this.settings.member, ageMs }));
        this.outgoing.set(member, socket);
      });
      socket.on('error', destroySocket);
      // Peers send nothing on this connection, but unread data would prevent the 'close' event.
      socket.on('data', () => undefined);
      socket.on('close', () => {
        signal.removeEventListener('abort', destroySocket);
        if (this.outgoing.get(member) === socket) this.outgoing.delete(member);
        resolve();
      });
    });
  }
}

/** Splits an address of the settings into host and port. */
function parseAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
