import type { Policy, QuotaTransferApi, QuotaTransferPorts } from '@leverhatch/shares';
import type { OperatorRoutes } from '@leverhatch/operators/listener';
import type {
  ControllerHost,
  Extension,
  ExtensionHost,
  TeamQuotaMap,
  TermExtension,
} from './extension.js';
import { recordPorts } from './record-ports.js';
import { TeamQuotas } from './team-quotas.js';

/** The package that moves shares, as it is loaded where it is switched on. */
export type QuotaTransferPackage = typeof import('@leverhatch/shares');

/** What a controller is started with where shares are moved. */
export interface QuotaTransferOptions {
  package: QuotaTransferPackage;
  /** The operators' policy; null: there is none. */
  policy: Policy | null;
}

/** Moving shares between teams, in one controller. */
export class QuotaTransferExtension implements Extension {
  readonly feature = 'shares';
  /** Answers operators. */
  readonly api: QuotaTransferApi;
  readonly routes: OperatorRoutes;
  private readonly ports: QuotaTransferPorts;
  /** The shares of the newest term of this controller. */
  private term: TeamQuotas | null = null;

  constructor(
    private readonly switchedOn: QuotaTransferOptions,
    host: ControllerHost,
  ) {
    const { store, runtime, settings } = host;
    this.ports = {
      ...recordPorts(host),
      base: settings.teams,
      clockErrorMs: settings.clockErrorMs,
      maxTransactionChanges: () => store.limits.effective().txnOps,
      isEnabledOnAllControllers: (signal) => host.haveAllEnabled(this.feature, signal),
    };
    const { package: shares } = switchedOn;
    this.api = new shares.QuotaTransferApi(this.ports, runtime.random.unique(), () => {
      const { term } = this;
      if (!term || !host.isLeading()) return null;
      return { quotas: term.leaderQuotas, scheduler: term, policyFailure: term.policyFailure };
    });
    this.routes = shares.quotaTransferRoutes(this.api);
  }

  beginTerm(host: ExtensionHost): TermExtension {
    const { package: shares, policy } = this.switchedOn;
    const parts = { package: shares, policy, ports: this.ports, api: this.api };
    this.term = new TeamQuotas(host, parts);
    return this.term;
  }

  promisedQuotas(): Promise<TeamQuotaMap> {
    return this.api.promisedQuotas();
  }
}
