/** Replaces the replicas of one service with those of another in steps, without losing capacity. */
export { RolloutApi } from './api.js';
export type { LeadingRollouts } from './rollout-view.js';
export { ROLLOUT_KEYS } from './keys.js';
export { LeaderRollouts } from './leader-rollouts.js';
export type {
  ProbeSettings,
  Replica,
  ReplicaProbe,
  RolloutPorts,
  ScheduledJob,
  SchedulerPort,
  ServiceJob,
} from './ports.js';
export {
  AddressTemplate,
  InvalidTemplateError,
  HttpReplicaProbe,
  type ProbeTransport,
} from './http-probe.js';
export { rolloutRoutes } from './routes.js';
