/** The names under which the service keeps its state. */
export const KEYS = {
  leader: 'leader',
  types: 'types',
  jobs: 'jobs/',
  runs: 'runs/',
  rentals: 'rent/',
  needs: 'needs/',
  zoneDelegates: 'keeper/',
  job: (id: string): string => `jobs/${id}`,
  run: (id: string, chunk: number): string => `runs/${id}/${chunk}`,
  /** One piece of a long list of dependencies; `mark` names the list, see jobs/dependencies.ts. */
  need: (id: string, mark: string, piece: number): string => `needs/${id}/${mark}/${piece}`,
  needsOf: (id: string, mark: string): string => `needs/${id}/${mark}/`,
  zoneDelegate: (zone: string): string => `keeper/${encodeURIComponent(zone)}`,
  rental: (request: string): string => `rent/${request}`,
} as const;

export const jobOfKey = (key: string): string => key.slice(KEYS.jobs.length);
