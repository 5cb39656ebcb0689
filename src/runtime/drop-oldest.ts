/** What remembers its entries in the order in which they were added: a `Map` or a `Set`. */
interface Remembered<K> {
  readonly size: number;
  keys(): Iterable<K>;
  delete(key: K): boolean;
}

/** Forgets the entries that were added first, until no more than `most` are left. */
export function dropOldest<K>(entries: Remembered<K>, most: number): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= most) return;
    entries.delete(oldest);
  }
}
