/** Key and field names in the store. Controllers of different versions share them, so they must not change. */

/** The field of each stored record that holds the id of the write that produced it. */
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
