import { test } from 'node:test';
import type { Settings } from '../../src/settings/deploy.js';
import { SimulatedCluster, type MachineWish } from './simulated-cluster.js';

/** Two faults or more that meet, as a short scenario. */
export interface FaultScenario {
  name: string;
  /** Four machines in two zones unless it says otherwise. */
  machines?: MachineWish[];
  /** Three unless it says otherwise. */
  controllers?: 2 | 3;
  /** For each of them it is played once, at other moments. */
  seeds?: number[];
  /** What the settings say of the store, where it differs from the sample. */
  state?: Partial<Settings['state']>;
  /** What is so before any controller starts. */
  before?(cluster: SimulatedCluster): void;
  play(cluster: SimulatedCluster, seed: number): Promise<void>;
}

export const machines = (zones: string): MachineWish[] => [...zones].map((yard) => ({ yard }));

/**
 * Plays each meeting under the checker of all rules, with users that ask for their jobs all the
 * while. When its faults are over, whatever was accepted and not cancelled has to run.
 */
export function runScenarios(meetings: FaultScenario[]): void {
  for (const meeting of meetings) {
    for (const seed of meeting.seeds ?? [1, 2]) {
      test(`${meeting.name} (seed ${seed})`, async () => {
        const simulatedCluster = new SimulatedCluster(
          meeting.machines ?? machines('aabb'),
          meeting.controllers ?? 3,
          seed,
          meeting.state,
        );
        meeting.before?.(simulatedCluster);
        await simulatedCluster.start();
        void simulatedCluster.keepAsking();
        try {
          await meeting.play(simulatedCluster, seed);
          await simulatedCluster.settle();
        } catch (error) {
          // A broken rule says more than what it led to.
          await simulatedCluster.close();
          throw error;
        }
        await simulatedCluster.close();
      });
    }
  }
}
