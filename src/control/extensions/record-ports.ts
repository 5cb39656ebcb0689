import type { RecordPorts } from '@leverhatch/core/fenced-records';
import type { ControllerHost } from './extension.js';

/** How often a leader looks whether something of a part can go on, as a share of a report interval. */
const STEP_SHARE = 1 / 2;

/** What keeping the records of an optional part rests on. */
export function recordPorts({ store, runtime, settings }: ControllerHost): RecordPorts {
  const { clock, random, log } = runtime;
  return {
    store,
    clock,
    random,
    log,
    stepIntervalMs: settings.workers.heartbeatIntervalMs * STEP_SHARE,
  };
}
