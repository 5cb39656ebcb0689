import type { JobSpec } from '../jobs/job.js';

/** How many intervals of growth are compared. */
const INTERVALS = 4;

/** With fewer there is no telling growth from the load that was there when the term began. */
const LEAST_INTERVALS = 2;

/**
 * For how many intervals ahead room is wanted: one until a machine that is rented now is up, and one
 * until what comes meanwhile has been counted.
 */
const HORIZON_INTERVALS = 2;

/** What is open of one job class. */
export interface ClassDemand {
  /** That of its newest job: what comes next will most likely look like it. */
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
  tasks: ReadonlyMap<string, number>;
}

/**
 * Tells how many tasks of each job class will come before more machines could be rented for them. It
 * goes by the typical growth over the last intervals as long as a boot, so that a single burst, or the
 * load that was there when the term began, is not taken for growth that goes on.
 */
export class DemandForecast {
  private readonly samples: Sample[] = [];

  /** Notes what is open at `now`. Calls within a `bootMs` of the last sample change nothing. */
  observe(now: number, bootMs: number, demand: ReadonlyMap<string, ClassDemand>): void {
    const last = this.samples[this.samples.length - 1];
    if (last && now - last.at < bootMs) return;
    const tasks = new Map([...demand].map(([name, { tasks: open }]) => [name, open]));
    this.samples.push({ at: now, tasks });
    if (this.samples.length > INTERVALS + 1) this.samples.shift();
  }

  /** What is expected of each class; classes that do not grow are left out. */
  expected(demand: ReadonlyMap<string, ClassDemand>): ExpectedTasks[] {
    const expected: ExpectedTasks[] = [];
    for (const [name, { spec }] of demand) {
      const count = this.growth(name) * HORIZON_INTERVALS;
      if (count > 0) expected.push({ spec, count });
    }
    return expected;
  }

  /** The lower median of a class's growth in each interval. */
  private growth(name: string): number {
    const growths: number[] = [];
    for (let i = 1; i < this.samples.length; i++) {
      const before = this.samples[i - 1]!.tasks.get(name) ?? 0;
      growths.push((this.samples[i]!.tasks.get(name) ?? 0) - before);
    }
    if (growths.length < LEAST_INTERVALS) return 0;
    growths.sort((a, b) => a - b);
    return growths[(growths.length - 1) >> 1]!;
  }
}
