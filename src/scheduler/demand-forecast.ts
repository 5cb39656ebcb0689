import type { JobSpec } from '../jobs/job.js';

/** How many intervals of growth are compared. */
const INTERVALS = 4;

/** With fewer there is no telling growth from the load that was there when the term began. */
const MIN_INTERVALS = 2;

/**
 * For how many intervals ahead room is wanted: one until a machine that is rented now is up, and one
 * until what comes meanwhile has been counted.
 */
const HORIZON_INTERVALS = 2;

/** What is open of one job class. */
export interface ClassDemand {
  /** That of the job that became ready last: what comes next will most likely look like it. */
  spec: JobSpec;
  /** Tasks that run or wait. */
  tasks: number;
}

/** Tasks of a class that are expected to come before more could be rented for them. */
export interface ExpectedTasks {
  spec: JobSpec;
  count: number;
}

interface Sample {
  at: number;
  demand: ReadonlyMap<string, ClassDemand>;
}

/**
 * Tells how many tasks of each job class will come before more machines could be rented for them. It
 * goes by the typical growth over the last intervals as long as a boot, so that a single burst, or the
 * load that was there when the term began, is not taken for growth that goes on.
 */
export class DemandForecast {
  private readonly samples: Sample[] = [];

  /**
   * Notes what is open at `now`. `count` is asked no more than once in `bootMs`: it looks at every job.
   */
  observe(now: number, bootMs: number, count: () => ReadonlyMap<string, ClassDemand>): void {
    const last = this.samples[this.samples.length - 1];
    if (last && now - last.at < bootMs) return;
    this.samples.push({ at: now, demand: count() });
    if (this.samples.length > INTERVALS + 1) this.samples.shift();
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
    for (let i = 1; i < this.samples.length; i++) {
      growths.push(this.open(i, name) - this.open(i - 1, name));
    }
    if (growths.length < MIN_INTERVALS) return 0;
    growths.sort((a, b) => a - b);
    return growths[(growths.length - 1) >> 1]!;
  }

  /** How many tasks of a class were open at a sample. */
  private open(sample: number, name: string): number {
    return this.samples[sample]!.demand.get(name)?.tasks ?? 0;
  }
}
