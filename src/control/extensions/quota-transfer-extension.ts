/** The quota transfer extension of one controller. */
import type { QuotaTransferApi, QuotaTransferPorts } from '@leverhatch/shares';
import type { OperatorRoutes } from '@leverhatch/operators/listener';
import type {
  ControllerHost,
  Extension,
  ExtensionHost,
  TeamQuotaMap,
  TermExtension,
} from './extension.js';
import { recordPorts } from './record-ports.js';
import type { QuotaTransferOptions } from './quota-transfer-options.js';
import { TeamQuotas } from './team-quotas.js';

export type { QuotaTransferOptions, QuotaTransferPackage } from './quota-transfer-options.js';

/** Quota transfers between teams in one controller. */
export class QuotaTransferExtension implements Extension {
  /** Its name in the controllers' member records. */
  readonly feature = 'shares';
  /** Handles operators' requests. */
  readonly api: QuotaTransferApi;
  /** Its HTTP routes. */
  readonly routes: OperatorRoutes;
  private readonly ports: QuotaTransferPorts;
  /** The latest term of this controller, which may have ended. */
  private currentTerm: TeamQuotas | null = null;

  constructor(
    private readonly options: QuotaTransferOptions,
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
    const { package: quotaTransfers } = options;
    this.api = new quotaTransfers.QuotaTransferApi(this.ports, runtime.random.unique(), () => {
      const { currentTerm: term } = this;
      if (!term || !host.isLeading()) return null;
      return { quotas: term.leaderQuotas, scheduler: term, policyFailure: term.policyFailure };
    });
    this.routes = quotaTransfers.quotaTransferRoutes(this.api);
  }

  /** Starts quota transfers in a new term of this controller. */
  beginTerm(host: ExtensionHost): TermExtension {
    const { ports, api } = this;
    this.currentTerm = new TeamQuotas(host, { ...this.options, ports, api });
    return this.currentTerm;
  }

  /** The quota of each team once all transfers in progress have completed. */
  promisedQuotas(): Promise<TeamQuotaMap> {
    return this.api.promisedQuotas();
  }
}
