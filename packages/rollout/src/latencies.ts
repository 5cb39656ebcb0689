/** Reads histograms that replicas send, without letting them take more memory than a histogram needs. */
import { inflateSync } from 'node:zlib';
import { decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';

/** A histogram is no larger than this when it is unpacked. */
const MOST_BYTES = 512 * 1024;

/** Before the packed part come a cookie and a length. */
const PACKED_AT = 8;

/** Where the unpacked part names its precision, in decimal digits; the number of counters follows from it. */
const DIGITS_AT = 12;
const MOST_DIGITS = 3;

/** What a replica sent is no histogram, or one that is too large. */
export class InvalidHistogramError extends Error {}

/** @param text an HDR histogram, compressed (V2), as base64 */
export function readLatencies(text: string): Histogram {
  try {
    const packed = Buffer.from(text, 'base64').subarray(PACKED_AT);
    const unpacked = inflateSync(packed, { maxOutputLength: MOST_BYTES });
    const digits = unpacked.readInt32BE(DIGITS_AT);
    if (digits < 1 || digits > MOST_DIGITS) throw new InvalidHistogramError(`${digits} digits`);
    return decodeFromCompressedBase64(text);
  } catch (error) {
    if (error instanceof InvalidHistogramError) throw error;
    throw new InvalidHistogramError(error instanceof Error ? error.message : String(error));
  }
}
