import type { Observable } from 'rxjs';
import type { Controller } from '../../src/control/controller.js';
import { NoResponseError, type Reply, type Transport } from '../../src/http/client.js';
import type { PeerTransport } from '../../src/peer/peer-transport.js';
import type { Settings } from '../../src/settings/deploy.js';
import type { ApiResponse } from '../../src/jobs/job-api.js';
import type { PeerMessage } from '../../src/peer/frames.js';
import type { FrameCodec, Program } from './program.js';

/** The versions from which upgrades to this tree are supported, by commit. */
export type Release = '78ff1b1' | '104c759';
export const RELEASES: readonly Release[] = ['78ff1b1', '104c759'];

/**
 * The parameters of the released constructors. These types are frozen with the bundles: when this
 * tree renames a field, the compiler reports that the adapter below must map it.
 */
interface ReleasedSettings {
  member: string;
  zone: string;
  publicAddress: string;
  peerAddress: string;
  peers: { member: string; zone: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  size: number;
  zones: string[];
  clockErrorMs: number;
  teams: Map<
    string,
    {
      name: string;
      guarantee: { cpus: number; gpus: number };
      limit: { cpus: number; gpus: number };
    }
  >;
  objectives: {
    kind: string;
    jobClass: string | null;
    withinMs: number | null;
    share: number | null;
    times: number;
  }[];
  workers: {
    reportMs: number;
    leaseMs: number;
    gangWaitMs: number;
    gangPeerMs: number;
    cancelMs: number;
  };
  state: {
    rps: number;
    writeRps: number;
    valueBytes: number;
    txnOps: number;
    next: { rps?: number; writeRps?: number; valueBytes?: number; txnOps?: number } | null;
  };
  cloud: { rps: number; listLagMs: number };
  machine: { coreShare: number; memoryMb: number; sockets: number };
}

interface ReleasedRuntime {
  clock: {
    now(): number;
    wall(): number;
    sleep(ms: number, signal?: AbortSignal): Promise<void>;
  };
  random: { next(): number; unique(): string };
  log: object;
  startedAt: number;
}

interface ReleasedPeers {
  heard: Observable<{ from: string; message: PeerMessage }>;
  peers: string[];
  send(to: string, message: PeerMessage): void;
  startedAt(peer: string): number | null;
  lastHeardAt(peer: string): number | null;
}

interface ReleasedLinks {
  /** The peer transport, named `mesh` in 78ff1b1 and `peerTransport` in 104c759. */
  mesh: ReleasedPeers;
  peerTransport: ReleasedPeers;
  store: Transport;
  cloud: Transport;
  workers: (address: string) => Transport;
}

interface ReleasedJobApi {
  submit(body: unknown): Promise<ApiResponse>;
  query(id: string): Promise<ApiResponse>;
  abort(id: string): Promise<ApiResponse>;
  phaseOf(id: string): Promise<unknown>;
}

interface ReleasedController {
  run(signal: AbortSignal): Promise<void>;
  report(report: unknown): ReleasedOutcome | Promise<ReleasedOutcome>;
  ready(): boolean;
  /** The user API, named `desk` in 78ff1b1 and `jobApi` in 104c759. */
  desk?: ReleasedJobApi;
  jobApi?: ReleasedJobApi;
}

type ReleasedOutcome =
  | { kind: 'orders'; token: number; orders: unknown[] }
  | { kind: 'elsewhere'; leader: string | null };

/** The exports of a bundle that scripts/bundle-production.mjs makes of a version. */
interface Bundle extends FrameCodec {
  Controller: new (
    settings: ReleasedSettings,
    operator: unknown,
    runtime: ReleasedRuntime,
    links: ReleasedLinks,
  ) => ReleasedController;
  OPERATOR_DEFAULTS: unknown;
  NoAnswer: new (message: string) => Error;
  parseReport(body: unknown): object | null;
  reportAnswer(token: number, orders: unknown[]): object;
  redirectAnswer(leader: string | null): object;
  parseJob(value: unknown): { spec?: object; at?: number } | null;
  parseRental(value: unknown): object | null;
  /** How a leader restores jobs from run records; only in 104c759. */
  Job: new (id: string, spec: object, at: unknown, version: number, perRecord: number) => object;
  readRuns(
    entries: { key: string; value: unknown; version: number }[],
    jobOf: (id: string) => object | null,
  ): {
    runs: Map<
      { restore(stored: unknown, perRange: number, now: number, wall: number): void },
      unknown
    >;
    unreadable: { key: string }[];
  };
}

const FIXTURES = '../../../../test/fixtures/';

const load = async (release: Release): Promise<Bundle> =>
  (await import(new URL(`${FIXTURES}controllers/${release}.mjs`, import.meta.url).href)) as Bundle;

/** The bundles of the released versions. */
export const BUNDLES: Record<Release, Bundle> = {
  '78ff1b1': await load('78ff1b1'),
  '104c759': await load('104c759'),
};

function programOf(release: Release): Program {
  const bundle = BUNDLES[release];
  const { encode, Decoder, OPERATOR_DEFAULTS } = bundle;
  return {
    version: release,
    frames: { encode, Decoder },
    create: (settings, runtime, { peerTransport, store, cloud, workers }) => {
      const peers = releasedPeers(peerTransport);
      const controller = new bundle.Controller(
        releasedSettings(settings),
        OPERATOR_DEFAULTS,
        runtime,
        {
          mesh: peers,
          peerTransport: peers,
          store: withBundleErrors(store, bundle),
          cloud: withBundleErrors(cloud, bundle),
          workers: (address) => withBundleErrors(workers(address), bundle),
        },
      );
      const api = controller.jobApi ?? controller.desk!;
      const jobApi = {
        submit: (body: unknown) => api.submit(body),
        query: (id: string) => api.query(id),
        cancel: (id: string) => api.abort(id),
        phaseOf: (id: string) => api.phaseOf(id),
      };
      return Object.assign(controller, { jobApi }) as unknown as Controller;
    },
    answerReport: async (controller, body) => {
      const report = bundle.parseReport(body);
      if (!report) return { status: 400, body: {} };
      const outcome = await (controller as unknown as ReleasedController).report(report);
      return outcome.kind === 'orders'
        ? { status: 200, body: bundle.reportAnswer(outcome.token, outcome.orders) }
        : { status: 421, body: bundle.redirectAnswer(outcome.leader) };
    },
  };
}

/** Maps the settings to the names that the released versions use. */
function releasedSettings({ workers, objectives, ...settings }: Settings): ReleasedSettings {
  const { heartbeatIntervalMs, ...others } = workers;
  return {
    ...settings,
    workers: { ...others, reportMs: heartbeatIntervalMs },
    objectives: objectives.map(({ deadlineMultiple, ...objective }) => ({
      ...objective,
      times: deadlineMultiple,
    })),
  };
}

function releasedPeers(transport: PeerTransport): ReleasedPeers {
  return {
    heard: transport.messages,
    peers: transport.peers,
    send: (to, message) => transport.send(to, message),
    startedAt: (peer) => transport.startedAt(peer),
    lastHeardAt: (peer) => transport.lastHeardAt(peer),
  };
}

/** Maps the error for a missing response to the bundle's own error class. */
function withBundleErrors(link: Transport, bundle: Bundle): Transport {
  return {
    request: async (...args): Promise<Reply> => {
      try {
        return await link.request(...args);
      } catch (error) {
        throw error instanceof NoResponseError ? new bundle.NoAnswer(error.message) : error;
      }
    },
  };
}

/** The released versions as programs that scenarios can run. */
export const RELEASED: Record<Release, Program> = {
  '78ff1b1': programOf('78ff1b1'),
  '104c759': programOf('104c759'),
};
