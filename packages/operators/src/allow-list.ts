/** Which addresses may ask: a list of IP networks, IPv4 and IPv6. */
import ipaddr from 'ipaddr.js';

/** A network in the list is wrong. */
export class InvalidNetworkError extends Error {}

type Network = [ipaddr.IPv4 | ipaddr.IPv6, number];

/** An allow-list of networks. */
export class AllowList {
  private readonly networks: Network[];

  /** @param text networks such as `10.1.0.0/16` or `fd00::/8`, separated by spaces or commas */
  constructor(text: string) {
    const names = text.split(/[\s,]+/).filter((name) => name !== '');
    if (names.length === 0) throw new InvalidNetworkError('names no network');
    this.networks = names.map(parseNetwork);
  }

  /** Whether an address, as a socket gives it, is in one of the networks. */
  allows(address: string | undefined): boolean {
    if (address === undefined || !ipaddr.isValid(address)) return false;
    // An IPv4 peer of a socket that listens on IPv6 comes as a mapped address.
    const peer = ipaddr.process(address);
    return this.networks.some(
      ([network, bits]) => network.kind() === peer.kind() && peer.match(network, bits),
    );
  }
}

function parseNetwork(name: string): Network {
  try {
    const [network, bits] = ipaddr.parseCIDR(name);
    if (network.kind() === 'ipv6' && (network as ipaddr.IPv6).isIPv4MappedAddress()) {
      return [(network as ipaddr.IPv6).toIPv4Address(), Math.max(0, bits - 96)];
    }
    return [network, bits];
  } catch {
    throw new InvalidNetworkError(`${name} is not a network such as 10.1.0.0/16 or fd00::/8`);
  }
}
