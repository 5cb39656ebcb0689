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
import { ServiceRollouts } from './service-rollouts.js';

/** The package that rolls versions out, as it is loaded where it is switched on. */
export type RolloutPackage = typeof import('@leverhatch/rollout');

/** What a controller is started with where versions are rolled out. */
export interface RolloutOptions {
  package: RolloutPackage;
  probe: ReplicaProbe;
  probing: ProbeSettings;
}

/** What operators ask about jobs goes with users' requests. */
const URGENCY = 1;

/** Rolling out versions of services, in one controller. */
export class RolloutExtension implements Extension {
  readonly feature = 'rollout';
  /** Answers operators. */
  readonly api: RolloutApi;
  readonly routes: OperatorRoutes;
  private readonly ports: RolloutPorts;
  /** The rollouts of the newest term of this controller. */
  private term: ServiceRollouts | null = null;

  constructor(
    private readonly switchedOn: RolloutOptions,
    host: ControllerHost,
  ) {
    const { store, runtime } = host;
    const { package: rollout, probe, probing } = switchedOn;
    this.ports = {
      ...recordPorts(host),
      ...{ probe, probing },
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
    this.term = new ServiceRollouts(host, this.switchedOn.package, this.ports);
    return this.term;
  }
}

/** A job as the store has it; of one that is over only that is left. */
async function readServiceJob(store: Store, id: string): Promise<ServiceJob | null> {
  const entry = await store.get(KEYS.job(id), URGENCY);
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
