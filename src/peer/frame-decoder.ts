/** Decodes messages from a stream of bytes. */
import { crc32 } from 'node:zlib';
import {
  FRAME_VERSIONS,
  HEADER_BYTES,
  HEADER_OFFSETS,
  KINDS,
  MAGIC,
  MAX_PAYLOAD_BYTES,
} from './frame-format.js';
import type { JobProgress, PeerMessage, PeerMessageKind, PeerMessages } from './messages.js';

/** Why a frame was rejected. */
export type FrameFault =
  | 'bad magic'
  | 'unknown version'
  | 'unknown kind'
  | 'frame too large'
  | 'bad checksum'
  | 'payload too short'
  | 'payload too long';

/** A frame cannot be decoded. The caller must close the connection; nothing else is affected. */
export class FrameError extends Error {
  constructor(readonly fault: FrameFault) {
    super(fault);
  }
}

class PayloadReader {
  private at = 0;

  constructor(private readonly buffer: Buffer) {}

  flag(): boolean {
    return this.u8() === 1;
  }

  u8(): number {
    return this.buffer.readUInt8(this.advance(1));
  }

  u32(): number {
    return this.buffer.readUInt32BE(this.advance(4));
  }

  u64(): number {
    return Number(this.buffer.readBigUInt64BE(this.advance(8)));
  }

  text(): string {
    const length = this.u8();
    const start = this.advance(length);
    return this.buffer.toString('utf8', start, start + length);
  }

  /** Reads a list: the number of items, then the items. */
  list<T>(readItem: () => T): T[] {
    const items: T[] = [];
    for (let remaining = this.u32(); remaining > 0; remaining--) items.push(readItem());
    return items;
  }

  expectEnd(): void {
    if (this.at !== this.buffer.length) throw new FrameError('payload too long');
  }

  private advance(bytes: number): number {
    const start = this.at;
    if (start + bytes > this.buffer.length) throw new FrameError('payload too short');
    this.at += bytes;
    return start;
  }
}

const readVoteRequest = (
  reader: PayloadReader,
): Omit<PeerMessages['leaseExtensionRequest'], 'kind'> => ({
  requestId: reader.u32(),
  fencingToken: reader.u64(),
  durationMs: reader.u32(),
});

const readVote = (reader: PayloadReader): Omit<PeerMessages['leaseExtensionVote'], 'kind'> => ({
  requestId: reader.u32(),
  granted: reader.flag(),
});

const readProgress = (reader: PayloadReader): JobProgress => ({
  id: reader.text(),
  done: reader.u32(),
  running: reader.u32(),
});

/** Payload decoders by kind. Fields are read in the order of the properties here. */
const READERS: { [K in PeerMessageKind]: (reader: PayloadReader) => PeerMessages[K] } = {
  hello: (reader) => ({ kind: 'hello', member: reader.text(), ageMs: reader.u64() }),
  leaderHeartbeat: (reader) => ({
    kind: 'leaderHeartbeat',
    fencingToken: reader.u64(),
    first: reader.flag(),
    progress: reader.list(() => readProgress(reader)),
  }),
  jobCancelled: (reader) => ({ kind: 'jobCancelled', id: reader.text() }),
  leaseExtensionRequest: (reader) => ({
    kind: 'leaseExtensionRequest',
    ...readVoteRequest(reader),
  }),
  leaseExtensionVote: (reader) => ({ kind: 'leaseExtensionVote', ...readVote(reader) }),
  promiseCheckRequest: (reader) => ({ kind: 'promiseCheckRequest', requestId: reader.u32() }),
  promiseCheckResponse: (reader) => ({
    kind: 'promiseCheckResponse',
    requestId: reader.u32(),
    free: reader.flag(),
  }),
  storeStatus: (reader) => ({ kind: 'storeStatus', available: reader.flag() }),
  cancellationsRequest: (reader) => ({
    kind: 'cancellationsRequest',
    requestId: reader.u32(),
    sinceMs: reader.u32(),
  }),
  cancellationsResponse: (reader) => {
    const requestId = reader.u32();
    const isComplete = reader.flag();
    const cancelled = reader.list(() => reader.text());
    return { kind: 'cancellationsResponse', requestId, cancelled: isComplete ? cancelled : null };
  },
  reinstatementRequest: (reader) => ({ kind: 'reinstatementRequest', ...readVoteRequest(reader) }),
  reinstatementVote: (reader) => ({ kind: 'reinstatementVote', ...readVote(reader) }),
};

/**
 * Decodes messages from the chunks of one connection. It cannot be used any more after a `FrameError`.
 */
export class Decoder {
  private rest: Buffer = Buffer.alloc(0);

  /** Appends `chunk` and returns the messages that it completes. */
  push(chunk: Buffer): PeerMessage[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const messages: PeerMessage[] = [];
    while (this.rest.length >= HEADER_BYTES) {
      const { kind, length } = this.readHeader();
      if (this.rest.length < HEADER_BYTES + length) break;
      messages.push(this.readPayload(kind, length));
      this.rest = this.rest.subarray(HEADER_BYTES + length);
    }
    return messages;
  }

  /** Validates the header before the payload arrives, so that no invalid frame is buffered. */
  private readHeader(): { kind: PeerMessageKind; length: number } {
    const version = this.rest.readUInt8(HEADER_OFFSETS.version);
    const kind = KINDS[this.rest.readUInt8(HEADER_OFFSETS.kind)];
    const length = this.rest.readUInt32BE(HEADER_OFFSETS.length);
    if (this.rest.readUInt16BE(HEADER_OFFSETS.magic) !== MAGIC) throw new FrameError('bad magic');
    if (!FRAME_VERSIONS.includes(version)) throw new FrameError('unknown version');
    if (!kind) throw new FrameError('unknown kind');
    if (length > MAX_PAYLOAD_BYTES) throw new FrameError('frame too large');
    return { kind, length };
  }

  private readPayload(kind: PeerMessageKind, length: number): PeerMessage {
    const payload = this.rest.subarray(HEADER_BYTES, HEADER_BYTES + length);
    if (crc32(payload) !== this.rest.readUInt32BE(HEADER_OFFSETS.checksum))
      throw new FrameError('bad checksum');
    const reader = new PayloadReader(payload);
    const message = READERS[kind](reader);
    reader.expectEnd();
    return message;
  }
}
