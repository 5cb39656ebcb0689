import { crc32 } from 'node:zlib';

/**
 * What controllers say to each other. A frame is a header of 12 bytes (magic, version, kind, length
 * of the payload, its CRC-32) and a payload, all numbers big-endian.
 */
export type PeerMessage =
  /** The first frame of a connection: who speaks, and how long its process has run. */
  | { kind: 'hello'; member: string; ageMs: number }
  /** The leader lives, and how far open jobs are, for display; `first`: of one or more frames. */
  | { kind: 'leaderHeartbeat'; fencingToken: number; first: boolean; progress: JobProgress[] }
  /** A user has cancelled a job; the store's own news of it may take longer. */
  | { kind: 'jobCancelled'; id: string }
  /** The leader asks not to be contested while the store serves nobody. */
  | { kind: 'leaseExtensionRequest'; requestId: number; fencingToken: number; durationMs: number }
  | { kind: 'leaseExtensionVote'; requestId: number; granted: boolean }
  /** A controller that has just started asks whether anybody leads or has pledged. */
  | { kind: 'promiseCheckRequest'; requestId: number }
  | { kind: 'promiseCheckResponse'; requestId: number; free: boolean }
  /** Whether the state service serves the speaker. */
  | { kind: 'storeStatus'; available: boolean }
  /**
   * The leader asks which jobs the receiver has told users to be cancelled within this time, and
   * whether it can be sure to have left none out.
   */
  | { kind: 'cancellationsRequest'; requestId: number; sinceMs: number }
  /** `cancelled`: all of them; null: the speaker cannot be sure. */
  | { kind: 'cancellationsResponse'; requestId: number; cancelled: string[] | null }
  /**
   * A leader whose right has lapsed asks for a pledge, and whether its term is the newest that the
   * receiver can have known or been part of.
   */
  | { kind: 'reinstatementRequest'; requestId: number; fencingToken: number; durationMs: number }
  | { kind: 'reinstatementVote'; requestId: number; granted: boolean };

export interface JobProgress {
  id: string;
  done: number;
  running: number;
}

const KINDS = [
  'hello',
  'leaderHeartbeat',
  'jobCancelled',
  'leaseExtensionRequest',
  'leaseExtensionVote',
  'promiseCheckRequest',
  'promiseCheckResponse',
  'storeStatus',
  'cancellationsRequest',
  'cancellationsResponse',
  'reinstatementRequest',
  'reinstatementVote',
] as const;
const MAGIC = 0x4c48;
/** The version of all kinds up to `store`; who knows no later one closes a connection that brings it. */
const VERSION = 3;
/** The versions of the kinds that came later, which go only to controllers known to read them. */
export const CANCELLATIONS_VERSION = 4;
export const REINSTATEMENT_VERSION = 5;
/** The versions of frames that this program understands. */
export const FRAME_VERSIONS: readonly number[] = [
  VERSION,
  CANCELLATIONS_VERSION,
  REINSTATEMENT_VERSION,
];
const FIRST_CANCELLATIONS_KIND = KINDS.indexOf('cancellationsRequest');
const FIRST_REINSTATEMENT_KIND = KINDS.indexOf('reinstatementRequest');
const HEADER_BYTES = 12;
export const MAX_PAYLOAD_BYTES = 256 * 1024;
/** How many jobs' counts fit into one frame, however long their names are. */
const MAX_JOBS_PER_HEARTBEAT = Math.floor((MAX_PAYLOAD_BYTES - 13) / (1 + 255 + 8));
/** How many jobs' names fit into one answer, however long they are. */
export const MAX_CANCELLATIONS = Math.floor((MAX_PAYLOAD_BYTES - 9) / (1 + 255));

function versionOf(kind: number): number {
  if (kind < FIRST_CANCELLATIONS_KIND) return VERSION;
  return kind < FIRST_REINSTATEMENT_KIND ? CANCELLATIONS_VERSION : REINSTATEMENT_VERSION;
}

/** A leader's heartbeat in as many frames as its jobs need. */
export function leaderHeartbeats(fencingToken: number, progress: JobProgress[]): PeerMessage[] {
  const messages: PeerMessage[] = [];
  for (let from = 0; from === 0 || from < progress.length; from += MAX_JOBS_PER_HEARTBEAT) {
    const part = progress.slice(from, from + MAX_JOBS_PER_HEARTBEAT);
    messages.push({ kind: 'leaderHeartbeat', fencingToken, first: from === 0, progress: part });
  }
  return messages;
}

class PayloadWriter {
  private readonly parts: Buffer[] = [];

  u8(count: number): this {
    this.parts.push(Buffer.from([count]));
    return this;
  }

  u32(count: number): this {
    const b = Buffer.allocUnsafe(4);
    b.writeUInt32BE(count);
    this.parts.push(b);
    return this;
  }

  u64(count: number): this {
    const b = Buffer.allocUnsafe(8);
    b.writeBigUInt64BE(BigInt(count));
    this.parts.push(b);
    return this;
  }

  text(text: string): this {
    const b = Buffer.from(text, 'utf8');
    this.u8(b.length);
    this.parts.push(b);
    return this;
  }

  done(): Buffer {
    return Buffer.concat(this.parts);
  }
}

class PayloadReader {
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

  private step(count: number): number {
    const from = this.at;
    if (from + count > this.buffer.length) throw new FrameError('payload too short');
    this.at += count;
    return from;
  }
}

/** The connection that carried it is closed; nothing else is touched. */
export class FrameError extends Error {}

export function encode(message: PeerMessage): Buffer {
  const payload = writePayload(message, new PayloadWriter()).done();
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt16BE(MAGIC, 0);
  const kind = KINDS.indexOf(message.kind);
  header.writeUInt8(versionOf(kind), 2);
  header.writeUInt8(kind, 3);
  header.writeUInt32BE(payload.length, 4);
  header.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([header, payload]);
}

function writePayload(message: PeerMessage, writer: PayloadWriter): PayloadWriter {
  switch (message.kind) {
    case 'hello':
      return writer.text(message.member).u64(message.ageMs);
    case 'leaderHeartbeat':
      writer
        .u64(message.fencingToken)
        .u8(message.first ? 1 : 0)
        .u32(message.progress.length);
      for (const c of message.progress) writer.text(c.id).u32(c.done).u32(c.running);
      return writer;
    case 'jobCancelled':
      return writer.text(message.id);
    case 'leaseExtensionRequest':
    case 'reinstatementRequest':
      return writer.u32(message.requestId).u64(message.fencingToken).u32(message.durationMs);
    case 'leaseExtensionVote':
    case 'reinstatementVote':
      return writer.u32(message.requestId).u8(message.granted ? 1 : 0);
    case 'promiseCheckRequest':
      return writer.u32(message.requestId);
    case 'promiseCheckResponse':
      return writer.u32(message.requestId).u8(message.free ? 1 : 0);
    case 'storeStatus':
      return writer.u8(message.available ? 1 : 0);
    case 'cancellationsRequest':
      return writer.u32(message.requestId).u32(message.sinceMs);
    case 'cancellationsResponse':
      writer
        .u32(message.requestId)
        .u8(message.cancelled ? 1 : 0)
        .u32(message.cancelled?.length ?? 0);
      for (const id of message.cancelled ?? []) writer.text(id);
      return writer;
  }
}

function readPayload(kind: (typeof KINDS)[number], reader: PayloadReader): PeerMessage {
  switch (kind) {
    case 'hello':
      return { kind, member: reader.text(), ageMs: reader.u64() };
    case 'leaderHeartbeat': {
      const fencingToken = reader.u64();
      const first = reader.u8() === 1;
      const counts: JobProgress[] = [];
      for (let count = reader.u32(); count > 0; count--) {
        counts.push({ id: reader.text(), done: reader.u32(), running: reader.u32() });
      }
      return { kind, fencingToken, first, progress: counts };
    }
    case 'jobCancelled':
      return { kind, id: reader.text() };
    case 'leaseExtensionRequest':
    case 'reinstatementRequest':
      return {
        kind,
        requestId: reader.u32(),
        fencingToken: reader.u64(),
        durationMs: reader.u32(),
      };
    case 'leaseExtensionVote':
    case 'reinstatementVote':
      return { kind, requestId: reader.u32(), granted: reader.u8() === 1 };
    case 'promiseCheckRequest':
      return { kind, requestId: reader.u32() };
    case 'promiseCheckResponse':
      return { kind, requestId: reader.u32(), free: reader.u8() === 1 };
    case 'storeStatus':
      return { kind, available: reader.u8() === 1 };
    case 'cancellationsRequest':
      return { kind, requestId: reader.u32(), sinceMs: reader.u32() };
    case 'cancellationsResponse': {
      const ask = reader.u32();
      const sure = reader.u8() === 1;
      const cancelled: string[] = [];
      for (let count = reader.u32(); count > 0; count--) cancelled.push(reader.text());
      return { kind, requestId: ask, cancelled: sure ? cancelled : null };
    }
  }
}

/** Cuts a stream of bytes into messages. */
export class Decoder {
  private rest: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): PeerMessage[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const messages: PeerMessage[] = [];
    while (this.rest.length >= HEADER_BYTES) {
      const version = this.rest.readUInt8(2);
      const kind = KINDS[this.rest.readUInt8(3)];
      const length = this.rest.readUInt32BE(4);
      if (this.rest.readUInt16BE(0) !== MAGIC) throw new FrameError('bad magic');
      if (!FRAME_VERSIONS.includes(version)) throw new FrameError('unknown version');
      if (!kind) throw new FrameError('unknown kind');
      if (length > MAX_PAYLOAD_BYTES) throw new FrameError('frame too large');
      if (this.rest.length < HEADER_BYTES + length) break;
      const payload = this.rest.subarray(HEADER_BYTES, HEADER_BYTES + length);
      if (crc32(payload) !== this.rest.readUInt32BE(8)) throw new FrameError('bad checksum');
      const reader = new PayloadReader(payload);
      messages.push(readPayload(kind, reader));
      reader.end();
      this.rest = this.rest.subarray(HEADER_BYTES + length);
    }
    return messages;
  }
}
