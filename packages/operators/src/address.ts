/** Addresses of listeners, as operators write them. */

const ADDRESS = /^(\[[0-9a-fA-F:]+\]|[^:\s/]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Host and port of `HOST:PORT` or `[IPv6]:PORT`; null if it is neither. */
export function splitAddress(address: string): { host: string; port: number } | null {
  const match = ADDRESS.exec(address);
  if (!match) return null;
  const port = Number(match[2]);
  if (port > MAX_PORT) return null;
  return { host: match[1]!.replace(/^\[|\]$/g, ''), port };
}
