/** Decodes histograms sent by replicas, with a bound on the memory that decoding may take. */
import { inflateSync } from 'node:zlib';
import { decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';

/** Maximum size of an uncompressed histogram in bytes. */
const MAX_BYTES = 512 * 1024;

/** Offset of the compressed payload, after the cookie and the length field. */
const COMPRESSED_OFFSET = 8;

/** Offset of the precision in significant decimal digits, which determines the number of counters. */
const PRECISION_OFFSET = 12;
const MAX_DIGITS = 3;

/** The data is not a valid histogram, or the histogram is too large; see `cause` for details. */
export class InvalidHistogramError extends Error {}

/**
 * Decodes a histogram of latencies in microseconds.
 *
 * @param text an HDR histogram, compressed (V2), as base64
 * @throws InvalidHistogramError
 */
export function readLatencies(text: string): Histogram {
  try {
    const compressed = Buffer.from(text, 'base64').subarray(COMPRESSED_OFFSET);
    const histogram = inflateSync(compressed, { maxOutputLength: MAX_BYTES });
    const digits = histogram.readInt32BE(PRECISION_OFFSET);
    if (digits < 1 || digits > MAX_DIGITS)
      throw new InvalidHistogramError(`unsupported precision: ${digits} significant digits`);
    return decodeFromCompressedBase64(text);
  } catch (error) {
    if (error instanceof InvalidHistogramError) throw error;
    const message = error instanceof Error ? error.message : String(error);
    throw new InvalidHistogramError(message, { cause: error });
  }
}
