import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { setMaxListeners } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { systemClock } from '@leverhatch/core/clock';
import { runCommand, type CommandGroup } from '@leverhatch/operators/command';
import { httpTransport, type Reply, type Transport } from '../../src/http/client.js';
import { FakeCloud, type Host } from './cloud.js';
import { JobFactory, type JobTemplate } from './job-factory.js';
import { FakeStore } from './store.js';
import { ModelServers } from './model-servers.js';
import { PortBlock } from './ports.js';
import { FakeWorker } from './worker.js';

const LEASE_MS = 10_000;
const REPORT_MS = 1000;
const HOST = '127.0.0.1';

/** The default content of the operators' settings file, beside the listener. */
const QUOTA_TRANSFERS_ENABLED = '<shares><enabled>yes</enabled></shares>';

/** The path of a probe: job, task and attempt. */
const PROBE_PATH = /^\/replicas\/([^/]+)\/(\d+)\/(\d+)$/;

/** Longer than any watch request to the store may wait. */
const STORE_TIMEOUT_MS = 30_000;

export interface LoopbackTeam {
  name: string;
  gpus: number;
  gpusMax: number;
}

/** The controller program of this tree, as compiled for the tests. */
const OWN_PROGRAM = new URL('../../src/main.js', import.meta.url).pathname;

/** The path of a checkout's controller program, as its deploy file builds it. */
export const programPath = (checkout: string): string => join(checkout, 'target', 'main.cjs');

export interface ControllerProcess {
  name: string;
  address: string;
  peerAddress: string;
  operatorsAddress: string;
  /** The program that the next start runs. */
  program: string;
  child: ChildProcess | null;
}

export interface LoopbackOptions {
  /** Receives log lines of all processes from level `warn` on; without it errors go to stderr. */
  onLogLine?: (controller: ControllerProcess, line: string) => void;
}

/**
 * A small fleet in real time: controllers run as separate processes and talk over TCP to the fakes
 * of the state service, the cloud and the workers in this process.
 */
export class Loopback {
  readonly store = new FakeStore(systemClock);
  readonly cloud = new FakeCloud(systemClock, () => undefined);
  readonly workers: FakeWorker[] = [];
  readonly controllers: ControllerProcess[] = [];
  readonly jobFactory = new JobFactory();
  readonly models = new ModelServers({
    now: () => systemClock.now(),
    sleep: (ms) => systemClock.sleep(ms),
    worker: (id) => this.workers.find((worker) => worker.id === id),
    workers: () => this.workers,
    image: (job) => this.jobFactory.images.get(job) ?? '',
  });
  private readonly servers: Server[] = [];
  private readonly serverOf = new Map<string, Server>();
  private readonly directory = mkdtempSync(join(tmpdir(), 'loopback-'));
  private readonly closed = new AbortController();
  private readonly controllerTransports: Transport[] = [];
  private ports: PortBlock | null = null;

  constructor(
    private readonly machines: number,
    private readonly teams: readonly LoopbackTeam[],
    /** The content of the operators' settings file, beside the listener. */
    private readonly operatorSettings = QUOTA_TRANSFERS_ENABLED,
    private readonly options: LoopbackOptions = {},
  ) {
    this.cloud.capacity = machines;
    // Every worker and fake adds a listener; more than ten would cause a warning.
    setMaxListeners(0, this.closed.signal);
  }

  /**
   * Starts the fleet. `programs` gives the program of each controller, by default that of this
   * tree; a controller with null is not started yet.
   */
  async start(controllers: number, programs?: readonly (string | null)[]): Promise<void> {
    const state = await this.serve(this.store.transport(() => 'serve'));
    const cloud = await this.serve(this.cloud.transport());
    const ports = (this.ports = await PortBlock.take());
    for (let i = 0; i < controllers; i++) {
      const [own, peer, operators] = [await ports.port(), await ports.port(), await ports.port()];
      this.controllers.push({
        name: `berth-${i}`,
        address: `${HOST}:${own}`,
        peerAddress: `${HOST}:${peer}`,
        operatorsAddress: `${HOST}:${operators}`,
        program: programs?.[i] ?? OWN_PROGRAM,
        child: null,
      });
    }
    for (const { address } of this.controllers) {
      this.controllerTransports.push(
        httpTransport(address, { sockets: 500, maxResponseBytes: 1024 * 1024 }),
      );
    }
    for (const [i, process] of this.controllers.entries()) {
      this.writeSettings(process, state, cloud);
      if (programs?.[i] !== null) this.spawn(process);
    }
    for (let i = 0; i < this.machines; i++) await this.addWorker(i % 2 ? 'b' : 'a');
  }

  /** Serves one fake over HTTP and returns its address. */
  private async serve(service: Transport): Promise<string> {
    const server = createServer((request, response) => {
      const parts: Buffer[] = [];
      request.on('data', (part: Buffer) => parts.push(part));
      request.on('end', () => {
        const text = Buffer.concat(parts).toString('utf8');
        const body = text === '' ? null : (JSON.parse(text) as object);
        const method = request.method as 'GET' | 'POST' | 'DELETE';
        const reply = service.request(method, request.url ?? '', body, STORE_TIMEOUT_MS);
        const respond = ({ status, body: responseBody }: Reply): void => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(responseBody));
        };
        reply.then(respond, () => response.destroy());
      });
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    return `${HOST}:${(server.address() as AddressInfo).port}`;
  }

  private file(name: string): string {
    return join(this.directory, name);
  }

  private writeSettings(controller: ControllerProcess, state: string, cloud: string): void {
    const peers = this.controllers
      .filter((other) => other !== controller)
      .map(
        ({ name, peerAddress }) =>
          `[[known]]\nmember = "${name}"\nsite = "a"\naddress = "${peerAddress}"\n`,
      );
    const teams = this.teams.map(
      ({ name, gpus, gpusMax }) =>
        `[[facts.teams]]\nname = "${name}"\ngpus = ${gpus}.0\ngpus_max = ${gpusMax}.0\n`,
    );
    const text = `
member = "${controller.name}"
site = "a"
public_addr = "${controller.address}"
peer_bind = "${controller.peerAddress}"
${peers.join('')}
[external]
cloud = "${cloud}"
state = "${state}"
[facts]
size = ${this.controllers.length}
zones = ["a", "b"]
clock_error_ms = 100.0
${teams.join('')}
[facts.workers]
report_s = 1.0
lease_s = ${LEASE_MS / 1000}.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 35.0
[facts.state]
rps = 400.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 20
[facts.cloud]
rps = 8.0
list_lag_s = 2.0
[facts.resources]
core_share = 0.5
ram_mb = 114.0
sockets = 500
`;
    writeFileSync(this.file(`${controller.name}.toml`), text);
    writeFileSync(
      this.file(`${controller.name}.xml`),
      `<leverhatch><operators><listen>${controller.operatorsAddress}</listen></operators>${this.operatorSettings}</leverhatch>`,
    );
  }

  /** Starts a controller process, or restarts a killed one. */
  spawn(controller: ControllerProcess): void {
    const { onLogLine } = this.options;
    const files = [this.file(`${controller.name}.toml`), this.file(`${controller.name}.xml`)];
    const argv = [controller.program, '--config', files[0]!, '--operator', files[1]!];
    controller.child = spawn(process.execPath, argv, {
      stdio: ['ignore', 'ignore', onLogLine ? 'pipe' : 'inherit'],
      env: { ...process.env, LOG_LEVEL: onLogLine ? 'warn' : 'error' },
    });
    const { stderr } = controller.child;
    if (stderr) createInterface(stderr).on('line', (line) => onLogLine?.(controller, line));
  }

  private async addWorker(yard: string): Promise<void> {
    const host: Host = this.cloud.add(yard, 0);
    const { vcpus, gpus, memoryGb } = this.cloud.hulls[0]!;
    const address = await this.serve({
      request: async (_method, path, body) => {
        const probe = PROBE_PATH.exec(path);
        if (probe) return this.answerProbe(worker, probe);
        const reply = worker.direct(body as Parameters<FakeWorker['direct']>[0]);
        if (!reply) throw new Error('no answer');
        return reply;
      },
    });
    const worker = new FakeWorker(
      {
        ...{
          id: host.ref,
          hull: host.hull,
          yard,
          driftwood: false,
          leaseMs: LEASE_MS,
          reportMs: REPORT_MS,
          address,
        },
        room: { vcpus, gpus, memoryGb },
        nodes: this.controllers.map(({ name }) => name),
      },
      systemClock,
      {
        facts: (job) => this.jobFactory.facts.get(job) ?? null,
        allHaveImages: () => true,
        onMachine: () => undefined,
        onDone: () => undefined,
        call: (node, report) =>
          this.controllerTransports[node]!.request('POST', '/v1/report', report, 4000),
      },
    );
    this.workers.push(worker);
    this.serverOf.set(worker.id, this.servers.at(-1)!);
    void worker.run(this.closed.signal);
  }

  private answerProbe(worker: FakeWorker, [, job, task, attempt]: RegExpExecArray): Reply {
    const replica = { job: job!, task: Number(task), attempt: Number(attempt) };
    const answer = this.models.answer(worker, replica);
    if (answer === null) throw new Error('no answer');
    return { status: 200, body: answer };
  }

  /** Stops a machine and its tasks. */
  killMachine(worker: FakeWorker): void {
    worker.dead = true;
    this.cloud.hosts.delete(worker.id);
    const server = this.serverOf.get(worker.id)!;
    server.close();
    server.closeAllConnections();
  }

  /** The number of running tasks of a job. */
  runningTaskCount(ref: string): number {
    let tasks = 0;
    for (const { pieces, dead } of this.workers) {
      if (dead) continue;
      for (const { job, phase } of pieces) if (job === ref && phase === 'running') tasks++;
    }
    return tasks;
  }

  /** Sends one user request to one controller; null means no response. */
  request(
    node: number,
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<Reply | null> {
    return this.controllerTransports[node]!.request(method, path, body ?? null, 5000).catch(
      () => null,
    );
  }

  /** Submits a job, at one controller after another until one accepts it. */
  submit(template: JobTemplate, first = 0): Promise<string> {
    return this.submitWished(this.jobFactory.create(template), first);
  }

  /** Like `submit`, for a submission that was created before. */
  async submitWished({ ref, body }: { ref: string; body: object }, first = 0): Promise<string> {
    for (let i = first; !this.closed.signal.aborted; i++) {
      const to = this.controllerTransports[i % this.controllerTransports.length]!;
      const reply = await to.request('POST', '/work', body, 5000).catch(() => null);
      if (reply && reply.status < 300) return ref;
      if (reply && reply.status < 500) throw new Error(JSON.stringify(reply.body));
      await systemClock.sleep(300);
    }
    throw new Error('the fleet is closed');
  }

  /** Runs an operator command with the addresses of all controllers. */
  async runOperatorCommand(
    part: CommandGroup,
    ...words: string[]
  ): Promise<{ code: number; output: string }> {
    const said: string[] = [];
    const print = (text: string): void => void said.push(text);
    const at = this.controllers.flatMap((controller) => ['--at', controller.operatorsAddress]);
    const argv = [part.name, ...words, ...at];
    const code = await runCommand([part], argv, { out: print, error: print });
    return { code, output: said.join('\n') };
  }

  get leader(): ControllerProcess | undefined {
    const holder = this.store.get('leader') as { member: string } | undefined;
    return this.controllers.find(({ name }) => name === holder?.member);
  }

  /** Kills a process, as in a crash. */
  kill(controller: ControllerProcess): void {
    controller.child?.kill('SIGKILL');
    controller.child = null;
  }

  async until(condition: () => boolean, seconds: number, name: string): Promise<void> {
    for (const deadline = Date.now() + seconds * 1000; !condition();) {
      if (Date.now() > deadline) throw new Error(`${name}: not within ${seconds} s`);
      await systemClock.sleep(50);
    }
  }

  async close(): Promise<void> {
    this.closed.abort();
    for (const controller of this.controllers) this.kill(controller);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    this.ports?.release();
    await systemClock.sleep(0);
    rmSync(this.directory, { recursive: true });
  }
}
