import { Subject } from 'rxjs';
import type { PeerMessage } from '../../src/peer/frames.js';
import type { PeerTransport } from '../../src/peer/peer-transport.js';
import type { FakeClock } from './clock.js';
import { CURRENT, type FrameCodec } from './program.js';

/** The version of frames that production read before the current ones. */
const PREVIOUS_VERSION = 3;

/** For how long a controller whose connection was closed is not heard. */
const RECONNECT_MS = 1000;

interface Endpoint {
  messages: Subject<{ from: string; message: PeerMessage }>;
  frames: FrameCodec;
  /** Until when nothing comes from a peer, since a frame of it could not be read. */
  closedUntil: Map<string, number>;
}

/** The wire between controllers: real frames, with a delay, and cuts. */
export class FakePeerNetwork {
  private readonly endpoints = new Map<string, Endpoint>();
  readonly cut = new Set<string>();
  /** Whether a message gets lost between two that are not cut off; none does unless a scenario says so. */
  loses: (from: string, to: string, message: PeerMessage) => boolean = () => false;
  /** How long a message takes, in milliseconds. */
  delayMs: (from: string, to: string) => number = () => 2;
  /** Resolves when a controller that stands still goes on; what is sent to it waits until then. */
  waitWhileFrozen: (name: string) => Promise<void> = () => Promise.resolve();
  /** A controller sends a frame. */
  onSend: (from: string, to: string, hex: string) => void = () => undefined;
  private readonly starts = new Map<string, number>();
  /** When each controller last heard each other one; null: the connection has been closed. */
  private readonly lastHeard = new Map<string, number | null>();
  /** Controllers of the version before, which close a connection that brings a later frame. */
  readonly previousVersion = new Set<string>();
  readonly unreadable: PeerMessage[] = [];

  constructor(
    private readonly clock: FakeClock,
    /** Whether two controllers are in zones that cannot reach each other now. */
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
          // A message from an earlier life of the process does not come from this one.
          if (sender !== endpoint || this.cut.has(name) || this.cut.has(to)) return;
          if (this.separated(name, to) || this.loses(name, to, decodeAsCurrent(bytes))) return;
          if (this.previousVersion.has(to) && bytes.readUInt8(2) > PREVIOUS_VERSION) {
            this.unreadable.push(message);
            return;
          }
          this.receive(name, to, message, bytes);
        });
      },
    };
  }

  /** What cannot be read closes the connection that brought it; another is opened a little later. */
  private receive(from: string, to: string, message: PeerMessage, bytes: Buffer): void {
    const endpoint = this.endpoints.get(to);
    const now = this.clock.now();
    if (!endpoint || now < (endpoint.closedUntil.get(from) ?? 0)) return;
    let messages: PeerMessage[];
    try {
      messages = new endpoint.frames.Decoder().push(bytes);
    } catch (error) {
      // This tree has to read what any version sends it.
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

/** A frame of any version, as this tree reads it. */
const decodeAsCurrent = (bytes: Buffer): PeerMessage =>
  new CURRENT.frames.Decoder().push(bytes)[0]!;
