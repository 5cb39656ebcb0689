/** Expected demand of job classes that cannot wait for a machine to boot. */
import type { Job } from '../../jobs/tracked-job.js';
import { Priority } from '../../jobs/job.js';
import {
  DemandForecast,
  type ClassDemand,
  type ExpectedTasks,
} from '../../scheduler/demand-forecast.js';
import type { Settings } from '../../settings/deploy.js';

/** A class with a wait objective of at least this many boot times can wait for a machine to boot. */
const MAX_WAIT_BOOTS = 2;

/** Forecasts the tasks that will arrive before a machine provisioned now could be up. */
export class ExpectedDemand {
  private readonly forecast = new DemandForecast();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly settings: Settings,
  ) {}

  /** Records the demand at `now` (monotonic, in milliseconds), and returns the expected tasks. */
  observe(now: number, bootMs: number): ExpectedTasks[] {
    this.forecast.observe(now, bootMs, () => this.demand(bootMs));
    return this.forecast.expected();
  }

  /**
   * Open tasks with GPUs, by job class, of ready jobs of at least high priority that can neither wait
   * for a boot nor start on a spot instance.
   */
  private demand(bootMs: number): Map<string, ClassDemand> {
    const classes = new Map<string, ClassDemand & { readyAt: number }>();
    for (const job of this.jobs.values()) {
      const { spec, readyAt } = job;
      if (job.phase !== 'open' || readyAt === null || !this.cannotWaitForBoot(job, bootMs))
        continue;
      const known = classes.get(spec.jobClass);
      const tasks = (known?.tasks ?? 0) + spec.tasks - job.doneCount;
      const newest = known && known.readyAt >= readyAt ? known : { spec, readyAt };
      classes.set(spec.jobClass, { ...newest, tasks });
    }
    return classes;
  }

  private cannotWaitForBoot({ spec }: Job, bootMs: number): boolean {
    if (spec.spot || spec.need.gpus === 0 || spec.priority > Priority.High) return false;
    const { objectives } = this.settings;
    return objectives.some(
      ({ kind, jobClass, withinMs }) =>
        kind === 'wait' &&
        jobClass === spec.jobClass &&
        withinMs !== null &&
        withinMs < bootMs * MAX_WAIT_BOOTS,
    );
  }
}
