/** The source of randomness, and jitter for delays. */
import { randomBytes, randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers and unique names; tests inject a seeded one. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A name that is unique among all processes and across restarts. */
  unique(): string;
}

/** Creates a source that is seeded by the operating system. */
export function systemRandom(): Random {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  return { next: () => uniformFloat64(generator), unique: () => randomUUID() };
}

/** Randomizes a delay by up to 25 % either way, so that nodes that failed together do not retry together. */
export function jitter(ms: number, random: Random): number {
  return ms * (0.75 + 0.5 * random.next());
}
