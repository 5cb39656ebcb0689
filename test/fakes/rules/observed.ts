import type { Amounts, JobRequest } from '../job-request.js';
import type {
  CheckerOptions,
  JobHistory,
  ObservedMachine,
  Rule,
  ObservedTask,
  Violation,
} from './model.js';

/** All observations so far, which every rule reads, and the violations found in them. */
export class ObservedState {
  readonly violations: Violation[] = [];
  /** Since when there have been no faults; null while there are. */
  faultFreeSince: number | null = null;
  private readonly jobs = new Map<string, JobHistory>();
  private readonly reported = new Set<string>();

  constructor(readonly options: CheckerOptions) {}

  get now(): number {
    return this.options.now();
  }

  /** The histories of all jobs that any request or task has named. */
  jobHistories(): Iterable<JobHistory> {
    return this.jobs.values();
  }

  /** The accepted, or else the last well-formed submission; null if there was none. */
  private submissionOf(ref: string): JobRequest | null {
    return this.jobs.get(ref)?.request ?? null;
  }

  job(ref: string): JobHistory {
    let job = this.jobs.get(ref);
    if (!job) {
      job = {
        ref,
        request: null,
        hasValidSubmission: false,
        firstSubmittedAt: Infinity,
        cancelRequestedAt: Infinity,
        acceptedAt: null,
        final: null,
        completed: new Set(),
        doneBeforeStart: false,
        unansweredSince: null,
        placeableSince: null,
      };
      this.jobs.set(ref, job);
    }
    return job;
  }

  /** Records a violation; the same one is recorded only the first time. */
  report(rule: Rule, what: string): void {
    if (this.reported.has(`${rule} ${what}`)) return;
    this.reported.add(`${rule} ${what}`);
    this.violations.push({ rule, at: this.now, what });
  }

  // ---- pipelines

  dependenciesOf(job: JobHistory): JobHistory[] {
    return (job.request?.waitsOn ?? []).map((ref) => this.job(ref));
  }

  /** All direct and indirect dependencies of a job. */
  allDependenciesOf(job: JobHistory): readonly JobHistory[] {
    if (!job.request || job.request.waitsOn.length === 0) return NO_JOBS;
    const found = new Set<JobHistory>();
    const add = (j: JobHistory): void => {
      for (const other of this.dependenciesOf(j)) {
        if (found.has(other)) continue;
        found.add(other);
        add(other);
      }
    };
    add(job);
    return [...found];
  }

  // ---- machines

  /** The tasks of a job in each zone, as far as `counts` includes them. */
  zonesOf(
    machines: ObservedMachine[],
    job: string,
    counts: (t: ObservedTask) => boolean,
  ): Map<string, Set<number>> {
    const zones = new Map<string, Set<number>>();
    for (const machine of machines) {
      for (const task of machine.tasks) {
        if (task.job !== job || !counts(task)) continue;
        const here = zones.get(machine.zone);
        if (here) here.add(task.task);
        else zones.set(machine.zone, new Set([task.task]));
      }
    }
    return zones;
  }

  /** The total resources of each team's tasks, as far as `counts` includes them. */
  usedByTeam(
    machines: ObservedMachine[],
    counts: (t: ObservedTask) => boolean,
  ): Map<string, Amounts> {
    const teams = new Map<string, Amounts>();
    for (const machine of machines) {
      for (const task of machine.tasks) {
        const request = this.submissionOf(task.job);
        if (!request || !counts(task)) continue;
        const used = teams.get(request.crew) ?? { cpus: 0, gpus: 0 };
        used.cpus += request.vcpus;
        used.gpus += request.gpus;
        teams.set(request.crew, used);
      }
    }
    return teams;
  }

  /** The free capacity of a machine; negative if it is overcommitted. */
  freeCapacity(machine: ObservedMachine): { cpus: number; gpus: number; memoryGb: number } {
    const free = { ...this.options.fleet.types.get(machine.type)!.room };
    for (const task of machine.tasks) {
      const request = this.submissionOf(task.job);
      if (!request) continue;
      free.cpus -= request.vcpus;
      free.gpus -= request.gpus;
      free.memoryGb -= request.memoryGb;
    }
    return free;
  }
}

const NO_JOBS: readonly JobHistory[] = [];
