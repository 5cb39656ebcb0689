/** Options of the quota transfer extension. */
import type { Policy } from '@leverhatch/shares';

/** The quota transfer package, which is loaded only if it is enabled. */
export type QuotaTransferPackage = typeof import('@leverhatch/shares');

/** Options of a controller with quota transfers enabled. */
export interface QuotaTransferOptions {
  /** The loaded package. */
  package: QuotaTransferPackage;
  /** The operators' transfer policy; null if there is none. */
  policy: Policy | null;
}
