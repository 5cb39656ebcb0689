import { randomBytes, randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A name that no other process and no other life of this one uses. */
  unique(): string;
}

export function systemRandom(): Random {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  return { next: () => uniformFloat64(generator), unique: () => randomUUID() };
}

/** Spreads `ms` by a quarter each way, so that nodes which failed together do not retry together. */
export function jitter(ms: number, random: Random): number {
  return ms * (0.75 + 0.5 * random.next());
}
