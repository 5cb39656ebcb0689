/** The names under which the service keeps its state. */
export const KEYS = {
  leader: 'leader',
  types: 'types',
  jobs: 'jobs/',
  runs: 'runs/',
  rentals: 'rent/',
  zoneDelegates: 'keeper/',
  job: (id: string): string => `jobs/${id}`,
  run: (id: string, chunk: number): string => `runs/${id}/${chunk}`,
  zoneDelegate: (zone: string): string => `keeper/${encodeURIComponent(zone)}`,
  rental: (request: string): string => `rent/${request}`,
} as const;

export const jobOfKey = (key: string): string => key.slice(KEYS.jobs.length);
