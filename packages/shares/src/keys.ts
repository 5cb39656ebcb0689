/** The keys of the stored records: a contract between versions. */

/** The prefixes and keys of all records of quota transfers. */
export const QUOTA_TRANSFER_KEYS = {
  all: 'shares/',
  manifest: 'shares/head',
  transfers: 'shares/moves/',
  archivedTotals: 'shares/settled/',
  transfer: (id: string): string => `shares/moves/${id}`,
  archivedTotal: (from: string, to: string): string =>
    `shares/settled/${encodeURIComponent(from)}/${encodeURIComponent(to)}`,
} as const;

/** The length of a key that the store accepts, in bytes. */
export const MAX_KEY_BYTES = 200;
