import { readFileSync } from 'node:fs';
import { XMLParser, XMLValidator } from 'fast-xml-parser';
import { splitAddress } from '@leverhatch/operators/address';
import { SettingsError } from './error.js';

/**
 * What operators may set beyond the platform's file. Each number is a ratio to a figure from the
 * deploy file or from the machine types, so that one set of defaults fits different fleets.
 */
export interface OperatorSettings {
  election: { lifetime: number };
  gate: { slackSeconds: number; returnSeconds: number };
  fleet: { idleBoots: number };
  /** Where operators ask, and from which networks; `listen` empty: nowhere. */
  operators: { listen: string; allow: string };
  /** Moving shares. */
  shares: {
    /** `yes`: it is on. */
    enabled: string;
    /** The listener as it was named before other parts had one; a value switches shares on. */
    listen: string;
    allow: string;
    /** A script that proposes moves; empty: there is none. */
    policy: string;
    policySeconds: number;
    policyMovesPerHour: number;
  };
  /** Rolling out versions of services. */
  rollout: {
    /** Where replicas are asked whether they serve, with variables; empty: rollouts are off. */
    probe: string;
    probeSeconds: number;
    probesPerSecond: number;
  };
}

const LOOPBACK = '127.0.0.0/8 ::1/128';

export const OPERATOR_DEFAULTS: OperatorSettings = {
  election: { lifetime: 0.3 },
  gate: { slackSeconds: 30, returnSeconds: 30 },
  fleet: { idleBoots: 1 },
  operators: { listen: '', allow: LOOPBACK },
  shares: {
    enabled: '',
    listen: '',
    allow: '',
    policy: '',
    policySeconds: 10,
    policyMovesPerHour: 12,
  },
  rollout: { probe: '', probeSeconds: 2, probesPerSecond: 50 },
};

export function parseOperatorSettings(text: string, file: string): OperatorSettings {
  const valid = XMLValidator.validate(text);
  if (valid !== true) throw new SettingsError(file, null, valid.err.msg);
  const document: unknown = new XMLParser({ ignoreDeclaration: true }).parse(text);
  const root = section(document, file, 'document');
  for (const name of Object.keys(root)) {
    if (name !== 'leverhatch') throw new SettingsError(file, name, 'unknown element');
  }
  const operator = structuredClone(OPERATOR_DEFAULTS);
  if (root.leverhatch === '') return operator;
  fill(
    operator as unknown as Record<string, unknown>,
    section(root.leverhatch, file, 'leverhatch'),
    file,
    'leverhatch',
  );
  if (operator.election.lifetime > 0.8) {
    throw new SettingsError(file, 'leverhatch.election.lifetime', 'must be at most 0.8');
  }
  checkListeners(operator, file);
  return operator;
}

/** Operators ask all parts at one address; the one in `shares` is where former files name it. */
function checkListeners({ operators, shares }: OperatorSettings, file: string): void {
  for (const [name, { listen }] of Object.entries({ operators, shares })) {
    if (listen === '' || splitAddress(listen) !== null) continue;
    throw new SettingsError(file, `leverhatch.${name}.listen`, 'must be HOST:PORT');
  }
  if (!['', 'yes', 'no'].includes(shares.enabled)) {
    throw new SettingsError(file, 'leverhatch.shares.enabled', 'must be yes or no');
  }
  if (operators.listen === '' || shares.listen === '') return;
  const what = 'must be left out where leverhatch.operators.listen is given';
  throw new SettingsError(file, 'leverhatch.shares.listen', what);
}

export function loadOperatorSettings(file: string): OperatorSettings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, null, error instanceof Error ? error.message : String(error));
  }
  return parseOperatorSettings(text, file);
}

function section(value: unknown, file: string, path: string): Record<string, unknown> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new SettingsError(file, path, 'must be one element with children');
  }
  return value as Record<string, unknown>;
}

function fill(
  target: Record<string, unknown>,
  source: Record<string, unknown>,
  file: string,
  path: string,
): void {
  for (const [name, value] of Object.entries(source)) {
    const here = `${path}.${name}`;
    const current = Object.hasOwn(target, name) ? target[name] : undefined;
    if (current === undefined) throw new SettingsError(file, here, 'unknown element');
    if (typeof current === 'object') {
      fill(current as Record<string, unknown>, section(value, file, here), file, here);
    } else if (typeof current === 'string') {
      if (typeof value !== 'string') throw new SettingsError(file, here, 'must be text');
      target[name] = value;
    } else if (typeof value !== 'number' || !Number.isFinite(value) || value <= 0) {
      throw new SettingsError(file, here, 'must be a positive number');
    } else {
      target[name] = value;
    }
  }
}
