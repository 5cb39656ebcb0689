import type { Job } from '../jobs/tracked-job.js';
import { Priority } from '../jobs/job.js';
import {
  DemandForecast,
  type ClassDemand,
  type ExpectedTasks,
} from '../scheduler/demand-forecast.js';
import type { Settings } from '../settings/deploy.js';

/** Which work the leader expects to come before a machine that is rented now could be up. */
export class ExpectedDemand {
  private readonly forecast = new DemandForecast();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly settings: Settings,
  ) {}

  /** Notes what is open now, and answers what is expected. */
  observe(now: number, bootMs: number): ExpectedTasks[] {
    const demand = this.demand(bootMs);
    this.forecast.observe(now, bootMs, demand);
    return this.forecast.expected(demand);
  }

  /** Open tasks of the classes that cannot wait for a boot, nor begin on a cheap machine. */
  private demand(bootMs: number): Map<string, ClassDemand> {
    const classes = new Map<string, ClassDemand>();
    for (const job of this.jobs.values()) {
      const { spec } = job;
      if (job.phase !== 'open' || job.readyAt === null || !this.isPressing(job, bootMs)) continue;
      const tasks = spec.tasks - job.doneCount;
      const known = classes.get(spec.jobClass);
      if (known) known.tasks += tasks;
      else classes.set(spec.jobClass, { spec, tasks });
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
