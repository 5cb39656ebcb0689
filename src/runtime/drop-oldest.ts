/** Bounds for collections that would grow without end. */

/** A collection that keeps its entries in the order of insertion: a `Map` or a `Set`. */
interface InsertionOrdered<K> {
  readonly size: number;
  keys(): Iterable<K>;
  delete(key: K): boolean;
}

/** Deletes the entries that were added first, until at most `maxEntries` are left. */
export function dropOldest<K>(entries: InsertionOrdered<K>, maxEntries: number): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= maxEntries) return;
    entries.delete(oldest);
  }
}
