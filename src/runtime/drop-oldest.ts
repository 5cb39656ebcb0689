/** Bounds the size of collections. */

/** A collection that iterates in insertion order, such as a `Map` or a `Set`. */
interface InsertionOrdered<K> {
  readonly size: number;
  keys(): Iterable<K>;
  delete(key: K): boolean;
}

/** Deletes the oldest entries until at most `maxEntries` are left. */
export function dropOldest<K>(entries: InsertionOrdered<K>, maxEntries: number): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= maxEntries) return;
    entries.delete(oldest);
  }
}
