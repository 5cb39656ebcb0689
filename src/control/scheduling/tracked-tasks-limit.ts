/** The number of tasks that a controller has memory to track as a leader. */
import { getHeapStatistics } from 'node:v8';

/** A placement takes some 150 bytes, and a scheduling cycle and a change of leader take as much again. */
const TRACKED_TASKS_PER_MB = 1100;

/**
 * The share of the limit up to which exits that are not stored yet come on top of it. They are stored some
 * seconds later, which the next starts should not wait for.
 */
export const UNRECORDED_EXITS_RATIO = 1 / 4;

const BYTES_PER_MB = 1024 * 1024;

/**
 * Returns how many tasks may be on machines at once, as far as a leader has memory to track them.
 *
 * @param memoryMb the memory of the controller; the heap of the process may be limited to less
 */
export function trackedTasksLimit(memoryMb: number): number {
  const heapMb = getHeapStatistics().heap_size_limit / BYTES_PER_MB;
  return Math.floor(Math.min(memoryMb, heapMb) * TRACKED_TASKS_PER_MB);
}
