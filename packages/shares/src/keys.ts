/** The names under which shares are kept in the state service; a contract between versions. */
export const QUOTA_TRANSFER_KEYS = {
  all: 'shares/',
  manifest: 'shares/head',
  transfers: 'shares/moves/',
  archivedTotals: 'shares/settled/',
  transfer: (id: string): string => `shares/moves/${id}`,
  archivedTotal: (from: string, to: string): string =>
    `shares/settled/${encodeURIComponent(from)}/${encodeURIComponent(to)}`,
} as const;

/** The state service takes no longer keys. */
export const MAX_KEY_BYTES = 200;
