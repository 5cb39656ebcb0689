/** The names under which shares are kept in the state service; a contract between versions. */
export const SHARE_KEYS = {
  all: 'shares/',
  head: 'shares/head',
  moves: 'shares/moves/',
  settledAll: 'shares/settled/',
  move: (id: string): string => `shares/moves/${id}`,
  settled: (from: string, to: string): string =>
    `shares/settled/${encodeURIComponent(from)}/${encodeURIComponent(to)}`,
} as const;

/** The state service takes no longer keys. */
export const MOST_KEY_BYTES = 200;
