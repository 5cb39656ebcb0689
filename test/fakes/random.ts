import type { Random } from '@leverhatch/core/random';

/** A seeded generator of numbers in [0, 1), by the mulberry32 algorithm. */
export class SeededRandom {
  constructor(private state: number) {}

  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** A number in [low, high). */
  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.next() * items.length)]!;
  }
}

/** The random source of one process, reproducible for the same name and seed. */
export function fakeRandom(name: string, seed = 0): Random {
  let count = seed;
  return { next: () => ((count * 7919 + 13) % 1000) / 1000, unique: () => `${name}-${++count}` };
}
