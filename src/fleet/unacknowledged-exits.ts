/** Exits on one machine that the store does not have yet. */

/**
 * The exited attempts whose exit is not in the store, which the worker must keep. A task has at most one:
 * its next attempt starts only after the record of its job is stored, and with it the exit.
 */
export class UnacknowledgedExits {
  /** The attempt by job and task. */
  private readonly attemptsByJob = new Map<string, Map<number, number>>();

  add(job: string, task: number, attempt: number): void {
    let attempts = this.attemptsByJob.get(job);
    if (!attempts) this.attemptsByJob.set(job, (attempts = new Map<number, number>()));
    attempts.set(task, attempt);
  }

  has(job: string, task: number, attempt: number): boolean {
    return this.attemptsByJob.get(job)?.get(task) === attempt;
  }

  delete(job: string, task: number, attempt: number): void {
    const attempts = this.attemptsByJob.get(job);
    if (attempts?.get(task) !== attempt) return;
    attempts.delete(task);
    if (attempts.size === 0) this.attemptsByJob.delete(job);
  }

  clear(): void {
    this.attemptsByJob.clear();
  }
}
