/** Encoding of placements in run records; `run-layout.ts` describes the layouts. */

import type { RangedRunRecord, RunRecord } from './records.js';

/** The stored part of a placement. */
export interface RecordedStart {
  task: number;
  attempt: number;
  machine: string;
  agentEpoch: number;
  zone: string;
}

/** Encodes placements for an indexed record, which has one entry per start. */
export function toIndexedEntries(starts: RecordedStart[]): RunRecord['placed'] {
  return starts.map(({ task, attempt, machine, agentEpoch, zone }) => {
    return [task, attempt, machine, agentEpoch, zone];
  });
}

/** Encodes placements for a ranged record: starts of one attempt on one machine share an entry. */
export function toRangedEntries(starts: RecordedStart[]): RangedRunRecord['placed'] {
  const entries = new Map<string, RangedRunRecord['placed'][number]>();
  for (const { task, attempt, machine, agentEpoch, zone } of starts) {
    const key = `${machine}|${agentEpoch}|${attempt}|${zone}`;
    const entry = entries.get(key);
    if (entry) entry[4].push(task);
    else entries.set(key, [machine, agentEpoch, zone, attempt, [task]]);
  }
  return [...entries.values()];
}

/** Decodes the placements in an indexed record. */
export function* startsInIndexedRecord({ placed }: RunRecord): Iterable<RecordedStart> {
  for (const [task, attempt, machine, agentEpoch, zone] of placed) {
    yield { task, attempt, machine, agentEpoch, zone };
  }
}

/** Decodes the placements in a ranged record. */
export function* startsInRangedRecord({ placed }: RangedRunRecord): Iterable<RecordedStart> {
  for (const [machine, agentEpoch, zone, attempt, tasks] of placed) {
    for (const task of tasks) yield { task, attempt, machine, agentEpoch, zone };
  }
}

/** Yields the tasks that an indexed record mentions; for a completed range only its two bounds. */
export function* mentionedTasks({ done, placed }: RunRecord): Iterable<number> {
  for (const bounds of done) yield* bounds;
  for (const [task] of placed) yield task;
}
