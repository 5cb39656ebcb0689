/** What one task takes of its machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export interface MachineType {
  name: string;
  capacity: Resources;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootMs: number;
  zones: string[];
}

/** Sums of decimal amounts may be off in the last digits; this much is not a lack of room. */
const EPSILON = 1e-6;

export function fits(need: Resources, room: Resources): boolean {
  return (
    need.cpus <= room.cpus + EPSILON &&
    need.gpus <= room.gpus + EPSILON &&
    need.memoryGb <= room.memoryGb + EPSILON
  );
}

export function subtract(room: Resources, need: Resources, times = 1): void {
  room.cpus -= need.cpus * times;
  room.gpus -= need.gpus * times;
  room.memoryGb -= need.memoryGb * times;
}

/** How many tasks of `need` go into `room`. */
export function copiesThatFit(need: Resources, room: Resources): number {
  // Asked for every machine many times a round, and most have no room at all.
  if (!fits(need, room)) return 0;
  return Math.min(
    per(need.cpus, room.cpus),
    per(need.gpus, room.gpus),
    per(need.memoryGb, room.memoryGb),
  );
}

const per = (need: number, room: number): number =>
  need <= 0 ? Infinity : Math.floor((room + EPSILON) / need);
