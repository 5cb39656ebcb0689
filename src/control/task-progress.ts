import type { Job, Placement } from '../jobs/tracked-job.js';
import type { ExitWhy } from '../wire/report.js';
import type { Leader } from './leader.js';

/** What it means for a job that one of its tasks runs, has ended or is proven gone. */
export class TaskProgress {
  constructor(private readonly leader: Leader) {}

  onRunning(p: Placement): void {
    p.runningSince = this.leader.now;
    const { job } = p;
    job.failures.running(0);
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
      job.failures.completed();
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
    const { now } = this.leader;
    const { failures } = p.job;
    const ranMs = p.runningSince === null ? 0 : now - p.runningSince;
    const failed = why === 'error';
    failures.record({ machine: failed ? p.machine : null, ranMs, now });
    if (failed) this.leader.fleet.machines.get(p.machine)?.failed(failures);
  }

  /** A job whose tasks failed is sound if others of its tasks run for longer than those did. */
  judge(job: Job, now: number): void {
    if (!job.failures.undecided) return;
    if (job.placements.size === 0) job.failures.untried(now);
    for (const p of job.placements.values()) {
      if (p.state === 'running' && p.runningSince !== null) {
        job.failures.running(now - p.runningSince);
      }
    }
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
