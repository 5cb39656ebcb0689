/** Maps the operators' file (XML) to the names of the source; its element names stay as they are. */
import { XMLParser, XMLValidator } from 'fast-xml-parser';
import { splitAddress } from '@leverhatch/operators/address';
import { readSettingsFile, SettingsError } from './error.js';

/**
 * What operators may set beyond the platform's file. Each number is a ratio to a figure from the
 * deploy file or from the machine types, so that one set of defaults fits different fleets.
 */
export interface OperatorSettings {
  /** `lifetime`: the leader lease, as a fraction of a worker's lease. */
  election: { lifetime: number };
  gate: { slackSeconds: number; returnSeconds: number };
  fleet: { idleBoots: number };
  /** Where operators' requests are taken (`HOST:PORT`; empty: nowhere), and from which networks. */
  operators: { listen: string; allow: string };
  /** Quota transfers. */
  shares: {
    /** `yes` or `no`; empty: by `listen`. */
    enabled: string;
    /** The listener's former name, from before other extensions had one; a value enables transfers. */
    listen: string;
    allow: string;
    /** File of a script that proposes transfers; empty: there is none. */
    policy: string;
    policySeconds: number;
    policyMovesPerHour: number;
  };
  /** Rollouts of service versions. */
  rollout: {
    /** Template of the address for replicas' health checks; empty: rollouts are off. */
    probe: string;
    probeSeconds: number;
    probesPerSecond: number;
  };
}

const LOOPBACK = '127.0.0.0/8 ::1/128';

/** What holds without an operators' file. */
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

/** Parses the text of an operators' file; `file` names it in errors. Throws `SettingsError`. */
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

/** All extensions share one listener; former files name it in `shares`. */
function checkListeners({ operators, shares }: OperatorSettings, file: string): void {
  for (const [name, { listen }] of Object.entries({ operators, shares })) {
    if (listen === '' || splitAddress(listen) !== null) continue;
    throw new SettingsError(file, `leverhatch.${name}.listen`, 'must be HOST:PORT');
  }
  if (!['', 'yes', 'no'].includes(shares.enabled)) {
    throw new SettingsError(file, 'leverhatch.shares.enabled', 'must be yes or no');
  }
  if (operators.listen === '' || shares.listen === '') return;
  const reason = 'must be left out where leverhatch.operators.listen is given';
  throw new SettingsError(file, 'leverhatch.shares.listen', reason);
}

/** Reads an operators' file. Throws `SettingsError`. */
export function loadOperatorSettings(file: string): OperatorSettings {
  return parseOperatorSettings(readSettingsFile(file), file);
}

function section(value: unknown, file: string, path: string): Record<string, unknown> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new SettingsError(file, path, 'must be one element with children');
  }
  return value as Record<string, unknown>;
}

/** Copies what `source` names into `target`, whose values say which names and types there are. */
function fill(
  target: Record<string, unknown>,
  source: Record<string, unknown>,
  file: string,
  path: string,
): void {
  for (const [name, value] of Object.entries(source)) {
    const field = `${path}.${name}`;
    const current = Object.hasOwn(target, name) ? target[name] : undefined;
    if (current === undefined) throw new SettingsError(file, field, 'unknown element');
    if (typeof current === 'object') {
      fill(current as Record<string, unknown>, section(value, file, field), file, field);
    } else if (typeof current === 'string') {
      if (typeof value !== 'string') throw new SettingsError(file, field, 'must be text');
      target[name] = value;
    } else if (typeof value !== 'number' || !Number.isFinite(value) || value <= 0) {
      throw new SettingsError(file, field, 'must be a positive number');
    } else {
      target[name] = value;
    }
  }
}
