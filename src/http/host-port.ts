/** Parses addresses of the deploy file; their form `HOST:PORT` is validated when the file is loaded. */

/** The host and port of an address. */
export interface HostPort {
  host: string;
  port: number;
}

/** Splits `HOST:PORT` at the last colon. */
export function parseHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
