/**
 * Maps names of the source to the keys of the stored records.
 *
 * Controllers of other versions read and write the same records, so a key must not change even where
 * the source uses another name for the same thing. Keys below `shares/` belong to the shares package.
 */

/** Keys and key prefixes of the stored records; a prefix ends in `/`. */
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
  /** One chunk of a long list of dependencies; `list` identifies the list, see jobs/dependencies.ts. */
  dependencyChunk: (id: string, list: string, chunk: number): string =>
    `needs/${id}/${list}/${chunk}`,
  dependencyChunks: (id: string, list: string): string => `needs/${id}/${list}/`,
  run: (id: string, index: number): string => `runs/${id}/${index}`,
  runRange: (id: string, from: number): string => `runs/${id}/p${from}`,
  member: (name: string): string => `members/${encodeURIComponent(name)}`,
  zoneDelegate: (zone: string): string => `keeper/${encodeURIComponent(zone)}`,
  provisioningRequest: (request: string): string => `rent/${request}`,
  /** Guards all provisioning records but is not one itself; see fleet/provisioning-records.ts. */
  provisioningGuard: 'rent/guard',
} as const;

/** The parts of the key of a run record. */
export interface RunKey {
  job: string;
  kind: 'indexed' | 'ranged';
  /** The index of the run if `indexed`, the first task of its range if `ranged`. */
  number: number;
}

/** Parses the key of a run record; null if no version writes keys of this form. */
export function parseRunKey(key: string): RunKey | null {
  const match = /^runs\/(.+)\/(p?)(\d+)$/.exec(key);
  const job = match?.[1];
  if (job === undefined) return null;
  return { job, kind: match?.[2] ? 'ranged' : 'indexed', number: Number(match?.[3]) };
}

/** Returns the job id from the key of a run record, even if the rest of the key is unknown. */
export const jobIdFromRunKey = (key: string): string => key.split('/')[1] ?? '';

/** Returns the job id from the key of a job record. */
export const jobIdFromKey = (key: string): string => key.slice(KEYS.jobs.length);
