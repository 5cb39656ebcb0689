import type { Settings } from '../../src/settings/deploy.js';
import { settings } from './sample-settings.js';

/** The deployment settings that scenarios vary: controllers, zones, timing and limits. */
export interface DeploymentShape {
  /** The zone of each controller. */
  controllers: readonly string[];
  zones: readonly string[];
  workers: Settings['workers'];
  state: Partial<Settings['state']>;
  machine: Settings['machine'];
  /** Objectives per job class; defaults to those of the sample settings. */
  objectives?: Settings['objectives'];
}

const sample = settings();

/** The sample settings with two or three controllers, the second of them in zone b. */
export function sampleShape(
  controllers: 2 | 3,
  state: Partial<Settings['state']> = {},
): DeploymentShape {
  const { zones, workers, machine } = sample;
  return { controllers: ['a', 'b', 'a'].slice(0, controllers), zones, workers, state, machine };
}

/** Five controllers in three zones, with rare heartbeats, long leases, little CPU, small limits. */
export const THREE_ZONES: DeploymentShape = {
  controllers: ['a', 'b', 'c', 'a', 'b'],
  zones: ['a', 'b', 'c'],
  workers: { ...sample.workers, heartbeatIntervalMs: 2000, leaseMs: 16_000, cancelMs: 46_000 },
  state: { rps: 100, writeRps: 30, valueBytes: 32 * 1024, txnOps: 12 },
  machine: { ...sample.machine, coreShare: 0.085, sockets: 600 },
};
