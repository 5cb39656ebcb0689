/**
 * What encoder and decoder share. A frame is a header of 12 bytes (magic, version, kind, length of the
 * payload, its CRC-32) and a payload; all numbers are big-endian.
 */
import type { PeerMessageKind } from './messages.js';

/** The first two bytes of every frame. */
export const MAGIC = 0x4c48;
/** Where each field of the header begins. */
export const HEADER_OFFSETS = { magic: 0, version: 2, kind: 3, length: 4, checksum: 8 } as const;
export const HEADER_BYTES = 12;
/** A longer payload is refused. */
export const MAX_PAYLOAD_BYTES = 256 * 1024;
/** The length of a text is one byte. */
export const MAX_TEXT_BYTES = 255;

/** The kind of a frame is its place here: new kinds go to the end. */
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

/** Of all kinds up to `storeStatus`; a program that knows no later one closes a connection that brings one. */
const BASE_VERSION = 3;
/** The versions of the kinds that came later, which go only to controllers known to read them. */
export const CANCELLATIONS_VERSION = 4;
export const REINSTATEMENT_VERSION = 5;
/** The versions of frames that this program understands. */
export const FRAME_VERSIONS: readonly number[] = [
  BASE_VERSION,
  CANCELLATIONS_VERSION,
  REINSTATEMENT_VERSION,
];

/** How many jobs' progress fits into one frame, however long their names are: id, done, running. */
export const MAX_JOBS_PER_HEARTBEAT = Math.floor(
  (MAX_PAYLOAD_BYTES - 13) / (1 + MAX_TEXT_BYTES + 8),
);
/** How many jobs' names fit into one answer, however long they are. */
export const MAX_CANCELLATIONS = Math.floor((MAX_PAYLOAD_BYTES - 9) / (1 + MAX_TEXT_BYTES));

/** The version in the header of a frame of this kind, given by its place in `KINDS`. */
export function versionOf(kind: number): number {
  if (kind < FIRST_CANCELLATIONS_KIND) return BASE_VERSION;
  return kind < FIRST_REINSTATEMENT_KIND ? CANCELLATIONS_VERSION : REINSTATEMENT_VERSION;
}
