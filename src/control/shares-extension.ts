import type { Policy, ShareApi, SharePorts } from '@leverhatch/shares';
import type { OperatorRoutes } from '@leverhatch/operators/listener';
import type {
  ControllerHost,
  Extension,
  ExtensionHost,
  TeamAmounts,
  TermExtension,
} from './extension.js';
import { recordPorts } from './record-ports.js';
import { TeamShares } from './team-shares.js';

/** The package that moves shares, as it is loaded where it is switched on. */
export type SharesPackage = typeof import('@leverhatch/shares');

/** What a controller is started with where shares are moved. */
export interface SharesSwitch {
  package: SharesPackage;
  /** The operators' policy; null: there is none. */
  policy: Policy | null;
}

/** Moving shares between teams, in one controller. */
export class SharesExtension implements Extension {
  readonly feature = 'shares';
  /** Answers operators. */
  readonly api: ShareApi;
  readonly routes: OperatorRoutes;
  private readonly ports: SharePorts;
  /** The shares of the newest term of this controller. */
  private term: TeamShares | null = null;

  constructor(
    private readonly switchedOn: SharesSwitch,
    host: ControllerHost,
  ) {
    const { store, runtime, settings } = host;
    this.ports = {
      ...recordPorts(host),
      base: settings.teams,
      clockErrorMs: settings.clockErrorMs,
      transactionChanges: () => store.limits.effective().txnOps,
      allControllersKnowShares: (signal) => host.allHave(this.feature, signal),
    };
    const { package: shares } = switchedOn;
    this.api = new shares.ShareApi(this.ports, runtime.random.unique(), () => {
      const { term } = this;
      if (!term || !host.leading()) return null;
      return { shares: term.moves, scheduler: term, policyFailure: term.policyFailure };
    });
    this.routes = shares.shareRoutes(this.api);
  }

  begin(host: ExtensionHost): TermExtension {
    const { package: shares, policy } = this.switchedOn;
    const parts = { package: shares, policy, ports: this.ports, api: this.api };
    this.term = new TeamShares(host, parts);
    return this.term;
  }

  promisedShares(): Promise<TeamAmounts> {
    return this.api.promisedShares();
  }
}
