/** Adapts the controller to the ports that keeping an extension's records needs. */
import type { RecordPorts } from '@leverhatch/core/fenced-records';
import type { ControllerHost } from './extension.js';

/** Interval between the steps of an extension, relative to the heartbeat interval. */
const STEP_INTERVAL_RATIO = 1 / 2;

/** Store, clock, random, log and step interval (in milliseconds) for the records of an extension. */
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
