import { readFileSync } from 'node:fs';
import type { AllowList, Policy } from '@leverhatch/shares';
import type { SharesPackage, SharesSwitch } from '../control/shares-setup.js';
import { SettingsError } from './error.js';
import type { Operator } from './operator.js';

/** A policy has to propose the same so many times in a row, and rests for so long between two teams. */
const POLICY_CONFIRMATIONS = 3;
const POLICY_HOLD_EVALUATIONS = 60;

/** Moving shares as the operators' file switches it on. */
export interface LoadedShares extends SharesSwitch {
  /** Who may ask. */
  allowed: AllowList;
}

/**
 * Loads the package that moves shares if it is switched on; null: it is off and costs nothing. Throws
 * `SettingsError` for what cannot be used of the settings.
 *
 * @param file names the operators' file in errors
 */
export async function loadShares(operator: Operator, file: string): Promise<LoadedShares | null> {
  const { listen, allow } = operator.shares;
  if (listen === '') return null;
  const shares = await import('@leverhatch/shares');
  const allowed = parseNetworks(shares, allow, file);
  return { package: shares, allowed, policy: await loadPolicy(shares, operator, file) };
}

function parseNetworks(shares: SharesPackage, text: string, file: string): AllowList {
  try {
    return new shares.AllowList(text);
  } catch (error) {
    if (!(error instanceof shares.BadNetwork)) throw error;
    throw new SettingsError(file, 'leverhatch.shares.allow', error.message);
  }
}

async function loadPolicy(
  shares: SharesPackage,
  operator: Operator,
  file: string,
): Promise<Policy | null> {
  const { policy, policySeconds, policyMovesPerHour } = operator.shares;
  if (policy === '') return null;
  const evaluateMs = policySeconds * 1000;
  try {
    const source = readFileSync(policy, 'utf8');
    const scripts = new shares.SandboxThread();
    await scripts.call(source, '(() => "sound")', {});
    const bounds = {
      confirmations: POLICY_CONFIRMATIONS,
      movesPerHour: policyMovesPerHour,
      holdMs: evaluateMs * POLICY_HOLD_EVALUATIONS,
    };
    return { source, scripts, bounds, evaluateMs };
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new SettingsError(file, 'leverhatch.shares.policy', message.split('\n')[0] ?? '');
  }
}
