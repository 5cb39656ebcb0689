import { createServer, type Server } from 'node:net';

const HOST = '127.0.0.1';

/**
 * Blocks of ports below the system's ephemeral range (32768 and up), so that no listener on port 0
 * and no outgoing connection takes a port between its choice and its use.
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
 * Ports for processes that start later. The listener on the first port of a block owns the block,
 * so that test files that run in parallel never share one.
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

  /** Returns the next free port of the block. */
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
