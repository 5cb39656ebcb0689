/** How starts of tasks stand in run records, whose layouts `run-layout.ts` explains. */

import type { RangedRunRecord, RunRecord } from './records.js';

/** What a record keeps of a start. */
export interface RecordedStart {
  task: number;
  attempt: number;
  machine: string;
  agentEpoch: number;
  zone: string;
}

/** An indexed record has an entry for each start. */
export function placedByTask(starts: RecordedStart[]): RunRecord['placed'] {
  return starts.map(({ task, attempt, machine, agentEpoch, zone }) => {
    return [task, attempt, machine, agentEpoch, zone];
  });
}

/** In a ranged record, starts of one attempt on one machine share an entry. */
export function placedByMachine(starts: RecordedStart[]): RangedRunRecord['placed'] {
  const entries = new Map<string, RangedRunRecord['placed'][number]>();
  for (const { task, attempt, machine, agentEpoch, zone } of starts) {
    const key = `${machine}|${agentEpoch}|${attempt}|${zone}`;
    const entry = entries.get(key);
    if (entry) entry[4].push(task);
    else entries.set(key, [machine, agentEpoch, zone, attempt, [task]]);
  }
  return [...entries.values()];
}

/** The starts that an indexed record holds. */
export function* startsByTask({ placed }: RunRecord): Iterable<RecordedStart> {
  for (const [task, attempt, machine, agentEpoch, zone] of placed) {
    yield { task, attempt, machine, agentEpoch, zone };
  }
}

/** The starts that a ranged record holds. */
export function* startsByMachine({ placed }: RangedRunRecord): Iterable<RecordedStart> {
  for (const [machine, agentEpoch, zone, attempt, tasks] of placed) {
    for (const task of tasks) yield { task, attempt, machine, agentEpoch, zone };
  }
}

/**
 * The tasks that an indexed record says something of; of a range of completed ones the two bounds.
 */
export function* tasksNamed({ done, placed }: RunRecord): Iterable<number> {
  for (const bounds of done) yield* bounds;
  for (const [task] of placed) yield task;
}
