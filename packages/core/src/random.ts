/** The port to chance, and the jitter that waits are given. */
import { randomBytes, randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers and names; tests pass in a seeded one. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A name that no other process uses, nor this one after a restart. */
  unique(): string;
}

/** A source seeded by the operating system. */
export function systemRandom(): Random {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  return { next: () => uniformFloat64(generator), unique: () => randomUUID() };
}

/** `ms` milliseconds, spread by a quarter each way, so that nodes which failed together do not retry together. */
export function jitter(ms: number, random: Random): number {
  return ms * (0.75 + 0.5 * random.next());
}
