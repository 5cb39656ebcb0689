/** Forecast of demand by job class, so that scale-out can start before the work comes. */
import type { JobSpec } from '../jobs/job.js';

/** How many intervals of growth are compared. */
const MAX_INTERVALS = 4;

/** With fewer there is no telling growth from the load that was there when the term began. */
const MIN_INTERVALS = 2;

/**
 * For how many intervals ahead capacity is provisioned: one until a machine provisioned now is up, and
 * one until what comes meanwhile has been counted.
 */
const HORIZON_INTERVALS = 2;

/** Open work of one job class. */
export interface ClassDemand {
  /** That of the job that became ready last: what comes next will most likely look like it. */
  spec: JobSpec;
  /** Tasks that run or wait. */
  tasks: number;
}

/** Tasks of a class that are expected before machines could be provisioned for them. */
export interface ExpectedTasks {
  spec: JobSpec;
  count: number;
}

interface Sample {
  at: number;
  demand: ReadonlyMap<string, ClassDemand>;
}

/**
 * Tells how many tasks of each job class will come before machines could be provisioned for them. It
 * goes by the typical growth over the last intervals as long as a boot, so that a single burst, or the
 * load that was there when the term began, is not taken for growth that goes on.
 */
export class DemandForecast {
  private readonly samples: Sample[] = [];

  /**
   * Records what is open at `now` (milliseconds, monotonic). `count` is called no more than once in
   * `bootMs`: it looks at every job.
   */
  observe(now: number, bootMs: number, count: () => ReadonlyMap<string, ClassDemand>): void {
    const last = this.samples[this.samples.length - 1];
    if (last && now - last.at < bootMs) return;
    this.samples.push({ at: now, demand: count() });
    if (this.samples.length > MAX_INTERVALS + 1) this.samples.shift();
  }

  /** What is expected of each class by the last sample; classes that do not grow are left out. */
  expected(): ExpectedTasks[] {
    const expected: ExpectedTasks[] = [];
    const last = this.samples[this.samples.length - 1];
    for (const [name, { spec }] of last?.demand ?? []) {
      const count = this.growth(name) * HORIZON_INTERVALS;
      if (count > 0) expected.push({ spec, count });
    }
    return expected;
  }

  /** The lower median of a class's growth in each interval. */
  private growth(name: string): number {
    const growths: number[] = [];
    for (const [i, sample] of this.samples.entries()) {
      const previous = this.samples[i - 1];
      if (previous) growths.push(openTasks(sample, name) - openTasks(previous, name));
    }
    if (growths.length < MIN_INTERVALS) return 0;
    growths.sort((a, b) => a - b);
    return growths[(growths.length - 1) >> 1] ?? 0;
  }
}

/** How many tasks of a class were open at a sample. */
const openTasks = (sample: Sample, name: string): number => sample.demand.get(name)?.tasks ?? 0;
