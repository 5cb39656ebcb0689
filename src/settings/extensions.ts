/** Loads the extensions that the operators' file enables. */
import { readFileSync } from 'node:fs';
import type { AllowList } from '@leverhatch/operators/allow-list';
import type { Policy } from '@leverhatch/shares';
import type { CreateExtension } from '../control/extensions/extension.js';
import type { ReplicaProbe } from '@leverhatch/rollout';
import { RolloutExtension, type RolloutPackage } from '../control/extensions/rollout-extension.js';
import {
  QuotaTransferExtension,
  type QuotaTransferPackage,
} from '../control/extensions/quota-transfer-extension.js';
import { httpTransportFactory } from '../http/client.js';
import { firstLine, SettingsError } from './error.js';
import type { OperatorSettings } from './operator.js';

/** How many consecutive evaluations have to propose the same quota transfer before it is made. */
const POLICY_CONFIRMATIONS = 3;
/** For how many evaluations after a transfer the policy makes no further one between the two teams. */
const POLICY_HOLD_EVALUATIONS = 60;

/** How long an idle connection to a replica is kept open, in probe intervals. */
const KEEP_IDLE_INTERVALS = 1.5;

/** Longer responses of replicas are discarded. */
const MAX_PROBE_RESPONSE_BYTES = 32 * 1024;

/** Settings of the listener for operators' requests. */
export interface OperatorListener {
  /** `HOST:PORT` */
  address: string;
  allowed: AllowList;
}

/** The extensions that the operators' file enables. */
export interface LoadedExtensions {
  create: CreateExtension[];
  listener: OperatorListener;
  /** The maximum number of connections that they open; the listener's are not included. */
  sockets: number;
}

/**
 * Loads the packages of the enabled extensions; null if no extension is enabled. Packages are imported
 * on demand, so unused ones cost nothing. `file` names the operators' file in errors. Throws
 * `SettingsError`.
 */
export async function loadExtensions(
  operator: OperatorSettings,
  file: string,
): Promise<LoadedExtensions | null> {
  const create: CreateExtension[] = [];
  let sockets = 0;
  if (operator.shares.listen !== '' || operator.shares.enabled === 'yes') {
    const shares = await import('@leverhatch/shares');
    const policy = await loadPolicy(shares, operator, file);
    create.push((host) => new QuotaTransferExtension({ package: shares, policy }, host));
  }
  if (operator.rollout.probe !== '') {
    const rollout = await import('@leverhatch/rollout');
    const probe = createProbe(rollout, operator, file);
    const { probeSeconds, probesPerSecond } = operator.rollout;
    const probing = { intervalMs: probeSeconds * 1000, perSecond: probesPerSecond };
    sockets += probeSockets(operator);
    create.push((host) => new RolloutExtension({ package: rollout, probe, probing }, host));
  }
  if (create.length === 0) return null;
  return { create, sockets, listener: await loadListener(operator, file) };
}

/** Loads the listener settings; older operators' files have them in `shares`. */
async function loadListener(operator: OperatorSettings, file: string): Promise<OperatorListener> {
  const { AllowList, InvalidNetworkError } = await import('@leverhatch/operators/allow-list');
  const { operators, shares } = operator;
  const address = operators.listen || shares.listen;
  if (address === '') {
    throw new SettingsError(file, 'leverhatch.operators.listen', 'must be HOST:PORT');
  }
  const usesLegacyListener = operators.listen === '';
  const field = usesLegacyListener && shares.allow !== '' ? 'shares.allow' : 'operators.allow';
  const networks = field === 'shares.allow' ? shares.allow : operators.allow;
  try {
    return { address, allowed: new AllowList(networks) };
  } catch (error) {
    if (!(error instanceof InvalidNetworkError)) throw error;
    throw new SettingsError(file, `leverhatch.${field}`, error.message);
  }
}

/** The number of connections to replicas: one for each probe within the time that one is kept open. */
function probeSockets({ rollout }: OperatorSettings): number {
  return Math.ceil(rollout.probesPerSecond * rollout.probeSeconds * KEEP_IDLE_INTERVALS);
}

function createProbe(
  rollout: RolloutPackage,
  operator: OperatorSettings,
  file: string,
): ReplicaProbe {
  const { probe, probeSeconds } = operator.rollout;
  try {
    const template = new rollout.AddressTemplate(probe);
    const limits = {
      sockets: probeSockets(operator),
      maxResponseBytes: MAX_PROBE_RESPONSE_BYTES,
      keepIdleMs: probeSeconds * 1000 * KEEP_IDLE_INTERVALS,
    };
    return new rollout.HttpReplicaProbe(template, httpTransportFactory(limits));
  } catch (error) {
    if (!(error instanceof rollout.InvalidTemplateError)) throw error;
    throw new SettingsError(file, 'leverhatch.rollout.probe', error.message);
  }
}

async function loadPolicy(
  shares: QuotaTransferPackage,
  operator: OperatorSettings,
  file: string,
): Promise<Policy | null> {
  const { policy, policySeconds, policyMovesPerHour } = operator.shares;
  if (policy === '') return null;
  const evaluateMs = policySeconds * 1000;
  try {
    const source = readFileSync(policy, 'utf8');
    const scripts = new shares.SandboxThread();
    // Evaluates a constant so that a script that does not load is reported at startup.
    await scripts.call(source, '(() => "sound")', {});
    const bounds = {
      confirmations: POLICY_CONFIRMATIONS,
      movesPerHour: policyMovesPerHour,
      holdMs: evaluateMs * POLICY_HOLD_EVALUATIONS,
    };
    return { source, scripts, bounds, evaluateMs };
  } catch (error) {
    throw new SettingsError(file, 'leverhatch.shares.policy', firstLine(error));
  }
}
