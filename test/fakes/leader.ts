import type { LeaderParts } from '../../src/control/leader-parts.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The parts of a cluster's present leader, for tests that look into its state. */
export function leaderOf(cluster: SimulatedCluster): LeaderParts {
  const { controller } = cluster.nodes[cluster.leader]!;
  return (controller as unknown as { leader: { parts: LeaderParts } }).leader.parts;
}
