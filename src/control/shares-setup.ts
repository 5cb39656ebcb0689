import type { Policy, ShareDesk, SharePorts } from '@leverhatch/shares';
import type { Runtime } from '@leverhatch/core/duty';
import type { Membership } from '../membership/membership.js';
import type { Settings } from '../settings/deploy.js';
import type { Store } from '../state/store.js';
import type { TeamShares } from './team-shares.js';

/** The package that moves shares, as it is loaded where it is switched on. */
export type SharesPackage = typeof import('@leverhatch/shares');

/** What a controller is started with where shares are moved. */
export interface SharesSwitch {
  package: SharesPackage;
  /** The operators' policy; null: there is none. */
  policy: Policy | null;
}

/** What a controller has beside that while it runs, and passes to its leader. */
export interface SharesParts extends SharesSwitch {
  ports: SharePorts;
  /** Answers operators. */
  desk: ShareDesk;
}

/** What a controller says of itself that knows the share table. */
export const SHARES_FEATURE = 'shares';

/** How often a leader looks whether a move can go on, as a share of a report interval. */
const STEP_SHARE = 1 / 2;

/** The parts of the controller that moving shares rests on. */
export interface SharesHost {
  store: Store;
  runtime: Runtime;
  settings: Settings;
  membership: Membership;
  /** The shares of the term in which this controller leads; null: another one does. */
  leading(): TeamShares | null;
}

/** Puts together what a controller needs to move shares. */
export function setUpShares(switchedOn: SharesSwitch, host: SharesHost): SharesParts {
  const { store, runtime, settings, membership } = host;
  const { clock, random, log } = runtime;
  const ports: SharePorts = {
    ...{ store, clock, random, log },
    base: settings.teams,
    clockErrorMs: settings.clockErrorMs,
    stepMs: settings.workers.reportMs * STEP_SHARE,
    transactionChanges: () => store.limits.effective().txnOps,
    allControllersKnowShares: (signal) => membership.allHave(SHARES_FEATURE, signal),
  };
  const desk = new switchedOn.package.ShareDesk(ports, random.unique(), () => {
    const shares = host.leading();
    if (!shares) return null;
    return { shares: shares.moves, scheduler: shares, policyFailure: shares.policyFailure };
  });
  return { ...switchedOn, ports, desk };
}
