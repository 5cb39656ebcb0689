/** Keys of the stored records. They must stay compatible between versions. */

/** Keys and key prefixes of all quota transfer records. */
export const QUOTA_TRANSFER_KEYS = {
  all: 'shares/',
  manifest: 'shares/head',
  transfers: 'shares/moves/',
  archivedTotals: 'shares/settled/',
  transfer: (id: string): string => `shares/moves/${id}`,
  archivedTotal: (from: string, to: string): string =>
    `shares/settled/${encodeURIComponent(from)}/${encodeURIComponent(to)}`,
} as const;

/** Maximum length of a key in the store, in bytes. */
export const MAX_KEY_BYTES = 200;
