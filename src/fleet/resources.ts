/** Resources of tasks and machines, and the arithmetic of packing one into the other. */

/** A resource request of one task, or the capacity of one machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A type of machine that the cloud offers. Prices are in the cloud's unit. */
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

/** Sums of decimal amounts may be off in the last digits; a shortfall of this much still fits. */
const EPSILON = 1e-6;

/** Whether the request fits into the capacity. */
export function fits(request: Resources, capacity: Resources): boolean {
  return (
    request.cpus <= capacity.cpus + EPSILON &&
    request.gpus <= capacity.gpus + EPSILON &&
    request.memoryGb <= capacity.memoryGb + EPSILON
  );
}

/** Takes the request from the capacity, in place, as many times as told. */
export function subtract(capacity: Resources, request: Resources, times = 1): void {
  capacity.cpus -= request.cpus * times;
  capacity.gpus -= request.gpus * times;
  capacity.memoryGb -= request.memoryGb * times;
}

/** How many tasks with this request fit into the capacity. */
export function copiesThatFit(request: Resources, capacity: Resources): number {
  // Called for every machine many times a cycle, and most are full.
  if (!fits(request, capacity)) return 0;
  return Math.min(
    per(request.cpus, capacity.cpus),
    per(request.gpus, capacity.gpus),
    per(request.memoryGb, capacity.memoryGb),
  );
}

const per = (requested: number, available: number): number =>
  requested <= 0 ? Infinity : Math.floor((available + EPSILON) / requested);
