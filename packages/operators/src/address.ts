/** Parses listener addresses in the form that operators configure. */

const ADDRESS_PATTERN = /^(\[[0-9a-fA-F:]+\]|[^:\s/]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** A listener address is malformed although it was validated when the settings were read. */
export class InvalidAddressError extends Error {
  constructor(readonly address: string) {
    super(`invalid listener address "${address}": expected HOST:PORT`);
  }
}

/** Splits `HOST:PORT` or `[IPv6]:PORT` into host and port; null if the address has neither form. */
export function splitAddress(address: string): { host: string; port: number } | null {
  const [, host, digits] = ADDRESS_PATTERN.exec(address) ?? [];
  const port = Number(digits);
  if (host === undefined || port > MAX_PORT) return null;
  return { host: host.replace(/^\[|\]$/g, ''), port };
}
