import type { Settings } from '../../src/settings/deploy.js';
import { settings } from './sample-settings.js';

/** How a scenario's deployment differs from the sample: its controllers, its zones and its timing. */
export interface DeploymentShape {
  /** The zone of each controller. */
  controllers: readonly string[];
  zones: readonly string[];
  workers: Settings['workers'];
  state: Partial<Settings['state']>;
  machine: Settings['machine'];
  /** What operators want of job classes; without it as in the sample. */
  objectives?: Settings['objectives'];
}

const sample = settings();

/** The sample with two or three controllers; the second one is in zone b. */
export function sampleShape(
  controllers: 2 | 3,
  state: Partial<Settings['state']> = {},
): DeploymentShape {
  const { zones, workers, machine } = sample;
  return { controllers: ['a', 'b', 'a'].slice(0, controllers), zones, workers, state, machine };
}

/** Five controllers in three zones, with slow reports, long leases, little processor time and small limits. */
export const THREE_ZONES: DeploymentShape = {
  controllers: ['a', 'b', 'c', 'a', 'b'],
  zones: ['a', 'b', 'c'],
  workers: { ...sample.workers, heartbeatIntervalMs: 2000, leaseMs: 16_000, cancelMs: 46_000 },
  state: { rps: 100, writeRps: 30, valueBytes: 32 * 1024, txnOps: 12 },
  machine: { ...sample.machine, coreShare: 0.085, sockets: 600 },
};
