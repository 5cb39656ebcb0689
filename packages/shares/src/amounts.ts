/** Amounts of what teams share, and the little arithmetic that they need. */

/** The resources that a share is made of. */
export const RESOURCES = ['cpus', 'gpus'] as const;
export type Resource = (typeof RESOURCES)[number];

/** How much of each resource. */
export type Amounts = Record<Resource, number>;

/** Sums of decimal amounts are compared with this tolerance. */
export const TOLERANCE = 1e-6;

export const NOTHING: Readonly<Amounts> = { cpus: 0, gpus: 0 };

const combine = (a: Amounts, b: Amounts, with_: (x: number, y: number) => number): Amounts => ({
  cpus: with_(a.cpus, b.cpus),
  gpus: with_(a.gpus, b.gpus),
});

export const add = (a: Amounts, b: Amounts): Amounts => combine(a, b, (x, y) => x + y);
export const subtract = (a: Amounts, b: Amounts): Amounts => combine(a, b, (x, y) => x - y);
export const minimum = (a: Amounts, b: Amounts): Amounts => combine(a, b, Math.min);
export const maximum = (a: Amounts, b: Amounts): Amounts => combine(a, b, Math.max);

/** As JSON can hold it: a limit that is none is null. */
export const finite = (a: Amounts): Record<Resource, number | null> => ({
  cpus: a.cpus === Infinity ? null : a.cpus,
  gpus: a.gpus === Infinity ? null : a.gpus,
});

/** True if nothing of any resource is left. */
export const isNothing = (a: Amounts): boolean => RESOURCES.every((r) => a[r] <= TOLERANCE);

/** The resources of which `a` has more than `b`. */
export const exceeding = (a: Amounts, b: Amounts): Resource[] =>
  RESOURCES.filter((r) => a[r] > b[r] + TOLERANCE);
