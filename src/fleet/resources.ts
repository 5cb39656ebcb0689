/** Resources of tasks and machines, and functions to fit requests into capacity. */

/** A resource request of one task, or the capacity of one machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A machine type that the cloud offers. Prices are in the cloud's unit. */
export interface MachineType {
  name: string;
  capacity: Resources;
  /** Capacity of the image cache in gigabytes. */
  cacheGb: number;
  /** Rate of image fetches in gigabytes per second. */
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  /** Nominal boot time in milliseconds. */
  bootMs: number;
  zones: string[];
}

/**
 * Tolerance for rounding errors in sums of decimal amounts: a request that exceeds the capacity by
 * this much still fits.
 */
const EPSILON = 1e-6;

/** Whether the request fits into the capacity. */
export function fits(request: Resources, capacity: Resources): boolean {
  return (
    request.cpus <= capacity.cpus + EPSILON &&
    request.gpus <= capacity.gpus + EPSILON &&
    request.memoryGb <= capacity.memoryGb + EPSILON
  );
}

/** Subtracts the request from the capacity `times` times, in place. */
export function subtract(capacity: Resources, request: Resources, times = 1): void {
  capacity.cpus -= request.cpus * times;
  capacity.gpus -= request.gpus * times;
  capacity.memoryGb -= request.memoryGb * times;
}

/** How many tasks with this request fit into the capacity. */
export function countFittingTasks(request: Resources, capacity: Resources): number {
  // Fast path: this is called for every machine many times per cycle, and most machines are full.
  if (!fits(request, capacity)) return 0;
  return Math.min(
    taskCount(request.cpus, capacity.cpus),
    taskCount(request.gpus, capacity.gpus),
    taskCount(request.memoryGb, capacity.memoryGb),
  );
}

const taskCount = (requested: number, available: number): number =>
  requested <= 0 ? Infinity : Math.floor((available + EPSILON) / requested);
