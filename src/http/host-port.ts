/** Addresses of the deploy file, whose form `HOST:PORT` is checked when the file is read. */

/** The parts of an address `HOST:PORT`. */
export interface HostPort {
  host: string;
  port: number;
}

/** Splits `HOST:PORT` at the last colon. */
export function parseHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
