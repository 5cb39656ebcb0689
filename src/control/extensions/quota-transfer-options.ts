/** What the extension of quota transfers is started with. */
import type { Policy } from '@leverhatch/shares';

/** The package of quota transfers, which is loaded only where it is enabled. */
export type QuotaTransferPackage = typeof import('@leverhatch/shares');

/** What a controller is started with where quota transfers are enabled. */
export interface QuotaTransferOptions {
  /** The loaded package. */
  package: QuotaTransferPackage;
  /** The operators' policy; null: there is none. */
  policy: Policy | null;
}
