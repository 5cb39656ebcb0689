/**
 * A small deployment on loopback: the project's controllers as processes, and stand-ins of the state
 * service, the cloud, the workers, the users and the platform in this process.
 */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, appendFileSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { createServer as createNetServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { setTimeout, clearTimeout } from 'node:timers';
import { URL, fileURLToPath } from 'node:url';
import { StateService } from './store.mjs';
import { Worker } from './worker.mjs';

const HOST = '127.0.0.1';
const ROOT = fileURLToPath(new URL('../..', import.meta.url));

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The words of the deploy file's `run` command. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/**
 * Free ports below those that the system hands out by itself, so that no other socket takes the
 * port of a controller while its process is down.
 */
async function freePorts(count) {
  const ports = [];
  let next = 15_000 + Math.floor(Math.random() * 12_000);
  while (ports.length < count) {
    const port = next++;
    const server = createNetServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, HOST, () => server.close(() => resolve(true)));
    });
    if (isFree) ports.push(port);
  }
  return ports;
}

export class Fleet {
  /**
   * @param options `controllers`, `zones`, `teams`, `timing`, `state`, `cloud`, `resources`,
   *   `restartMs`, `hulls`, `machines: [{ hull, yard, driftwood }]`, `recordFile`
   */
  constructor(options) {
    this.options = options;
    this.startedAt = performance.now();
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.jobs = new Map();
    this.workers = new Map();
    this.controllers = [];
    this.servers = [];
    this.ends = [];
    this.endedGangs = new Set();
    this.gathering = new Map();
    this.isClosed = false;
    this.agent = new Agent({ keepAlive: false });
    this.state = new StateService(options.state);
    this.hosts = new Map();
    this.nextHost = 1;
    this.rentals = new Map();
    /** May be replaced: answers of the state service to one controller. */
    this.stateFilter = (controller, method, path, body, serve) => serve();
    writeFileSync(options.recordFile, '');
    // However this process ends, it leaves no controller and no file behind.
    process.once('exit', () => {
      this.killAll();
      rmSync(this.directory, { recursive: true, force: true });
    });
    for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(name, () => process.exit(2));
  }

  killAll() {
    for (const { child } of this.controllers) child?.kill('SIGKILL');
  }

  record(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(2).padStart(7);
    appendFileSync(this.options.recordFile, `${seconds} ${text}\n`);
  }

  async start() {
    const { controllers: count, machines } = this.options;
    const ports = await freePorts(count * 2);
    for (let i = 0; i < count; i++) {
      this.controllers.push({
        name: `berth-${i}`,
        zone: this.options.controllerZones?.[i] ?? this.options.zones[0],
        port: ports[2 * i],
        peerPort: ports[2 * i + 1],
        child: null,
        log: [],
      });
    }
    for (const controller of this.controllers) {
      const state = await this.serve((method, path, body) =>
        this.stateFilter(controller, method, path, body, () =>
          this.state.handle(method, path, body),
        ),
      );
      const cloud = await this.serve((method, path, body) => this.cloudAnswer(method, path, body));
      this.writeSettings(controller, state, cloud);
    }
    for (const machine of machines) await this.addMachine(machine, 0);
    for (const controller of this.controllers) this.spawn(controller);
  }

  /** Serves a stand-in over HTTP; an answer of null closes the connection without a response. */
  async serve(answer) {
    const server = createServer((req, res) => {
      const parts = [];
      req.on('data', (part) => parts.push(part));
      req.on('error', () => undefined);
      req.on('end', async () => {
        const text = Buffer.concat(parts).toString('utf8');
        const reply = await answer(req.method, req.url, text === '' ? null : JSON.parse(text));
        if (!reply) return res.destroy();
        res.writeHead(reply.status, { 'content-type': 'application/json' });
        res.end(JSON.stringify(reply.body));
      });
    });
    server.keepAliveTimeout = 120_000;
    await new Promise((resolve) => server.listen(0, HOST, resolve));
    this.servers.push(server);
    return `${HOST}:${server.address().port}`;
  }

  writeSettings(controller, state, cloud) {
    const { zones, teams, timing, state: limits, cloud: cloudFacts, resources } = this.options;
    const number = (value) => (Number.isInteger(value) ? `${value}.0` : `${value}`);
    const table = (values, integers = []) =>
      Object.entries(values)
        .map(([key, value]) => `${key} = ${integers.includes(key) ? value : number(value)}`)
        .join('\n');
    const known = this.controllers
      .filter((other) => other !== controller)
      .map(
        ({ name, zone, peerPort }) =>
          `[[known]]\nmember = "${name}"\nsite = "${zone}"\naddress = "${HOST}:${peerPort}"\n`,
      );
    const teamTables = teams.map(
      ({ name, ...amounts }) => `[[facts.teams]]\nname = "${name}"\n${table(amounts)}\n`,
    );
    controller.file = join(this.directory, `${controller.name}.toml`);
    writeFileSync(
      controller.file,
      `member = "${controller.name}"
site = "${controller.zone}"
public_addr = "${HOST}:${controller.port}"
peer_bind = "${HOST}:${controller.peerPort}"
${known.join('\n')}
[external]
cloud = "${cloud}"
state = "${state}"
[facts]
size = ${this.controllers.length}
zones = [${zones.map((zone) => `"${zone}"`).join(', ')}]
clock_error_ms = 100.0
${teamTables.join('\n')}
[facts.workers]
${table(timing)}
[facts.state]
${table(limits, ['txn_ops'])}
[facts.cloud]
${table(cloudFacts)}
[facts.resources]
${table(resources, ['sockets'])}
`,
    );
  }

  /** Starts a controller's process; one that ends by itself is started again, as by the platform. */
  spawn(controller) {
    const [program, ...words] = runCommand();
    const child = spawn(program, [...words, controller.file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: this.options.logLevel ?? 'info' },
    });
    controller.child = child;
    controller.isStopped = false;
    this.record(`${controller.name}: process ${child.pid} started`);
    createInterface(child.stderr).on('line', (line) => {
      controller.log.push(line);
      if (this.options.echo) process.stderr.write(`${controller.name} ${line}\n`);
    });
    child.on('close', (code, signal) => {
      if (controller.child !== child) return;
      controller.child = null;
      if (this.isClosed || controller.isKilled) return;
      this.ends.push({ name: controller.name, code, signal });
      this.record(`${controller.name}: ENDED BY ITSELF, code ${code}, signal ${signal}`);
      const lastWords = controller.log.filter((line) => /FATAL ERROR|main\.cjs:\d+$/.test(line));
      for (const line of lastWords.slice(-1)) this.record(`  ${line.slice(0, 160)}`);
      this.restart(controller);
    });
  }

  restart(controller, afterMs = this.options.restartMs) {
    setTimeout(() => {
      controller.isKilled = false;
      if (!this.isClosed && !controller.child) this.spawn(controller);
    }, afterMs).unref();
  }

  /** Ends a controller as a crash does; `restartMs` of null leaves it ended. */
  kill(controller, restartMs = this.options.restartMs) {
    this.record(`${controller.name}: killed by the test`);
    controller.isKilled = true;
    controller.child?.kill('SIGKILL');
    if (restartMs !== null) this.restart(controller, restartMs);
  }

  get leader() {
    const name = this.state.value('leader')?.member;
    return this.controllers.find((controller) => controller.name === name) ?? null;
  }

  // ---- machines

  async addMachine({ hull, yard, driftwood = false }, bootMs) {
    const ref = `host-${String(this.nextHost++).padStart(6, '0')}`;
    const host = { ref, hull, yard, driftwood, rentedAt: performance.now(), isUp: false };
    this.hosts.set(ref, host);
    if (bootMs > 0) setTimeout(() => void this.boot(host), bootMs).unref();
    else await this.boot(host);
    return ref;
  }

  async boot(host) {
    if (this.isClosed || !this.hosts.has(host.ref)) return;
    const { vcpus, gpus, memoryGb } = this.options.hulls.find(({ sku }) => sku === host.hull);
    const { ref, hull, yard, driftwood } = host;
    const worker = new Worker(
      { ref, hull, yard, driftwood, capacity: { vcpus, gpus, memoryGb } },
      this.world(),
    );
    worker.node = this.workers.size % this.controllers.length;
    this.workers.set(ref, worker);
    host.isUp = true;
    await worker.start();
    host.address = worker.address;
  }

  world() {
    const { timing, hooks = {} } = this.options;
    return (this.sharedWorld ??= {
      controllers: this.controllers,
      timing: { reportMs: timing.report_s * 1000, leaseMs: timing.lease_s * 1000 },
      jobs: this.jobs,
      record: (text) => this.record(text),
      onGathering: (piece) => this.gather(piece),
      onEnded: (worker, piece) => {
        this.onEnded(piece);
        hooks.onEnded?.(worker, piece);
      },
      ...Object.fromEntries(Object.entries(hooks).filter(([name]) => name !== 'onEnded')),
    });
  }

  /** All unfinished pieces of one attempt of a gang, with their workers. */
  gang({ ref, attempt }) {
    const members = [];
    for (const worker of this.workers.values()) {
      for (const piece of worker.pieces.values())
        if (piece.ref === ref && piece.attempt === attempt) members.push({ worker, piece });
    }
    return members;
  }

  gather(piece) {
    const attempt = `${piece.ref} ${piece.attempt}`;
    const count = (this.gathering.get(attempt) ?? 0) + 1;
    this.gathering.set(attempt, count);
    // Counts every arrival, so it is an upper bound of those that still wait.
    const members =
      count < piece.job.pieces
        ? []
        : this.gang(piece).filter(({ piece: { phase } }) => phase === 'gathering');
    if (members.length === piece.job.pieces)
      for (const member of members) member.worker.begin(member.piece);
    else {
      piece.timer = setTimeout(() => {
        const holder = this.gang(piece).find((member) => member.piece === piece);
        if (piece.phase === 'gathering') holder?.worker.end(piece, 'incomplete');
      }, this.options.timing.gang_wait_s * 1000);
    }
  }

  /** Tasks of a gang complete together; when one is gone, the running others end with `peers`. */
  onEnded(piece) {
    const attempt = `${piece.ref} ${piece.attempt}`;
    if (piece.job?.shape !== 'gang' || this.endedGangs.has(attempt)) return;
    if (piece.cause !== 'done' && piece.cause !== 'error') return;
    this.endedGangs.add(attempt);
    const endAll = (cause) => {
      for (const { worker, piece: other } of this.gang(piece))
        if (other.phase === 'running') worker.end(other, cause);
    };
    if (piece.cause === 'done') endAll('done');
    else setTimeout(() => endAll('peers'), this.options.timing.gang_peer_s * 500);
  }

  /** A machine stops with all that is on it. */
  killMachine(ref) {
    this.record(`${ref}: machine stopped by the test`);
    this.workers.get(ref)?.stop();
    this.workers.delete(ref);
    // The list of the cloud shows a machine that died for about 30 s more.
    setTimeout(() => this.hosts.delete(ref), 30_000).unref();
  }

  cloudAnswer(method, path, body) {
    const { hulls, capacity = 0 } = this.options;
    if (path === '/flavors') return { status: 200, body: { hulls } };
    if (path === '/hosts/return') {
      for (const ref of body.rigs) {
        this.workers.get(ref)?.stop();
        this.workers.delete(ref);
        this.hosts.delete(ref);
      }
      this.record(`cloud: returned ${body.rigs.join(' ')}`);
      return { status: 200, body: {} };
    }
    if (method === 'POST') {
      const before = this.rentals.get(body.charter);
      if (before) return { status: 200, body: { rigs: before } };
      const hull = hulls.find(({ sku }) => sku === body.hull);
      const count = Math.min(body.number, capacity - this.hosts.size);
      if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
      const rigs = [];
      for (let i = 0; i < count; i++) {
        rigs.push(`host-${String(this.nextHost).padStart(6, '0')}`);
        void this.addMachine(body, hull.readyS * 1000);
      }
      this.rentals.set(body.charter, rigs);
      this.record(`cloud: rented ${rigs.join(' ')}`);
      return { status: 200, body: { rigs } };
    }
    const url = new URL(path, 'http://cloud');
    const since = url.searchParams.get('since') ?? '';
    const limit = Math.min(500, Number(url.searchParams.get('page') ?? 500));
    const now = performance.now();
    const listed = [...this.hosts.values()].filter((host) => host.ref > since);
    const rigs = listed.slice(0, limit).map((host) => ({
      ref: host.ref,
      address: host.address ?? `${HOST}:1`,
      hull: host.hull,
      yard: host.yard,
      driftwood: host.driftwood,
      phase: host.isUp ? 'running' : 'starting',
      ageS: (now - host.rentedAt) / 1000,
    }));
    return { status: 200, body: { rigs, more: listed.length > rigs.length } };
  }

  // ---- users

  /** One request of a user; null if there was no response in time. */
  call(controller, method, path, body, timeoutMs) {
    return new Promise((resolve) => {
      const payload = body === undefined ? null : Buffer.from(JSON.stringify(body));
      const req = request({ host: HOST, port: controller.port, path, method, agent: this.agent });
      const timer = setTimeout(() => req.destroy(), timeoutMs);
      const end = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      req.on('error', () => end(null));
      req.on('response', (res) => {
        const parts = [];
        res.on('data', (part) => parts.push(part));
        res.on('close', () => end(null));
        res.on('end', () => {
          const text = Buffer.concat(parts).toString('utf8');
          try {
            end({ status: res.statusCode, body: text === '' ? null : JSON.parse(text) });
          } catch {
            end({ status: res.statusCode, body: null });
          }
        });
      });
      if (payload) {
        req.setHeader('content-type', 'application/json');
        req.setHeader('content-length', payload.length);
      }
      req.end(payload ?? undefined);
    });
  }

  /** Repeats a user's request at one controller after another for up to `forMs`, as users do. */
  async insist(method, path, body, isFinal, forMs = 60_000, first = 0) {
    const until = performance.now() + forMs;
    for (let i = first; ; i++) {
      const controller = this.controllers[i % this.controllers.length];
      const answer = await this.call(controller, method, path, body, 5000);
      const text = answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no response';
      this.record(`user: ${method} ${path} ${body?.ref ?? ''} at ${controller.name}: ${text}`);
      if (answer && isFinal(answer)) return answer;
      if (performance.now() > until || this.isClosed) return answer;
      await sleep(1000);
    }
  }

  /** Submits a job; `template` has the fields of the protocol, and `runMs` and `fetchMs`. */
  submit(ref, template, { first = 0, forMs = 60_000 } = {}) {
    const { runMs = 0, fetchMs = 300, ...fields } = template;
    const body = {
      ref,
      lane: 'batch',
      crew: this.options.teams[0].name,
      shape: 'array',
      urgency: 'standard',
      pieces: 1,
      vcpus: 1,
      gpus: 0,
      memoryGb: 1,
      crate: 'img-1',
      sizeGb: 1,
      hulls: null,
      yard: null,
      samePlace: false,
      apart: false,
      driftwood: false,
      guessS: runMs / 1000,
      snapshotEveryS: 0,
      stowS: 0,
      dueS: null,
      ...fields,
    };
    this.jobs.set(ref, { ...body, runMs, fetchMs });
    const isFinal = ({ status }) => [200, 201, 400, 422].includes(status);
    return this.insist('POST', '/work', body, isFinal, forMs, first);
  }

  abort(ref, first = 0) {
    const isFinal = ({ status }) => status === 200 || status === 404;
    return this.insist('POST', `/work/${ref}/abort`, undefined, isFinal, 60_000, first);
  }

  /** One poll of a user at one controller. */
  async poll(ref, controller) {
    const answer = await this.call(controller, 'GET', `/work/${ref}`, undefined, 2000);
    return answer?.status === 200 ? answer.body : null;
  }

  /** Asks one controller after another until the condition on the answer holds; false if it never does. */
  async pollUntil(ref, condition, forMs) {
    const until = performance.now() + forMs;
    for (let i = 0; performance.now() < until; i++) {
      const body = await this.poll(ref, this.controllers[i % this.controllers.length]);
      if (body && condition(body)) {
        this.record(`user: GET /work/${ref}: ${JSON.stringify(body)}`);
        return true;
      }
      await sleep(500);
    }
    this.record(`user: GET /work/${ref}: not as expected for ${forMs / 1000} s`);
    return false;
  }

  async until(condition, forMs) {
    const until = performance.now() + forMs;
    while (performance.now() < until) {
      if (condition()) return true;
      await sleep(50);
    }
    return false;
  }

  close() {
    this.isClosed = true;
    this.killAll();
    for (const worker of this.workers.values()) worker.stop();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    rmSync(this.directory, { recursive: true, force: true });
  }
}
