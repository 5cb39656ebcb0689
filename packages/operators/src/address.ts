/** Addresses of listeners, as operators write them. */

const ADDRESS_PATTERN = /^(\[[0-9a-fA-F:]+\]|[^:\s/]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** An address that should have been checked when settings were read is none. */
export class InvalidAddressError extends Error {
  constructor(readonly address: string) {
    super(`${address} is not HOST:PORT`);
  }
}

/** Host and port of `HOST:PORT` or `[IPv6]:PORT`; null if it is neither. */
export function splitAddress(address: string): { host: string; port: number } | null {
  const [, host, digits] = ADDRESS_PATTERN.exec(address) ?? [];
  const port = Number(digits);
  if (host === undefined || port > MAX_PORT) return null;
  return { host: host.replace(/^\[|\]$/g, ''), port };
}
