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
import { SettingsError } from './error.js';
import type { OperatorSettings } from './operator.js';

/** A policy has to propose the same so many times in a row, and rests for so long between two teams. */
const POLICY_CONFIRMATIONS = 3;
const POLICY_HOLD_EVALUATIONS = 60;

/** Connections to replicas are kept for so many intervals after a probe. */
const KEEP_INTERVALS = 1.5;

/** Longer answers of replicas are not taken. */
const PROBE_ANSWER_BYTES = 32 * 1024;

/** Where operators ask, and who may. */
export interface OperatorListener {
  address: string;
  allowed: AllowList;
}

/** The optional parts that the operators' file switches on. */
export interface LoadedExtensions {
  create: CreateExtension[];
  listener: OperatorListener;
  /** Connections that they may hold, beside the listener's. */
  sockets: number;
}

/**
 * Loads the optional parts that are switched on; null: none is, and they cost nothing. Throws
 * `SettingsError` for what cannot be used of the settings.
 *
 * @param file names the operators' file in errors
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

/** Former settings files name the listener with the shares. */
async function loadListener(operator: OperatorSettings, file: string): Promise<OperatorListener> {
  const { AllowList, InvalidNetworkError } = await import('@leverhatch/operators/allow-list');
  const { operators, shares } = operator;
  const address = operators.listen || shares.listen;
  if (address === '') {
    throw new SettingsError(file, 'leverhatch.operators.listen', 'must be HOST:PORT');
  }
  const former = operators.listen === '';
  const field = former && shares.allow !== '' ? 'shares.allow' : 'operators.allow';
  const text = field === 'shares.allow' ? shares.allow : operators.allow;
  try {
    return { address, allowed: new AllowList(text) };
  } catch (error) {
    if (!(error instanceof InvalidNetworkError)) throw error;
    throw new SettingsError(file, `leverhatch.${field}`, error.message);
  }
}

/** As many as are probed while one is kept. */
function probeSockets({ rollout }: OperatorSettings): number {
  return Math.ceil(rollout.probesPerSecond * rollout.probeSeconds * KEEP_INTERVALS);
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
      maxResponseBytes: PROBE_ANSWER_BYTES,
      keepIdleMs: probeSeconds * 1000 * KEEP_INTERVALS,
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
