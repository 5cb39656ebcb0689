import { Subject } from 'rxjs';
import type { PeerMessage } from '../../src/peer/frames.js';
import type { PeerTransport } from '../../src/peer/peer-transport.js';
import type { FakeClock } from './clock.js';
import { CURRENT, type FrameCodec } from './program.js';

/** The latest frame version that the previous production version reads. */
const PREVIOUS_VERSION = 3;

/** How long no messages arrive over a closed connection until it is opened again. */
const RECONNECT_MS = 1000;

interface Endpoint {
  messages: Subject<{ from: string; message: PeerMessage }>;
  frames: FrameCodec;
  /** Until when the connection from a peer is closed because of an unreadable frame. */
  closedUntil: Map<string, number>;
}

/** The network between controllers: encoded frames, with delays, losses and cuts. */
export class FakePeerNetwork {
  private readonly endpoints = new Map<string, Endpoint>();
  /** Controllers that are cut off from all others. */
  readonly disconnected = new Set<string>();
  /** Whether a message is lost between controllers that are not cut off; by default none is. */
  isLost: (from: string, to: string, message: PeerMessage) => boolean = () => false;
  /** The delivery delay of a message in milliseconds. */
  delayMs: (from: string, to: string) => number = () => 2;
  /** Resolves when a frozen controller continues; messages to it wait until then. */
  waitWhileFrozen: (name: string) => Promise<void> = () => Promise.resolve();
  /** Called when a controller sends a frame. */
  onSend: (from: string, to: string, hex: string) => void = () => undefined;
  private readonly starts = new Map<string, number>();
  /** When each controller last received a message from each other one; null once closed. */
  private readonly lastHeard = new Map<string, number | null>();
  /** Controllers of the previous version, which cannot read frames of a later version. */
  readonly previousVersion = new Set<string>();
  readonly unreadable: PeerMessage[] = [];

  constructor(
    private readonly clock: FakeClock,
    /** Whether two controllers are in zones that are partitioned from each other now. */
    private readonly separated: (from: string, to: string) => boolean = () => false,
  ) {}

  attach(name: string, names: string[], frames: FrameCodec = CURRENT.frames): PeerTransport {
    const endpoint: Endpoint = { messages: new Subject(), frames, closedUntil: new Map() };
    this.endpoints.set(name, endpoint);
    this.starts.set(name, this.clock.now());
    return {
      startedAt: (peer) => this.starts.get(peer) ?? null,
      lastHeardAt: (peer) => {
        const at = this.lastHeard.get(`${peer} ${name}`);
        return at === undefined ? this.starts.get(name)! : at;
      },
      messages: endpoint.messages,
      peers: names.filter((n) => n !== name),
      send: (to, message) => {
        const bytes = frames.encode(message);
        const sender = this.endpoints.get(name);
        this.onSend(name, to, bytes.toString('hex'));
        void this.clock.sleep(this.delayMs(name, to)).then(async () => {
          await this.waitWhileFrozen(to);
          // Messages that were sent before a restart of the sender are dropped.
          if (sender !== endpoint || this.disconnected.has(name) || this.disconnected.has(to))
            return;
          if (this.separated(name, to) || this.isLost(name, to, decodeAsCurrent(bytes))) return;
          if (this.previousVersion.has(to) && bytes.readUInt8(2) > PREVIOUS_VERSION) {
            this.unreadable.push(message);
            return;
          }
          this.receive(name, to, message, bytes);
        });
      },
    };
  }

  /** An unreadable frame closes its connection, which is opened again after `RECONNECT_MS`. */
  private receive(from: string, to: string, message: PeerMessage, bytes: Buffer): void {
    const endpoint = this.endpoints.get(to);
    const now = this.clock.now();
    if (!endpoint || now < (endpoint.closedUntil.get(from) ?? 0)) return;
    let messages: PeerMessage[];
    try {
      messages = new endpoint.frames.Decoder().push(bytes);
    } catch (error) {
      // The current version must read the frames of every version.
      if (endpoint.frames === CURRENT.frames) throw error;
      this.unreadable.push(message);
      endpoint.closedUntil.set(from, now + RECONNECT_MS);
      return;
    }
    if (this.endpoints.has(from)) this.lastHeard.set(`${from} ${to}`, now);
    for (const message of messages) endpoint.messages.next({ from, message });
  }

  detach(name: string): void {
    this.endpoints.delete(name);
    for (const to of this.endpoints.keys()) {
      this.lastHeard.set(`${name} ${to}`, null);
      this.lastHeard.delete(`${to} ${name}`);
    }
  }
}

/** Decodes a frame of any version with the codec of the current version. */
const decodeAsCurrent = (bytes: Buffer): PeerMessage =>
  new CURRENT.frames.Decoder().push(bytes)[0]!;
