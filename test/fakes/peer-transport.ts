import { Subject } from 'rxjs';
import { Decoder, encode, type Message } from '../../src/peer/frames.js';
import type { PeerTransport } from '../../src/peer/peer-transport.js';
import type { FakeClock } from './clock.js';

/** The version of frames that production read before the current ones. */
const PREVIOUS_VERSION = 3;

/** The wire between controllers: real frames, with a delay, and cuts. */
export class FakeWire {
  private readonly ends = new Map<string, Subject<{ from: string; message: Message }>>();
  readonly cut = new Set<string>();
  /** Whether a message gets lost between two that are not cut off; none does unless a story says so. */
  loses: (from: string, to: string, message: Message) => boolean = () => false;
  /** How long a message takes, in milliseconds. */
  delayMs: (from: string, to: string) => number = () => 2;
  /** Resolves when a controller that stands still goes on; what is sent to it waits until then. */
  thaw: (name: string) => Promise<void> = () => Promise.resolve();
  private readonly starts = new Map<string, number>();
  /** Controllers of the version before, which close a connection that brings a later frame. */
  readonly previousVersion = new Set<string>();
  readonly unreadable: Message[] = [];

  constructor(
    private readonly clock: FakeClock,
    /** Whether two controllers are in zones that cannot reach each other now. */
    private readonly separated: (from: string, to: string) => boolean = () => false,
  ) {}

  attach(name: string, all: string[]): PeerTransport {
    const heard = new Subject<{ from: string; message: Message }>();
    this.ends.set(name, heard);
    this.starts.set(name, this.clock.now());
    return {
      startedAt: (peer) => this.starts.get(peer) ?? null,
      heard,
      peers: all.filter((n) => n !== name),
      send: (to, message) => {
        const bytes = encode(message);
        const from = this.ends.get(name);
        void this.clock.sleep(this.delayMs(name, to)).then(async () => {
          await this.thaw(to);
          // A message from an earlier life of the process does not come from this one.
          if (from !== heard || this.cut.has(name) || this.cut.has(to)) return;
          if (this.separated(name, to) || this.loses(name, to, message)) return;
          if (this.previousVersion.has(to) && bytes.readUInt8(2) > PREVIOUS_VERSION) {
            this.unreadable.push(message);
            return;
          }
          for (const m of new Decoder().push(bytes)) {
            this.ends.get(to)?.next({ from: name, message: m });
          }
        });
      },
    };
  }

  detach(name: string): void {
    this.ends.delete(name);
  }
}
