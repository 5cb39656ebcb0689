import { crc32 } from 'node:zlib';

/**
 * What controllers say to each other. A frame is a header of 12 bytes (magic, version, kind, length
 * of the payload, its CRC-32) and a payload, all numbers big-endian.
 */
export type Message =
  /** The first frame of a connection: who speaks, and how long its process has run. */
  | { kind: 'hello'; member: string; ageMs: number }
  /** The leader lives, and how far open jobs are, for display; `first`: of one or more frames. */
  | { kind: 'heartbeat'; token: number; first: boolean; counts: JobCounts[] }
  /** A user has cancelled a job; the store's own news of it may take longer. */
  | { kind: 'cancelled'; id: string }
  /** The leader asks not to be contested while the store serves nobody. */
  | { kind: 'askPledge'; ask: number; token: number; forMs: number }
  | { kind: 'pledge'; ask: number; granted: boolean }
  /** A controller that has just started asks whether anybody leads or has pledged. */
  | { kind: 'askFree'; ask: number }
  | { kind: 'free'; ask: number; free: boolean }
  /** Whether the state service serves the speaker. */
  | { kind: 'store'; serves: boolean }
  /**
   * The leader asks which jobs the receiver has told users to be cancelled within this time, and
   * whether it can be sure to have left none out.
   */
  | { kind: 'askCancellations'; ask: number; sinceMs: number }
  /** `cancelled`: all of them; null: the speaker cannot be sure. */
  | { kind: 'cancellations'; ask: number; cancelled: string[] | null }
  /**
   * A leader whose right has lapsed asks for a pledge, and whether its term is the newest that the
   * receiver can have known or been part of.
   */
  | { kind: 'askVouch'; ask: number; token: number; forMs: number }
  | { kind: 'vouch'; ask: number; granted: boolean };

export interface JobCounts {
  id: string;
  done: number;
  running: number;
}

const KINDS = [
  'hello',
  'heartbeat',
  'cancelled',
  'askPledge',
  'pledge',
  'askFree',
  'free',
  'store',
  'askCancellations',
  'cancellations',
  'askVouch',
  'vouch',
] as const;
const MAGIC = 0x4c48;
/** The version of all kinds up to `store`; who knows no later one closes a connection that brings it. */
const VERSION = 3;
/** The versions of the kinds that came later, which go only to controllers known to read them. */
export const CANCELLATIONS_VERSION = 4;
export const VOUCHES_VERSION = 5;
/** The versions of frames that this program understands. */
export const FRAME_VERSIONS: readonly number[] = [VERSION, CANCELLATIONS_VERSION, VOUCHES_VERSION];
const FIRST_CANCELLATIONS_KIND = KINDS.indexOf('askCancellations');
const FIRST_VOUCHES_KIND = KINDS.indexOf('askVouch');
const HEADER = 12;
export const MAX_PAYLOAD = 256 * 1024;
/** How many jobs' counts fit into one frame, however long their names are. */
const MOST_COUNTS = Math.floor((MAX_PAYLOAD - 13) / (1 + 255 + 8));
/** How many jobs' names fit into one answer, however long they are. */
export const MOST_CANCELLATIONS = Math.floor((MAX_PAYLOAD - 9) / (1 + 255));

function versionOf(kind: number): number {
  if (kind < FIRST_CANCELLATIONS_KIND) return VERSION;
  return kind < FIRST_VOUCHES_KIND ? CANCELLATIONS_VERSION : VOUCHES_VERSION;
}

/** A leader's heartbeat in as many frames as its jobs need. */
export function heartbeats(token: number, counts: JobCounts[]): Message[] {
  const messages: Message[] = [];
  for (let from = 0; from === 0 || from < counts.length; from += MOST_COUNTS) {
    const part = counts.slice(from, from + MOST_COUNTS);
    messages.push({ kind: 'heartbeat', token, first: from === 0, counts: part });
  }
  return messages;
}

class Writer {
  private readonly parts: Buffer[] = [];

  u8(n: number): this {
    this.parts.push(Buffer.from([n]));
    return this;
  }

  u32(n: number): this {
    const b = Buffer.allocUnsafe(4);
    b.writeUInt32BE(n);
    this.parts.push(b);
    return this;
  }

  u64(n: number): this {
    const b = Buffer.allocUnsafe(8);
    b.writeBigUInt64BE(BigInt(n));
    this.parts.push(b);
    return this;
  }

  text(s: string): this {
    const b = Buffer.from(s, 'utf8');
    this.u8(b.length);
    this.parts.push(b);
    return this;
  }

  done(): Buffer {
    return Buffer.concat(this.parts);
  }
}

class Reader {
  private at = 0;

  constructor(private readonly buffer: Buffer) {}

  u8(): number {
    return this.buffer.readUInt8(this.step(1));
  }

  u32(): number {
    return this.buffer.readUInt32BE(this.step(4));
  }

  u64(): number {
    return Number(this.buffer.readBigUInt64BE(this.step(8)));
  }

  text(): string {
    const length = this.u8();
    const from = this.step(length);
    return this.buffer.toString('utf8', from, from + length);
  }

  end(): void {
    if (this.at !== this.buffer.length) throw new FrameError('payload too long');
  }

  private step(n: number): number {
    const from = this.at;
    if (from + n > this.buffer.length) throw new FrameError('payload too short');
    this.at += n;
    return from;
  }
}

/** The connection that carried it is closed; nothing else is touched. */
export class FrameError extends Error {}

export function encode(m: Message): Buffer {
  const payload = writePayload(m, new Writer()).done();
  const header = Buffer.allocUnsafe(HEADER);
  header.writeUInt16BE(MAGIC, 0);
  const kind = KINDS.indexOf(m.kind);
  header.writeUInt8(versionOf(kind), 2);
  header.writeUInt8(kind, 3);
  header.writeUInt32BE(payload.length, 4);
  header.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

function writePayload(m: Message, w: Writer): Writer {
  switch (m.kind) {
    case 'hello':
      return w.text(m.member).u64(m.ageMs);
    case 'heartbeat':
      w.u64(m.token)
        .u8(m.first ? 1 : 0)
        .u32(m.counts.length);
      for (const c of m.counts) w.text(c.id).u32(c.done).u32(c.running);
      return w;
    case 'cancelled':
      return w.text(m.id);
    case 'askPledge':
    case 'askVouch':
      return w.u32(m.ask).u64(m.token).u32(m.forMs);
    case 'pledge':
    case 'vouch':
      return w.u32(m.ask).u8(m.granted ? 1 : 0);
    case 'askFree':
      return w.u32(m.ask);
    case 'free':
      return w.u32(m.ask).u8(m.free ? 1 : 0);
    case 'store':
      return w.u8(m.serves ? 1 : 0);
    case 'askCancellations':
      return w.u32(m.ask).u32(m.sinceMs);
    case 'cancellations':
      w.u32(m.ask)
        .u8(m.cancelled ? 1 : 0)
        .u32(m.cancelled?.length ?? 0);
      for (const id of m.cancelled ?? []) w.text(id);
      return w;
  }
}

function readPayload(kind: (typeof KINDS)[number], r: Reader): Message {
  switch (kind) {
    case 'hello':
      return { kind, member: r.text(), ageMs: r.u64() };
    case 'heartbeat': {
      const token = r.u64();
      const first = r.u8() === 1;
      const counts: JobCounts[] = [];
      for (let n = r.u32(); n > 0; n--) {
        counts.push({ id: r.text(), done: r.u32(), running: r.u32() });
      }
      return { kind, token, first, counts };
    }
    case 'cancelled':
      return { kind, id: r.text() };
    case 'askPledge':
    case 'askVouch':
      return { kind, ask: r.u32(), token: r.u64(), forMs: r.u32() };
    case 'pledge':
    case 'vouch':
      return { kind, ask: r.u32(), granted: r.u8() === 1 };
    case 'askFree':
      return { kind, ask: r.u32() };
    case 'free':
      return { kind, ask: r.u32(), free: r.u8() === 1 };
    case 'store':
      return { kind, serves: r.u8() === 1 };
    case 'askCancellations':
      return { kind, ask: r.u32(), sinceMs: r.u32() };
    case 'cancellations': {
      const ask = r.u32();
      const sure = r.u8() === 1;
      const cancelled: string[] = [];
      for (let n = r.u32(); n > 0; n--) cancelled.push(r.text());
      return { kind, ask, cancelled: sure ? cancelled : null };
    }
  }
}

/** Cuts a stream of bytes into messages. */
export class Decoder {
  private rest: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): Message[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const messages: Message[] = [];
    while (this.rest.length >= HEADER) {
      const version = this.rest.readUInt8(2);
      const kind = KINDS[this.rest.readUInt8(3)];
      const length = this.rest.readUInt32BE(4);
      if (this.rest.readUInt16BE(0) !== MAGIC) throw new FrameError('bad magic');
      if (!FRAME_VERSIONS.includes(version)) throw new FrameError('unknown version');
      if (!kind) throw new FrameError('unknown kind');
      if (length > MAX_PAYLOAD) throw new FrameError('frame too large');
      if (this.rest.length < HEADER + length) break;
      const payload = this.rest.subarray(HEADER, HEADER + length);
      if (crc32(payload) !== this.rest.readUInt32BE(8)) throw new FrameError('bad checksum');
      const reader = new Reader(payload);
      messages.push(readPayload(kind, reader));
      reader.end();
      this.rest = this.rest.subarray(HEADER + length);
    }
    return messages;
  }
}
