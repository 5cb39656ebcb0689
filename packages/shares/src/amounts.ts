/** Amounts of resources, in CPUs and GPUs, and their arithmetic. */

/** The resources that a quota is made of. */
export const RESOURCES = ['cpus', 'gpus'] as const;
/** One of them. */
export type Resource = (typeof RESOURCES)[number];

/** How much of each resource. */
export type Amounts = Record<Resource, number>;

/** Amounts are decimals: their sums are compared with this tolerance. */
export const TOLERANCE = 1e-6;

/** Zero of each resource. */
export const NOTHING: Readonly<Amounts> = { cpus: 0, gpus: 0 };

const combine = (
  a: Amounts,
  b: Amounts,
  operation: (left: number, right: number) => number,
): Amounts => ({
  cpus: operation(a.cpus, b.cpus),
  gpus: operation(a.gpus, b.gpus),
});

/** The sum, by resource. */
export const add = (a: Amounts, b: Amounts): Amounts =>
  combine(a, b, (left, right) => left + right);
/** `a` less `b`, by resource; it may be negative. */
export const subtract = (a: Amounts, b: Amounts): Amounts =>
  combine(a, b, (left, right) => left - right);
/** The smaller amount of each resource. */
export const minimum = (a: Amounts, b: Amounts): Amounts => combine(a, b, Math.min);
/** The larger amount of each resource. */
export const maximum = (a: Amounts, b: Amounts): Amounts => combine(a, b, Math.max);

/** As JSON can hold it: null where there is no limit. */
export const toJsonAmounts = (a: Amounts): Record<Resource, number | null> => ({
  cpus: a.cpus === Infinity ? null : a.cpus,
  gpus: a.gpus === Infinity ? null : a.gpus,
});

/** Whether there is nothing of any resource, within the tolerance. */
export const isZero = (a: Amounts): boolean =>
  RESOURCES.every((resource) => a[resource] <= TOLERANCE);

/** The resources of which `a` has more than `b`, beyond the tolerance. */
export const resourcesExceeding = (a: Amounts, b: Amounts): Resource[] =>
  RESOURCES.filter((resource) => a[resource] > b[resource] + TOLERANCE);
