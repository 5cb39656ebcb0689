/** Reads histograms that replicas send, without letting them take more memory than a histogram needs. */
import { inflateSync } from 'node:zlib';
import { decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';

/** Bound of an uncompressed histogram. */
const MAX_BYTES = 512 * 1024;

/** Offset of the compressed bytes, after a cookie and a length. */
const COMPRESSED_AT = 8;

/** Offset of the precision in decimal digits, from which the number of counters follows. */
const DIGITS_AT = 12;
const MAX_DIGITS = 3;

/** What a replica sent is no histogram, or one that is too large; the cause says more. */
export class InvalidHistogramError extends Error {}

/**
 * Decodes a histogram of latencies in microseconds.
 *
 * @param text an HDR histogram, compressed (V2), as base64
 * @throws InvalidHistogramError
 */
export function readLatencies(text: string): Histogram {
  try {
    const compressed = Buffer.from(text, 'base64').subarray(COMPRESSED_AT);
    const histogram = inflateSync(compressed, { maxOutputLength: MAX_BYTES });
    const digits = histogram.readInt32BE(DIGITS_AT);
    if (digits < 1 || digits > MAX_DIGITS) throw new InvalidHistogramError(`${digits} digits`);
    return decodeFromCompressedBase64(text);
  } catch (error) {
    if (error instanceof InvalidHistogramError) throw error;
    const message = error instanceof Error ? error.message : String(error);
    throw new InvalidHistogramError(message, { cause: error });
  }
}
