export { Controller, type Links } from './control/controller.js';
export { httpTransport, NoAnswer, type Reply, type Transport } from './http/client.js';
export { createApp, listen } from './http/server.js';
export { systemClock, type Clock } from './runtime/clock.js';
export type { Runtime } from './runtime/duty.js';
export { createLogger, type Logger } from './runtime/log.js';
export { systemRandom, type Random } from './runtime/random.js';
export { loadDeploy, parseDeploy, type Settings } from './settings/deploy.js';
export { SettingsError } from './settings/error.js';
export {
  loadOperator,
  OPERATOR_DEFAULTS,
  parseOperator,
  type Operator,
} from './settings/operator.js';
