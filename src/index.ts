/** Public interface of the scheduler as a library. */
export { Controller, type ControllerDependencies } from './control/controller.js';
export { httpTransport, NoResponseError, type Reply, type Transport } from './http/client.js';
export { createApp, listen } from './http/server.js';
export { systemClock, type Clock } from '@leverhatch/core/clock';
export type { Runtime } from '@leverhatch/core/supervised-task';
export type { Logger } from '@leverhatch/core/log';
export { createLogger } from './runtime/log.js';
export { systemRandom, type Random } from '@leverhatch/core/random';
export { loadSettings, parseSettings, type Settings } from './settings/deploy.js';
export { SettingsError } from './settings/error.js';
export {
  loadOperatorSettings,
  OPERATOR_DEFAULTS,
  parseOperatorSettings,
  type OperatorSettings,
} from './settings/operator.js';
