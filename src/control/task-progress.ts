import type { Job, Placement } from '../jobs/tracked-job.js';
import type { ExitWhy } from '../wire/report.js';
import type { Leader } from './leader.js';

/** How often the pause after a failure is doubled at most; it begins with two report intervals. */
const MOST_PAUSE_DOUBLINGS = 4;

/** What it means for a job that one of its tasks runs, has ended or is proven gone. */
export class TaskProgress {
  constructor(private readonly leader: Leader) {}

  onRunning(p: Placement): void {
    p.runningSince = this.leader.now;
    const { job } = p;
    job.failures = 0;
    if (job.gang && job.gang.phase === 'placed') {
      let ready = job.doneCount;
      for (const other of job.placements.values()) {
        if (other.state === 'running' && !job.isDone(other.task)) ready++;
      }
      if (ready >= job.spec.tasks) {
        job.gang.phase = 'started';
        job.gang.holdsGate = false;
        job.gang.suspensions = 0;
        job.touch(0);
        this.leader.ledger.flush(job);
        this.leader.touch();
      }
    }
  }

  onExited(p: Placement, why: ExitWhy, saved: boolean): void {
    const { job } = p;
    job.placements.delete(p.task);
    job.exited.push(p);
    job.touch(p.task);
    if (why === 'done') {
      // The tasks of a gang complete together.
      if (job.gang) for (let t = 0; t < job.spec.tasks; t++) job.markDone(t);
      else job.markDone(p.task);
    } else if (why === 'error' || why === 'no_room' || why === 'unknown' || why === 'busy') {
      this.onFailure(p, why);
    }
    this.leader.parts.runtime.log.debug(
      { task: `${job.id}/${p.task}`, attempt: p.attempt, machine: p.machine, why, saved },
      'task ended',
    );
    this.afterEnd(job);
  }

  private onFailure(p: Placement, why: ExitWhy): void {
    const { job } = p;
    const { now } = this.leader;
    // What fails during the pause was started before it, as by tasks that share a faulty machine: it
    // is one failure, or the rest of the job would wait for long beside machines that are sound.
    if (now >= job.retryAt) {
      job.failures++;
      const doublings = Math.min(job.failures, MOST_PAUSE_DOUBLINGS);
      job.retryAt = now + this.leader.parts.settings.workers.reportMs * 2 ** doublings;
    }
    if (why !== 'error') return;
    const m = this.leader.fleet.machines.get(p.machine);
    // One job that fails everywhere must not give every machine a bad name: it counts once each.
    m?.failedJobs.add(job.id);
    job.failedOn.add(p.machine);
    if (job.failedOn.size > 3) job.failedOn.clear();
  }

  onLost(p: Placement): void {
    const { job } = p;
    job.placements.delete(p.task);
    job.touch(p.task);
    this.leader.parts.runtime.log.debug(
      { task: `${job.id}/${p.task}`, attempt: p.attempt, machine: p.machine },
      'task gone',
    );
    this.afterEnd(job);
  }

  private afterEnd(job: Job): void {
    if (job.phase === 'open' && job.complete) {
      job.phase = 'done';
      job.phaseStored = false;
    }
    if (job.gang && job.phase === 'open')
      this.leader.gate.broken(job, (grace) => this.leader.stops.stopAll(job, grace));
    this.leader.ledger.flushEnds(job);
    this.leader.touch();
  }
}
