import type { LeaderParts } from '../../src/control/leader-parts.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** The parts of a cluster's leader; null if there is none that has read the records. */
export function recoveredLeaderOf(cluster: SimulatedCluster): LeaderParts | null {
  const controller = cluster.nodes[cluster.leader]?.controller ?? null;
  const { leader } = (controller ?? {}) as { leader?: { parts: LeaderParts } | null };
  return leader?.parts.jobRecords.isRecovered ? leader.parts : null;
}

/** The parts of a cluster's present leader, for tests that look into its state. */
export function leaderOf(cluster: SimulatedCluster): LeaderParts {
  const { controller } = cluster.nodes[cluster.leader]!;
  return (controller as unknown as { leader: { parts: LeaderParts } }).leader.parts;
}
