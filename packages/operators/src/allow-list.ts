/** The allow-list of the operators' listener: IP networks, IPv4 and IPv6. */
import ipaddr from 'ipaddr.js';

/** An entry of the list is no network, or the list is empty. */
export class InvalidNetworkError extends Error {
  /** @param network the entry; null: there is none */
  constructor(
    message: string,
    readonly network: string | null,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** An address of the network and the length of its prefix in bits. */
type Network = [ipaddr.IPv4 | ipaddr.IPv6, number];

/** Bits before the IPv4 address in an IPv4-mapped IPv6 one. */
const MAPPED_PREFIX_BITS = 96;

/** An allow-list of networks. */
export class AllowList {
  private readonly networks: Network[];

  /** @param text networks such as `10.1.0.0/16` or `fd00::/8`, separated by spaces or commas */
  constructor(text: string) {
    const entries = text.split(/[\s,]+/).filter((entry) => entry !== '');
    if (entries.length === 0) throw new InvalidNetworkError('names no network', null);
    this.networks = entries.map(parseNetwork);
  }

  /** Whether an address, as a socket gives it, is in one of the networks; undefined never is. */
  allows(address: string | undefined): boolean {
    if (address === undefined || !ipaddr.isValid(address)) return false;
    // An IPv4 peer of a socket that listens on IPv6 comes as a mapped address.
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
