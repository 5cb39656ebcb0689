/** Resource amounts (CPUs and GPUs) and their arithmetic. */

/** The resources that quotas limit. */
export const RESOURCES = ['cpus', 'gpus'] as const;
/** One of these resources. */
export type Resource = (typeof RESOURCES)[number];

/** An amount of each resource. */
export type Amounts = Record<Resource, number>;

/** Tolerance of comparisons, since sums of decimal amounts have rounding errors. */
export const TOLERANCE = 1e-6;

/** Zero of each resource. */
export const ZERO_AMOUNTS: Readonly<Amounts> = { cpus: 0, gpus: 0 };

const combine = (
  a: Amounts,
  b: Amounts,
  operation: (left: number, right: number) => number,
): Amounts => ({
  cpus: operation(a.cpus, b.cpus),
  gpus: operation(a.gpus, b.gpus),
});

/** `a` plus `b`, per resource. */
export const add = (a: Amounts, b: Amounts): Amounts =>
  combine(a, b, (left, right) => left + right);
/** `a` minus `b`, per resource; the result may be negative. */
export const subtract = (a: Amounts, b: Amounts): Amounts =>
  combine(a, b, (left, right) => left - right);
/** The smaller amount of each resource. */
export const minimum = (a: Amounts, b: Amounts): Amounts => combine(a, b, Math.min);
/** The larger amount of each resource. */
export const maximum = (a: Amounts, b: Amounts): Amounts => combine(a, b, Math.max);

/** Converts amounts for JSON, which has no infinity: null where there is no limit. */
export const toJsonAmounts = (a: Amounts): Record<Resource, number | null> => ({
  cpus: a.cpus === Infinity ? null : a.cpus,
  gpus: a.gpus === Infinity ? null : a.gpus,
});

/** Whether the amount of every resource is zero or less, within the tolerance. */
export const isNonPositive = (a: Amounts): boolean =>
  RESOURCES.every((resource) => a[resource] <= TOLERANCE);

/** The resources for which `a` exceeds `b` by more than the tolerance. */
export const resourcesExceeding = (a: Amounts, b: Amounts): Resource[] =>
  RESOURCES.filter((resource) => a[resource] > b[resource] + TOLERANCE);
