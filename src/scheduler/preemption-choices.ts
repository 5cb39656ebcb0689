/** Choices of tasks to preempt, and their order. */
import TinyQueue from 'tinyqueue';
import type { MachineView, PreemptionCandidate } from './scheduling-model.js';

/** The tasks to preempt on a machine to free capacity for one task. */
export interface PreemptionChoice {
  machine: MachineView;
  candidates: PreemptionCandidate[];
  /** Sum of the tasks' lost run times in milliseconds, plus one per task. */
  loss: number;
}

/**
 * The choices of one job, by loss; of equal ones the one that was added first goes first. A priority
 * queue, because a job of 100,000 tasks may preempt several times on each of thousands of machines.
 */
export class PreemptionChoices {
  private added = 0;
  private readonly queue: TinyQueue<{ choice: PreemptionChoice; position: number }>;

  constructor(choices: PreemptionChoice[]) {
    this.queue = new TinyQueue(
      choices.map((choice) => ({ choice, position: this.added++ })),
      (a, b) => a.choice.loss - b.choice.loss || a.position - b.position,
    );
  }

  add(choice: PreemptionChoice): void {
    this.queue.push({ choice, position: this.added++ });
  }

  /** Removes and returns the choice with the smallest loss; null if there is none. */
  takeBest(): PreemptionChoice | null {
    return this.queue.pop()?.choice ?? null;
  }
}
