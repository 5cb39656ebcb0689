/** The names under which rollouts are kept in the state service; a contract between versions. */
export const ROLLOUT_KEYS = {
  all: 'rollouts/',
  manifest: 'rollouts/head',
  specs: 'rollouts/specs/',
  statuses: 'rollouts/status/',
  spec: (id: string): string => `rollouts/specs/${id}`,
  status: (id: string): string => `rollouts/status/${id}`,
} as const;
