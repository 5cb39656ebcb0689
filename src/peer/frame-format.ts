/**
 * The frame format that the encoder and the decoder share. A frame consists of a header of 12 bytes
 * (magic number, version, kind, length of the payload, CRC-32 of the payload) and a payload. All
 * numbers are big-endian.
 */
import type { PeerMessageKind } from './messages.js';

/** The first two bytes of every frame. */
export const MAGIC = 0x4c48;
/** The offset of each header field. */
export const HEADER_OFFSETS = { magic: 0, version: 2, kind: 3, length: 4, checksum: 8 } as const;
export const HEADER_BYTES = 12;
/** Frames with a longer payload are rejected. */
export const MAX_PAYLOAD_BYTES = 256 * 1024;
/** The length of a text is encoded in one byte. */
export const MAX_TEXT_BYTES = 255;

/** The kind is encoded as its index in this list, so new kinds must be appended. */
export const KINDS: readonly PeerMessageKind[] = [
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
];
const FIRST_CANCELLATIONS_KIND = KINDS.indexOf('cancellationsRequest');
const FIRST_REINSTATEMENT_KIND = KINDS.indexOf('reinstatementRequest');

/**
 * The version of all kinds up to `storeStatus`. A controller closes a connection on a version it does
 * not know.
 */
const BASE_VERSION = 3;
/** The versions of kinds that were added later; these are sent only to peers known to support them. */
export const CANCELLATIONS_VERSION = 4;
export const REINSTATEMENT_VERSION = 5;
/** The frame versions that this controller supports. */
export const FRAME_VERSIONS: readonly number[] = [
  BASE_VERSION,
  CANCELLATIONS_VERSION,
  REINSTATEMENT_VERSION,
];

/**
 * How many progress entries (id, done, running) fit into one frame, even with ids of maximum length.
 */
export const MAX_JOBS_PER_HEARTBEAT = Math.floor(
  (MAX_PAYLOAD_BYTES - 13) / (1 + MAX_TEXT_BYTES + 8),
);
/** How many job ids fit into one `cancellationsResponse`, even with ids of maximum length. */
export const MAX_CANCELLATIONS = Math.floor((MAX_PAYLOAD_BYTES - 9) / (1 + MAX_TEXT_BYTES));

/** Returns the frame version of a kind, which is given as its index in `KINDS`. */
export function versionOf(kind: number): number {
  if (kind < FIRST_CANCELLATIONS_KIND) return BASE_VERSION;
  return kind < FIRST_REINSTATEMENT_KIND ? CANCELLATIONS_VERSION : REINSTATEMENT_VERSION;
}
