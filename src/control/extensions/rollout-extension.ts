/** Adapts `packages/rollout` to one controller: ports, operators' API and rollouts of each term. */
import type {
  ProbeSettings,
  ReplicaProbe,
  RolloutApi,
  RolloutPorts,
  ServiceJob,
} from '@leverhatch/rollout';
import type { OperatorRoutes } from '@leverhatch/operators/listener';
import { parseJob } from '../../jobs/records.js';
import { KEYS } from '../../state/keys.js';
import type { Store } from '../../state/store.js';
import type { ControllerHost, Extension, ExtensionHost, TermExtension } from './extension.js';
import { recordPorts } from './record-ports.js';
import { ServiceRollouts, type RolloutPackage } from './service-rollouts.js';

export type { RolloutPackage };

/** Options of a controller with rollouts enabled. */
export interface RolloutOptions {
  package: RolloutPackage;
  probe: ReplicaProbe;
  probing: ProbeSettings;
}

/** Store priority of reads for operators, the same as that of users' requests. */
const REQUEST_PRIORITY = 1;

/** Stepped rollouts of services in one controller. */
export class RolloutExtension implements Extension {
  readonly feature = 'rollout';
  /** The operators' API. */
  readonly api: RolloutApi;
  readonly routes: OperatorRoutes;
  private readonly ports: RolloutPorts;
  /** The rollouts of the latest term of this controller, which may have ended. */
  private term: ServiceRollouts | null = null;

  constructor(
    private readonly options: RolloutOptions,
    host: ControllerHost,
  ) {
    const { store, runtime } = host;
    const { package: rollout, probe, probing } = options;
    this.ports = {
      ...recordPorts(host),
      probe,
      probing,
      readJob: (id) => readServiceJob(store, id),
      teamLimit: async (team) => (await host.promisedQuotas()).get(team)?.limit ?? null,
      isEnabledOnAllControllers: (signal) => host.haveAllEnabled(this.feature, signal),
    };
    this.api = new rollout.RolloutApi(this.ports, runtime.random.unique(), () =>
      this.term && host.isLeading() ? this.term.rollouts : null,
    );
    this.routes = rollout.rolloutRoutes(this.api);
  }

  beginTerm(host: ExtensionHost): TermExtension {
    this.term = new ServiceRollouts(host, this.options.package, this.ports);
    return this.term;
  }
}

/** Reads a job from the store; the record of a finished job has no spec. */
async function readServiceJob(store: Store, id: string): Promise<ServiceJob | null> {
  const entry = await store.get(KEYS.job(id), REQUEST_PRIORITY);
  const record = entry && parseJob(entry.value);
  if (!record) return null;
  const { spec, phase, tasks } = record;
  return {
    id,
    state: phase,
    isService: spec?.kind === 'service',
    team: spec?.team ?? '',
    replicas: tasks,
    image: spec?.image ?? '',
    resources: { cpus: spec?.need.cpus ?? 0, gpus: spec?.need.gpus ?? 0 },
  };
}
