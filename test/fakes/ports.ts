import { createServer, type Server } from 'node:net';

const HOST = '127.0.0.1';

/**
 * Blocks of ports below those that the system hands out by itself (32768 and up): a listener on
 * port 0, or a connection's own end, never takes one between its choice and its use.
 */
const FIRST_PORT = 20_000;
const BLOCK_PORTS = 32;
const BLOCKS = 300;

async function listen(port: number): Promise<Server | null> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(null));
    server.listen(port, HOST, () => resolve(server));
  });
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (!server) return false;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return true;
}

/**
 * Ports for processes that start later. Whoever listens on the first port of a block owns the
 * block, so that test files that run beside each other never share one.
 */
export class PortBlock {
  private next = 1;

  private constructor(
    private readonly first: number,
    private readonly owner: Server,
  ) {}

  static async take(): Promise<PortBlock> {
    const start = process.pid % BLOCKS;
    for (let i = 0; i < BLOCKS; i++) {
      const first = FIRST_PORT + ((start + i) % BLOCKS) * BLOCK_PORTS;
      const owner = await listen(first);
      if (owner) return new PortBlock(first, owner);
    }
    throw new Error('no block of ports is free');
  }

  /** The next port of the block that nobody else listens on. */
  async port(): Promise<number> {
    while (this.next < BLOCK_PORTS) {
      const port = this.first + this.next++;
      if (await isFree(port)) return port;
    }
    throw new Error('all ports of the block are taken');
  }

  release(): void {
    this.owner.close();
  }
}
