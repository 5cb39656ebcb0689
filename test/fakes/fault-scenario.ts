import { test } from 'node:test';
import type { Settings } from '../../src/settings/deploy.js';
import { SimulatedCluster, type MachineTemplate } from './simulated-cluster.js';

/** A short scenario in which two or more faults overlap. */
export interface FaultScenario {
  name: string;
  /** Defaults to four machines in two zones. */
  machines?: MachineTemplate[];
  /** Defaults to three. */
  controllers?: 2 | 3;
  /** Runs the scenario once per seed, with different timing; defaults to 1 and 2. */
  seeds?: number[];
  /** Store settings that differ from the sample. */
  state?: Partial<Settings['state']>;
  /** Prepares the cluster before any controller starts. */
  prepare?(cluster: SimulatedCluster): void;
  run(cluster: SimulatedCluster, seed: number): Promise<void>;
}

export const machines = (zones: string): MachineTemplate[] => [...zones].map((yard) => ({ yard }));

/**
 * Runs each scenario under the rule checker while users keep querying their jobs. Once the faults
 * are over, every job that was accepted and not cancelled must end or run.
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
        scenario.prepare?.(simulatedCluster);
        await simulatedCluster.start();
        void simulatedCluster.startQueries();
        try {
          await scenario.run(simulatedCluster, seed);
          await simulatedCluster.waitUntilSettled();
        } catch (error) {
          // A rule violation says more than the error that followed from it.
          await simulatedCluster.close();
          throw error;
        }
        await simulatedCluster.close();
      });
    }
  }
}
