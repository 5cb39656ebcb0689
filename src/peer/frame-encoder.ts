/** Encodes messages as frames. */
import { crc32 } from 'node:zlib';
import {
  HEADER_BYTES,
  HEADER_OFFSETS,
  KINDS,
  MAGIC,
  MAX_JOBS_PER_HEARTBEAT,
  versionOf,
} from './frame-format.js';
import type { JobProgress, PeerMessage, PeerMessageKind, PeerMessages } from './messages.js';

class PayloadWriter {
  private readonly parts: Buffer[] = [];

  flag(isSet: boolean): this {
    return this.u8(isSet ? 1 : 0);
  }

  u8(value: number): this {
    this.parts.push(Buffer.from([value]));
    return this;
  }

  u32(value: number): this {
    const bytes = Buffer.allocUnsafe(4);
    bytes.writeUInt32BE(value);
    this.parts.push(bytes);
    return this;
  }

  u64(value: number): this {
    const bytes = Buffer.allocUnsafe(8);
    bytes.writeBigUInt64BE(BigInt(value));
    this.parts.push(bytes);
    return this;
  }

  text(text: string): this {
    const bytes = Buffer.from(text, 'utf8');
    this.u8(bytes.length);
    this.parts.push(bytes);
    return this;
  }

  toBuffer(): Buffer {
    return Buffer.concat(this.parts);
  }
}

type LeaseVoteRequest = PeerMessages['leaseExtensionRequest' | 'reinstatementRequest'];
type LeaseVote = PeerMessages['leaseExtensionVote' | 'reinstatementVote'];

function writeVoteRequest(message: LeaseVoteRequest, writer: PayloadWriter): void {
  writer.u32(message.requestId).u64(message.fencingToken).u32(message.durationMs);
}

function writeVote(message: LeaseVote, writer: PayloadWriter): void {
  writer.u32(message.requestId).flag(message.granted);
}

/** Payload encoders by kind. */
const WRITERS: {
  [K in PeerMessageKind]: (message: PeerMessages[K], writer: PayloadWriter) => void;
} = {
  hello: (message, writer) => void writer.text(message.member).u64(message.ageMs),
  leaderHeartbeat: (message, writer) => {
    writer.u64(message.fencingToken).flag(message.first).u32(message.progress.length);
    for (const { id, done, running } of message.progress) writer.text(id).u32(done).u32(running);
  },
  jobCancelled: (message, writer) => void writer.text(message.id),
  leaseExtensionRequest: writeVoteRequest,
  leaseExtensionVote: writeVote,
  promiseCheckRequest: (message, writer) => void writer.u32(message.requestId),
  promiseCheckResponse: (message, writer) => void writer.u32(message.requestId).flag(message.free),
  storeStatus: (message, writer) => void writer.flag(message.available),
  cancellationsRequest: (message, writer) =>
    void writer.u32(message.requestId).u32(message.sinceMs),
  cancellationsResponse: (message, writer) => {
    const cancelled = message.cancelled ?? [];
    writer
      .u32(message.requestId)
      .flag(message.cancelled !== null)
      .u32(cancelled.length);
    for (const id of cancelled) writer.text(id);
  },
  reinstatementRequest: writeVoteRequest,
  reinstatementVote: writeVote,
};

function encodePayload<K extends PeerMessageKind>(kind: K, message: PeerMessages[K]): Buffer {
  const writer = new PayloadWriter();
  WRITERS[kind](message, writer);
  return writer.toBuffer();
}

/** Encodes a message as one frame. */
export function encode(message: PeerMessage): Buffer {
  const payload = encodePayload(message.kind, message);
  const kind = KINDS.indexOf(message.kind);
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt16BE(MAGIC, HEADER_OFFSETS.magic);
  header.writeUInt8(versionOf(kind), HEADER_OFFSETS.version);
  header.writeUInt8(kind, HEADER_OFFSETS.kind);
  header.writeUInt32BE(payload.length, HEADER_OFFSETS.length);
  header.writeUInt32BE(crc32(payload), HEADER_OFFSETS.checksum);
  return Buffer.concat([header, payload]);
}

/** Splits a leader heartbeat into as many messages as the progress of its jobs needs, at least one. */
export function leaderHeartbeats(fencingToken: number, progress: JobProgress[]): PeerMessage[] {
  const messages: PeerMessage[] = [];
  for (let from = 0; from === 0 || from < progress.length; from += MAX_JOBS_PER_HEARTBEAT) {
    const part = progress.slice(from, from + MAX_JOBS_PER_HEARTBEAT);
    messages.push({ kind: 'leaderHeartbeat', fencingToken, first: from === 0, progress: part });
  }
  return messages;
}
