import { test } from 'node:test';
import type { Settings } from '../../src/settings/deploy.js';
import { SimulatedCluster, type MachineTemplate } from './simulated-cluster.js';

/** Two faults or more that meet, as a short scenario. */
export interface FaultScenario {
  name: string;
  /** Four machines in two zones unless it says otherwise. */
  machines?: MachineTemplate[];
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

export const machines = (zones: string): MachineTemplate[] => [...zones].map((yard) => ({ yard }));

/**
 * Plays each meeting under the checker of all rules, with users that ask for their jobs all the
 * while. When its faults are over, whatever was accepted and not cancelled has to run.
 */
export function runScenarios(scenarios: FaultScenario[]): void {
  for (const scenario of scenarios) {
    for (const seed of scenario.seeds ?? [1, 2]) {
      test(`${scenario.name} (seed ${seed})`, async () => {
        const simulatedCluster = new SimulatedCluster(
          scenario.machines ?? machines('aabb'),
          scenario.controllers ?? 3,
          seed,
          scenario.state,
        );
        scenario.before?.(simulatedCluster);
        await simulatedCluster.start();
        void simulatedCluster.keepAsking();
        try {
          await scenario.play(simulatedCluster, seed);
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
