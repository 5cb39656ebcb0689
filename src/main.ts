import { setMaxListeners } from 'node:events';
import { Controller } from './control/controller.js';
import { httpTransport, httpTransportFactory } from './http/client.js';
import { listen } from './http/server.js';
import { systemClock } from '@leverhatch/core/clock';
import { TcpPeerTransport } from './peer/peer-transport.js';
import { createLogger } from './runtime/log.js';
import { systemRandom } from '@leverhatch/core/random';
import { parseArguments } from './settings/cli.js';
import { loadSettings } from './settings/deploy.js';
import { SettingsError } from './settings/error.js';
import { loadOperatorSettings, OPERATOR_DEFAULTS } from './settings/operator.js';
import { loadExtensions } from './settings/extensions.js';
import { VERSION } from './version.js';

/** Whoever comes while users take all other connections: workers, probes, and users for one answer. */
const CONNECTIONS_RESERVE = 0.1;

/** One answer may take this share of the memory: a sixteenth. */
const ANSWER_BYTES_PER_MB = (1024 * 1024) / 16;

async function main(): Promise<void> {
  const args = parseArguments(process.argv, VERSION);
  if (typeof args === 'number') {
    process.exitCode = args;
    return;
  }
  const settings = loadSettings(args.config);
  const operator = args.operator === null ? OPERATOR_DEFAULTS : loadOperatorSettings(args.operator);
  if (args.check) return void (await loadExtensions(operator, args.operator ?? ''));

  const log = createLogger(process.env.LOG_LEVEL, settings.member, settings.machine.memoryMb);
  const runtime = { clock: systemClock, random: systemRandom(), log, startedAt: 0 };
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  for (const name of ['SIGINT', 'SIGTERM'] as const) {
    process.once(name, () => stop.abort(new Error(name)));
  }
  const { sockets, memoryMb } = settings.machine;
  const maxResponseBytes = memoryMb * ANSWER_BYTES_PER_MB;
  const toStore = Math.max(4, Math.floor(sockets / 20));
  const toWorkers = Math.max(4, Math.floor(sockets / 20));
  const toCloud = Math.max(2, Math.ceil(settings.cloud.rps / 2));
  const peerTransport = new TcpPeerTransport(
    settings,
    runtime,
    settings.workers.heartbeatIntervalMs / 4,
  );
  const extensions = await loadExtensions(operator, args.operator ?? '');
  const controller = new Controller(settings, operator, runtime, {
    peerTransport,
    store: httpTransport(settings.stateAddress, {
      sockets: toStore,
      maxResponseBytes,
    }),
    cloud: httpTransport(settings.cloudAddress, {
      sockets: toCloud,
      maxResponseBytes,
    }),
    workers: httpTransportFactory({ sockets: toWorkers, maxResponseBytes }),
    extensions: extensions?.create ?? [],
  });
  // Two listeners, and a connection each way for every peer.
  const optional = extensions?.sockets ?? 0;
  const own = toStore + toCloud + toWorkers + 2 * settings.peers.length + 2 + optional;
  const reserve = Math.ceil(sockets * CONNECTIONS_RESERVE);
  const limits = {
    connections: Math.max(1, sockets - own - reserve),
    workerIdleMs: settings.workers.leaseMs,
  };
  await listen(controller, log, settings.publicAddress, limits, stop.signal);
  log.info({ address: settings.publicAddress }, 'listening');
  if (extensions) {
    const { address, allowed } = extensions.listener;
    const { listenForOperators } = await import('@leverhatch/operators/listener');
    const routes = controller.extensions.map((extension) => extension.routes);
    await listenForOperators(routes, allowed, address, log, stop.signal);
    log.info({ address }, 'listening for operators');
  }
  await Promise.all([controller.run(stop.signal), peerTransport.run(stop.signal)]);
  process.exit(0);
}

main().catch((error: unknown) => {
  if (error instanceof SettingsError) {
    process.stderr.write(`${error.message}\n`);
    process.exit(2);
  }
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(1);
});
