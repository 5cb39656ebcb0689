/** Names in the store; a contract between versions. */

/** The field of each stored record that holds the id of the write it came with. */
export const WRITE_ID = 'w';

/** Keys of the rollout records. */
export const ROLLOUT_KEYS = {
  all: 'rollouts/',
  manifest: 'rollouts/head',
  specs: 'rollouts/specs/',
  statuses: 'rollouts/status/',
  spec: (id: string): string => `rollouts/specs/${id}`,
  status: (id: string): string => `rollouts/status/${id}`,
} as const;
