import { readFileSync } from 'node:fs';
import { XMLParser, XMLValidator } from 'fast-xml-parser';
import { SettingsError } from './error.js';

/**
 * What operators may set beyond the platform's file. Each number is a ratio to a figure from the
 * deploy file or from the machine types, so that one set of defaults fits different fleets.
 */
export interface Operator {
  election: { lifetime: number };
  gate: { slackSeconds: number; returnSeconds: number };
  fleet: { idleBoots: number };
  /** Moving shares; `listen` empty: it is off. */
  shares: {
    listen: string;
    allow: string;
    /** A script that proposes moves; empty: there is none. */
    policy: string;
    policySeconds: number;
    policyMovesPerHour: number;
  };
}

export const OPERATOR_DEFAULTS: Operator = {
  election: { lifetime: 0.3 },
  gate: { slackSeconds: 30, returnSeconds: 30 },
  fleet: { idleBoots: 1 },
  shares: {
    listen: '',
    allow: '127.0.0.0/8 ::1/128',
    policy: '',
    policySeconds: 10,
    policyMovesPerHour: 12,
  },
};

const ADDRESS = /^(\[[0-9a-fA-F:]+\]|[^:\s]+):\d{1,5}$/;

export function parseOperator(text: string, file: string): Operator {
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
  const { listen } = operator.shares;
  if (listen !== '' && !ADDRESS.test(listen)) {
    throw new SettingsError(file, 'leverhatch.shares.listen', 'must be HOST:PORT');
  }
  return operator;
}

export function loadOperator(file: string): Operator {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, null, error instanceof Error ? error.message : String(error));
  }
  return parseOperator(text, file);
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
