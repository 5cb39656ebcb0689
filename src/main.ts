/** Entry point of the controller process. Exit codes: 0, 1 (failure), 2 (invalid settings). */
import { setMaxListeners } from 'node:events';
import type { Logger } from '@leverhatch/core/log';
import { Controller, type ControllerDependencies } from './control/controller.js';
import { httpTransport, httpTransportFactory } from './http/client.js';
import { listen } from './http/server.js';
import { systemClock } from '@leverhatch/core/clock';
import { TcpPeerTransport } from './peer/peer-transport.js';
import { createLogger } from './runtime/log.js';
import { systemRandom } from '@leverhatch/core/random';
import { parseArguments } from './settings/cli.js';
import { loadSettings, type Settings } from './settings/deploy.js';
import { SettingsError } from './settings/error.js';
import {
  loadOperatorSettings,
  OPERATOR_DEFAULTS,
  type OperatorSettings,
} from './settings/operator.js';
import { loadExtensions, type LoadedExtensions } from './settings/extensions.js';
import { VERSION } from './version.js';

/**
 * The fraction of connections reserved for workers, health checks and one response to each excess user.
 */
const CONNECTIONS_RESERVE_RATIO = 0.1;

/** The maximum response of an external service, in bytes for each MB of memory: one sixteenth of it. */
const RESPONSE_BYTES_PER_MB = (1024 * 1024) / 16;

/** The interval between connection attempts to a peer is the heartbeat interval divided by this. */
const PEER_RETRY_DIVISOR = 4;

/** The number of listeners: the public one and the one for peers. */
const LISTENERS = 2;

/** The division of the machine's connections by purpose. */
interface ConnectionBudget {
  store: number;
  cloud: number;
  workers: number;
  /** Connections opened by workers, users and health checks. */
  inbound: number;
}

function planConnections(settings: Settings, extensionSockets: number): ConnectionBudget {
  const { sockets } = settings.machine;
  const store = Math.max(4, Math.floor(sockets / 20));
  const workers = Math.max(4, Math.floor(sockets / 20));
  const cloud = Math.max(2, Math.ceil(settings.cloud.rps / 2));
  // There is one connection in each direction for every peer.
  const peers = 2 * settings.peers.length;
  const nonInbound = store + cloud + workers + peers + LISTENERS + extensionSockets;
  const reserve = Math.ceil(sockets * CONNECTIONS_RESERVE_RATIO);
  return { store, cloud, workers, inbound: Math.max(1, sockets - nonInbound - reserve) };
}

function createTransports(
  settings: Settings,
  budget: ConnectionBudget,
): Pick<ControllerDependencies, 'store' | 'cloud' | 'workers'> {
  const maxResponseBytes = settings.machine.memoryMb * RESPONSE_BYTES_PER_MB;
  return {
    store: httpTransport(settings.stateAddress, { sockets: budget.store, maxResponseBytes }),
    cloud: httpTransport(settings.cloudAddress, { sockets: budget.cloud, maxResponseBytes }),
    workers: httpTransportFactory({ sockets: budget.workers, maxResponseBytes }),
  };
}

/** Creates a signal that is aborted when the platform asks the process to terminate. */
function createShutdownSignal(): AbortSignal {
  const shutdown = new AbortController();
  // Every background task of the controller adds a listener, so the default limit would be exceeded.
  setMaxListeners(0, shutdown.signal);
  for (const name of ['SIGINT', 'SIGTERM'] as const) {
    process.once(name, () => shutdown.abort(new Error(name)));
  }
  return shutdown.signal;
}

/** Runs the controller until the process is asked to terminate. */
async function run(
  settings: Settings,
  operator: OperatorSettings,
  operatorFile: string,
): Promise<void> {
  const log = createLogger(process.env.LOG_LEVEL, settings.member, settings.machine.memoryMb);
  const runtime = { clock: systemClock, random: systemRandom(), log, startedAt: 0 };
  const signal = createShutdownSignal();
  const peerRetryMs = settings.workers.heartbeatIntervalMs / PEER_RETRY_DIVISOR;
  const peerTransport = new TcpPeerTransport(settings, runtime, peerRetryMs);
  const extensions = await loadExtensions(operator, operatorFile);
  const budget = planConnections(settings, extensions?.sockets ?? 0);
  const controller = new Controller(settings, operator, runtime, {
    peerTransport,
    ...createTransports(settings, budget),
    extensions: extensions?.create ?? [],
  });
  const limits = { connections: budget.inbound, workerIdleMs: settings.workers.leaseMs };
  await listen(controller, log, settings.publicAddress, limits, signal);
  log.info({ address: settings.publicAddress }, 'listening');
  if (extensions) await listenToOperators(controller, extensions, log, signal);
  await Promise.all([controller.run(signal), peerTransport.run(signal)]);
}

async function listenToOperators(
  controller: Controller,
  extensions: LoadedExtensions,
  log: Logger,
  signal: AbortSignal,
): Promise<void> {
  const { address, allowed } = extensions.listener;
  const { listenForOperators } = await import('@leverhatch/operators/listener');
  const routes = controller.extensions.map((extension) => extension.routes);
  await listenForOperators(routes, allowed, address, log, signal);
  log.info({ address }, 'listening for operators');
}

async function main(): Promise<void> {
  const args = parseArguments(process.argv, VERSION);
  if (typeof args === 'number') {
    process.exitCode = args;
    return;
  }
  const settings = loadSettings(args.config);
  const operator = args.operator === null ? OPERATOR_DEFAULTS : loadOperatorSettings(args.operator);
  const operatorFile = args.operator ?? '';
  if (args.check) {
    await loadExtensions(operator, operatorFile);
    return;
  }
  await run(settings, operator, operatorFile);
  process.exit(0);
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(error instanceof SettingsError ? 2 : 1);
});
