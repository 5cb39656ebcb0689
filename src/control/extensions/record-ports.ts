/** Adapts the controller to the ports required by an extension's record repository. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';
import type { ControllerHost } from './extension.js';

/** Interval between the steps of an extension as a share of the heartbeat interval. */
const STEP_INTERVAL_RATIO = 1 / 2;

/** The ports for the records of an extension. */
export function recordPorts({ store, runtime, settings }: ControllerHost): RecordPorts {
  const { clock, random, log } = runtime;
  return {
    store,
    clock,
    random,
    log,
    stepIntervalMs: settings.workers.heartbeatIntervalMs * STEP_INTERVAL_RATIO,
  };
}
