/**
 * The names under which the service keeps its state; `shares/` is the shares package's. They are a contract with the versions that run
 * beside this one, so they stay also where the source calls the same thing otherwise: the key of a
 * zone delegate begins with `keeper/`.
 */
export const KEYS = {
  leader: 'leader',
  types: 'types',
  jobs: 'jobs/',
  runs: 'runs/',
  provisioningRequests: 'rent/',
  dependencies: 'needs/',
  members: 'members/',
  zoneDelegates: 'keeper/',
  job: (id: string): string => `jobs/${id}`,
  /** One piece of a long list of dependencies; `mark` names the list, see jobs/dependencies.ts. */
  dependencyChunk: (id: string, mark: string, piece: number): string =>
    `needs/${id}/${mark}/${piece}`,
  dependencyChunks: (id: string, mark: string): string => `needs/${id}/${mark}/`,
  run: (id: string, index: number): string => `runs/${id}/${index}`,
  runRange: (id: string, from: number): string => `runs/${id}/p${from}`,
  member: (name: string): string => `members/${encodeURIComponent(name)}`,
  zoneDelegate: (zone: string): string => `keeper/${encodeURIComponent(zone)}`,
  provisioningRequest: (request: string): string => `rent/${request}`,
  /** No order: see fleet/rental-records.ts. */
  provisioningGuard: 'rent/guard',
} as const;

/** What the key of a run record says: its number, or the first task of its range. */
export interface RunKey {
  job: string;
  kind: 'indexed' | 'ranged';
  number: number;
}

/** Null if no version writes such a key. */
export function parseRunKey(key: string): RunKey | null {
  const match = /^runs\/(.+)\/(p?)(\d+)$/.exec(key);
  if (!match) return null;
  return { job: match[1]!, kind: match[2] ? 'ranged' : 'indexed', number: Number(match[3]) };
}

/** The job that a run record belongs to, whether or not the rest of its key can be read. */
export const jobOfRunKey = (key: string): string => key.split('/')[1] ?? '';

export const jobOfKey = (key: string): string => key.slice(KEYS.jobs.length);
