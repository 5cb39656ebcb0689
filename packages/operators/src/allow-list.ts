/** The allow-list of the operators' listener: IPv4 and IPv6 networks. */
import ipaddr from 'ipaddr.js';

/** The allow-list is empty, or one of its entries is not a network. */
export class InvalidNetworkError extends Error {
  /** @param network the invalid entry; null: the list is empty */
  constructor(
    message: string,
    readonly network: string | null,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Address of a network and its prefix length in bits. */
type Network = [ipaddr.IPv4 | ipaddr.IPv6, number];

/** Number of bits before the IPv4 address in an IPv4-mapped IPv6 address. */
const MAPPED_PREFIX_BITS = 96;

/** A list of networks whose addresses are allowed. */
export class AllowList {
  private readonly networks: Network[];

  /** @param text networks such as `10.1.0.0/16` or `fd00::/8`, separated by spaces or commas */
  constructor(text: string) {
    const entries = text.split(/[\s,]+/).filter((entry) => entry !== '');
    if (entries.length === 0) throw new InvalidNetworkError('names no network', null);
    this.networks = entries.map(parseNetwork);
  }

  /** Whether the remote address of a socket is in one of the networks; undefined never is. */
  allows(address: string | undefined): boolean {
    if (address === undefined || !ipaddr.isValid(address)) return false;
    // On a socket that listens on IPv6, IPv4 peers have IPv4-mapped addresses.
    const peer = ipaddr.process(address);
    return this.networks.some(
      ([network, bits]) => network.kind() === peer.kind() && peer.match(network, bits),
    );
  }
}

function parseNetwork(entry: string): Network {
  try {
    const [network, bits] = ipaddr.parseCIDR(entry);
    if (network.kind() === 'ipv6' && (network as ipaddr.IPv6).isIPv4MappedAddress()) {
      return [(network as ipaddr.IPv6).toIPv4Address(), Math.max(0, bits - MAPPED_PREFIX_BITS)];
    }
    return [network, bits];
  } catch (cause) {
    const message = `${entry} is not a network such as 10.1.0.0/16 or fd00::/8`;
    throw new InvalidNetworkError(message, entry, { cause });
  }
}
