/**
 * Loads the operators' file (XML). Its element names are part of the file format and must not change.
 */
import { XMLParser, XMLValidator } from 'fast-xml-parser';
import { splitAddress } from '@leverhatch/operators/address';
import { readSettingsFile, SettingsError } from './error.js';

/**
 * Settings of the operators in addition to the platform's deploy file. `lifetime` and `idleBoots` are
 * relative to a value of the deploy file or of the machine types, so that one set of defaults fits
 * different fleets; the other numbers are absolute.
 */
export interface OperatorSettings {
  /** `lifetime`: the leader lease, as a fraction of a worker's lease. */
  election: { lifetime: number };
  gate: { slackSeconds: number; returnSeconds: number };
  fleet: { idleBoots: number };
  /**
   * The address of the listener for operators (`HOST:PORT`; empty: none), and the networks it allows.
   */
  operators: { listen: string; allow: string };
  /** Quota transfers. */
  shares: {
    /** `yes` enables transfers; with `no` or if empty, only a value of `listen` enables them. */
    enabled: string;
    /**
     * Legacy name of `operators.listen`, from before other extensions used it; a value enables
     * transfers.
     */
    listen: string;
    allow: string;
    /** The path of a script that proposes transfers; empty: there is none. */
    policy: string;
    policySeconds: number;
    policyMovesPerHour: number;
  };
  /** Rollouts of service versions. */
  rollout: {
    /** The address template for health checks of replicas; empty: rollouts are disabled. */
    probe: string;
    probeSeconds: number;
    probesPerSecond: number;
  };
}

const LOOPBACK = '127.0.0.0/8 ::1/128';

/** The settings without an operators' file. */
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
  const root = expectSection(document, file, 'document');
  for (const name of Object.keys(root)) {
    if (name !== 'leverhatch') throw new SettingsError(file, name, 'unknown element');
  }
  const operator = structuredClone(OPERATOR_DEFAULTS);
  if (root.leverhatch === '') return operator;
  applySettings(
    operator as unknown as Record<string, unknown>,
    expectSection(root.leverhatch, file, 'leverhatch'),
    file,
    'leverhatch',
  );
  if (operator.election.lifetime > 0.8) {
    throw new SettingsError(file, 'leverhatch.election.lifetime', 'must be at most 0.8');
  }
  checkListeners(operator, file);
  return operator;
}

/** Validates the listener that all extensions share; older files have it in `shares`. */
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

function expectSection(value: unknown, file: string, path: string): Record<string, unknown> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new SettingsError(file, path, 'must be one element with children');
  }
  return value as Record<string, unknown>;
}

/** Copies the settings of `source` into `target`, whose values define the allowed names and types. */
function applySettings(
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
      applySettings(
        current as Record<string, unknown>,
        expectSection(value, file, field),
        file,
        field,
      );
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
