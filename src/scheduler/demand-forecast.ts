/** Demand forecast per job class, so that scale-out can start before the jobs are submitted. */
import type { JobSpec } from '../jobs/job.js';

/** Maximum number of intervals whose growth is compared. */
const MAX_INTERVALS = 4;

/**
 * Minimum number of intervals for a forecast. With fewer, growth cannot be distinguished from the
 * load that already existed when the leader's term began.
 */
const MIN_INTERVALS = 2;

/**
 * Number of intervals ahead for which capacity is provisioned: one until a machine provisioned now
 * is up, and one until the demand that arrives in the meantime has been sampled.
 */
const HORIZON_INTERVALS = 2;

/** Open tasks of one job class. */
export interface ClassDemand {
  /** Spec of the job that became ready last, as the best guess for the next jobs of the class. */
  spec: JobSpec;
  /** Number of running and waiting tasks. */
  tasks: number;
}

/** Tasks of a class that are expected to arrive before machines could be provisioned for them. */
export interface ExpectedTasks {
  spec: JobSpec;
  count: number;
}

interface Sample {
  at: number;
  demand: ReadonlyMap<string, ClassDemand>;
}

/**
 * Forecasts how many tasks of each job class arrive before machines could be provisioned for them.
 * Uses the median growth over the last intervals, each at least one machine boot long, so that
 * neither a single burst nor the load at the start of the leader's term counts as sustained growth.
 */
export class DemandForecast {
  private readonly samples: Sample[] = [];

  /**
   * Samples the open tasks at `now` (milliseconds, monotonic). Calls `count` at most once per
   * `bootMs`, because it iterates over all jobs.
   */
  observe(now: number, bootMs: number, count: () => ReadonlyMap<string, ClassDemand>): void {
    const last = this.samples[this.samples.length - 1];
    if (last && now - last.at < bootMs) return;
    this.samples.push({ at: now, demand: count() });
    if (this.samples.length > MAX_INTERVALS + 1) this.samples.shift();
  }

  /**
   * Returns the expected tasks of each class in the last sample, without classes that do not grow.
   */
  expected(): ExpectedTasks[] {
    const expected: ExpectedTasks[] = [];
    const last = this.samples[this.samples.length - 1];
    for (const [name, { spec }] of last?.demand ?? []) {
      const count = this.growth(name) * HORIZON_INTERVALS;
      if (count > 0) expected.push({ spec, count });
    }
    return expected;
  }

  /** Returns the lower median of a class's growth per interval. */
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

/** Returns the number of open tasks of a class in a sample. */
const openTasks = (sample: Sample, name: string): number => sample.demand.get(name)?.tasks ?? 0;
