import type { Job } from '../../jobs/tracked-job.js';
import { Priority } from '../../jobs/job.js';
import {
  DemandForecast,
  type ClassDemand,
  type ExpectedTasks,
} from '../../scheduler/demand-forecast.js';
import type { Settings } from '../../settings/deploy.js';

/** Which work the leader expects to come before a machine that is rented now could be up. */
export class ExpectedDemand {
  private readonly forecast = new DemandForecast();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly settings: Settings,
  ) {}

  /** Notes what is open now, and answers what is expected. */
  observe(now: number, bootMs: number): ExpectedTasks[] {
    this.forecast.observe(now, bootMs, () => this.demand(bootMs));
    return this.forecast.expected();
  }

  /** Open tasks of the classes that cannot wait for a boot, nor begin on a cheap machine. */
  private demand(bootMs: number): Map<string, ClassDemand> {
    const classes = new Map<string, ClassDemand & { readyAt: number }>();
    for (const job of this.jobs.values()) {
      const { spec, readyAt } = job;
      if (job.phase !== 'open' || readyAt === null || !this.isPressing(job, bootMs)) continue;
      const known = classes.get(spec.jobClass);
      const tasks = (known?.tasks ?? 0) + spec.tasks - job.doneCount;
      const newest = known && known.readyAt >= readyAt ? known : { spec, readyAt };
      classes.set(spec.jobClass, { ...newest, tasks });
    }
    return classes;
  }

  private isPressing({ spec }: Job, bootMs: number): boolean {
    if (spec.spot || spec.need.gpus === 0 || spec.priority > Priority.High) return false;
    const { objectives } = this.settings;
    return objectives.some(
      ({ kind, jobClass, withinMs }) =>
        kind === 'wait' && jobClass === spec.jobClass && withinMs !== null && withinMs < bootMs * 2,
    );
  }
}
