export { Controller, type Links } from './control/controller.js';
export { httpTransport, NoAnswer, type Reply, type Transport } from './http/client.js';
export { createApp, listen } from './http/server.js';
export { systemClock, type Clock } from '@leverhatch/core/clock';
export type { Runtime } from '@leverhatch/core/duty';
export type { Logger } from '@leverhatch/core/log';
export { createLogger } from './runtime/log.js';
export { systemRandom, type Random } from '@leverhatch/core/random';
export { loadDeploy, parseDeploy, type Settings } from './settings/deploy.js';
export { SettingsError } from './settings/error.js';
export {
  loadOperator,
  OPERATOR_DEFAULTS,
  parseOperator,
  type Operator,
} from './settings/operator.js';
