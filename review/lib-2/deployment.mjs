// A small deployment in real time: the project's own program as separate processes, and stand-ins
// for the state service, the cloud, the workers and the users in this process.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { Cloud } from './cloud.mjs';
import { StateService } from './store.mjs';
import { call, Work, Worker } from './worker.mjs';

const ROOT = new URL('../../', import.meta.url).pathname;
/** A loopback address of this run alone, so that cases may run side by side. */
const HOST = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}.1`;
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The two sites of BRIEF; machines and load are fewer, the figures of the service are the same. */
export const SITES = {
  'slotsetu-booking': {
    zones: ['gandhinagar-dc'],
    controllers: 3,
    restartMs: 3000,
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 6, cancel_s: 40 },
    state: { rps: 100, write_rps: 20, value_kb: 8, txn_ops: 12 },
    cloud: { rps: 5, list_lag_s: 4 },
    resources: { core_share: 0.255, ram_mb: 146, sockets: 800 },
    teams: [
      ['ahmedabad-core', 56, 152],
      ['surat-desk', 32, 112],
      ['vadodara-desk', 80, 216],
      ['rajkot-desk', 64, 176],
    ],
    hulls: [
      ['sabarmati-box', 32, 4, 128, 300, 4.6, 14.12, 5.2, 45],
      ['narmada-box', 64, 8, 384, 600, 9, 22.21, 9.7, 45],
    ],
  },
  'konyvjel-catalogue': {
    zones: ['budapest-rack', 'debrecen-rack'],
    controllers: 3,
    restartMs: 6000,
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 35, gang_peer_s: 6, cancel_s: 35 },
    state: { rps: 200, write_rps: 25, value_kb: 16, txn_ops: 20 },
    cloud: { rps: 8, list_lag_s: 5 },
    resources: { core_share: 0.136, ram_mb: 114, sockets: 500 },
    teams: [
      ['cataloguing', 40, 80],
      ['metadata-desk', 64, 136],
      ['serials', 64, 200],
      ['rare-prints', 32, 250],
      ['platform', 32, 64],
      ['library-support', 80, 200],
    ],
    hulls: [['tisza-box', 48, 8, 288, 300, 5, 21.55, 7.41, 50]],
  },
};

const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));

/** Reserves free ports below the ephemeral range. */
async function freePorts(count) {
  const ports = [];
  let port = 20_000 + (process.pid % 400) * 25;
  while (ports.length < count) {
    port = port >= 32_000 ? 20_000 : port + 1;
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, HOST, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    ports.push(port);
  }
  return ports;
}

export class Deployment {
  constructor(folder, siteName, { operator = null, maxMachines = 40, site = {} } = {}) {
    this.folder = folder;
    this.siteName = siteName;
    this.site = { ...SITES[siteName], ...site };
    this.operator = operator;
    this.maxMachines = maxMachines;
    this.startedAt = performance.now();
    this.lines = [];
    this.violations = [];
    this.onMachine = new Map();
    this.controllers = [];
    this.agent = new Agent({ keepAlive: true });
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.nextRef = 1;
    this.ended = [];
    process.on('SIGINT', () => process.exit(2));
    process.on('SIGTERM', () => process.exit(2));
    process.on('exit', () => {
      for (const { child } of this.controllers) child?.kill('SIGKILL');
    });
  }

  get now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  record(text) {
    this.lines.push(`${this.now.toFixed(3)} ${text}`);
  }

  violate(text) {
    this.violations.push(text);
    this.record(`RULE BROKEN: ${text}`);
  }

  async start(machines) {
    const { site } = this;
    const ports = await freePorts(2 + site.controllers * 4 + this.maxMachines);
    const port = () => ports.shift();
    this.state = new StateService(site.state);
    this.cloud = new Cloud({
      hulls: site.hulls.map(
        ([sku, vcpus, gpus, memoryGb, cacheGb, fetchGbPerS, price, marketPrice, readyS]) => ({
          sku,
          ...{ vcpus, gpus, memoryGb, cacheGb, fetchGbPerS, price, marketPrice, readyS },
          yards: site.zones,
        }),
      ),
    });
    this.cloudPort = port();
    await this.cloud.listen(HOST, this.cloudPort);
    for (let i = 0; i < site.controllers; i++) {
      const controller = {
        name: `berth-${i}`,
        zone: site.zones[i % site.zones.length],
        address: `${HOST}:${port()}`,
        peerAddress: `${HOST}:${port()}`,
        statePort: port(),
        operatorsAddress: `${HOST}:${port()}`,
        child: null,
      };
      await this.state.listen(controller.name, HOST, controller.statePort);
      this.controllers.push(controller);
    }
    this.ports = ports;
    this.work = new Work(site.workers);
    this.work.observe = (kind, worker, task) => this.observe(kind, worker, task);
    this.cloud.onUp = (host) => void this.addWorker(host);
    this.cloud.onGone = (ref) => this.worker(ref)?.remove();
    for (const controller of this.controllers) this.writeSettings(controller);
    for (const controller of this.controllers) this.spawn(controller);
    for (const [hull, count, zone = site.zones[0], driftwood = false] of machines) {
      for (let i = 0; i < count; i++)
        await this.addWorker(this.cloud.add({ hull, yard: zone, driftwood }));
    }
  }

  worker(ref) {
    return this.work.workers.find(({ host }) => host.ref === ref);
  }

  async addWorker(host) {
    const type = this.site.hulls.find(([sku]) => sku === host.hull);
    const worker = new Worker({
      host,
      room: { vcpus: type[1], gpus: type[2], memoryGb: type[3] },
      controllers: this.controllers,
      work: this.work,
      listenHost: HOST,
      port: this.ports.shift(),
    });
    this.work.workers.push(worker);
    await worker.start();
    return worker;
  }

  writeSettings(controller) {
    const { site } = this;
    const table = (name, values) =>
      `[facts.${name}]\n${Object.entries(values)
        .map(([key, value]) =>
          ['txn_ops', 'sockets'].includes(key) ? `${key} = ${value}` : `${key} = ${decimal(value)}`,
        )
        .join('\n')}\n`;
    const known = this.controllers
      .filter((other) => other !== controller)
      .map(
        ({ name, zone, peerAddress }) =>
          `[[known]]\nmember = "${name}"\nsite = "${zone}"\naddress = "${peerAddress}"\n`,
      );
    const teams = site.teams.map(
      ([name, gpus, gpusMax]) =>
        `[[facts.teams]]\nname = "${name}"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ${decimal(gpus)}\ngpus_max = ${decimal(gpusMax)}\n`,
    );
    controller.settings = join(this.directory, `${controller.name}.toml`);
    writeFileSync(
      controller.settings,
      `member = "${controller.name}"
site = "${controller.zone}"
public_addr = "${controller.address}"
peer_bind = "${controller.peerAddress}"
${known.join('')}
[external]
cloud = "${HOST}:${this.cloudPort}"
state = "${HOST}:${controller.statePort}"
[facts]
size = ${site.controllers}
zones = [${site.zones.map((zone) => `"${zone}"`).join(', ')}]
clock_error_ms = 100.0
${teams.join('')}${table('workers', site.workers)}${table('state', site.state)}${table('cloud', site.cloud)}${table('resources', site.resources)}`,
    );
    if (this.operator === null) return;
    controller.operatorFile = join(this.directory, `${controller.name}.xml`);
    writeFileSync(controller.operatorFile, this.operator(controller));
  }

  /** Starts a controller with the command of the deploy file. */
  spawn(controller) {
    const service = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(service)[1].split(' ');
    const operator = controller.operatorFile ? ['--operator', controller.operatorFile] : [];
    const log = process.env.LOG_LEVEL ?? 'warn';
    const child = spawn(program, [...args, controller.settings, ...operator], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: log },
    });
    controller.child = child;
    controller.expected = false;
    this.record(`${controller.name} started, pid ${child.pid}`);
    child.stderr.on('data', (chunk) => {
      for (const line of chunk.toString('utf8').split('\n'))
        if (line !== '') this.record(`${controller.name} log ${line.slice(0, 400)}`);
    });
    child.on('exit', (code, signal) => {
      this.record(`${controller.name} ended: code ${code}, signal ${signal}`);
      if (controller.child !== child) return;
      controller.child = null;
      if (!controller.expected) this.ended.push(`${controller.name}: code ${code}, ${signal}`);
    });
  }

  /** Kills a controller as in a crash. */
  kill(controller) {
    this.record(`${controller.name} is killed`);
    controller.expected = true;
    controller.child?.kill('SIGKILL');
  }

  get leader() {
    const member = this.state.get('leader')?.member;
    return this.controllers.find(({ name }) => name === member);
  }

  /** Observes the tasks and checks the rule `ran_twice`. */
  observe(kind, worker, task) {
    const key = `${task.job}/${task.task}`;
    if (this.quiet !== true)
      this.record(`${worker.host.ref} ${kind} ${key} try ${task.attempt} ${task.cause ?? ''}`);
    if (kind === 'start') {
      // A machine that hangs beyond its lease never executes these tasks again.
      for (const [held, on] of this.onMachine)
        if (on.hung && on.isLeaseOver) this.onMachine.delete(held);
      const other = this.onMachine.get(key);
      if (other !== undefined && other !== worker)
        this.violate(`ran_twice: ${key} starts on ${worker.host.ref}, is on ${other.host.ref}`);
      this.onMachine.set(key, worker);
      this.onStart?.(worker, task);
    } else if (kind === 'end' || kind === 'gone') {
      if (this.onMachine.get(key) === worker) this.onMachine.delete(key);
    }
    if (kind === 'done') this.doneTasks.add(key);
  }

  doneTasks = new Set();

  /** A submission; `runMs` and `fetchMs` say how its tasks behave. */
  job({ runMs = 0, fetchMs = 200, ...fields }) {
    const ref = `req-${String(this.nextRef++).padStart(6, '0')}`;
    const body = {
      ref,
      lane: 'opd-rush',
      crew: this.site.teams[0][0],
      shape: 'array',
      urgency: 'standard',
      pieces: 1,
      vcpus: 5,
      gpus: 1,
      memoryGb: 25,
      crate: 'img-01',
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
    this.work.jobs.set(ref, { body, runMs, fetchMs });
    return body;
  }

  /** Sends one request of a user to one controller; null means no response. */
  async ask(controller, method, path, body, timeoutMs = method === 'GET' ? 2000 : 5000) {
    const reply = await call({
      agent: this.agent,
      address: controller.address,
      ...{ method, path, body, timeoutMs },
    });
    if (this.quiet !== true || method === 'POST')
      this.record(
        `user ${method} ${path}${body?.ref ? ` ${body.ref}` : ''} at ${controller.name}: ${
          reply === null ? 'no response' : `${reply.status} ${reply.text.slice(0, 200)}`
        }`,
      );
    return reply;
  }

  /** Repeats a request as PROTOCOL says until it is decided, for up to 60 s. */
  async decide(path, body) {
    const until = performance.now() + 60_000;
    for (let i = Math.floor(Math.random() * 3); performance.now() < until; i++) {
      const controller = this.controllers[i % this.controllers.length];
      if (controller.child === null) continue;
      const reply = await this.ask(controller, 'POST', path, body);
      if (reply && [200, 201, 400, 404, 422].includes(reply.status)) return reply;
      await sleep(1000);
    }
    return null;
  }

  submit(body) {
    return this.decide('/work', body);
  }

  cancel(ref) {
    return this.decide(`/work/${ref}/abort`, null);
  }

  async until(condition, seconds) {
    const deadline = performance.now() + seconds * 1000;
    while (performance.now() < deadline) {
      if (await condition()) return true;
      await sleep(50);
    }
    return false;
  }

  /** Waits until a leader answers workers and every controller is ready. */
  async ready(seconds = 20) {
    const ok = await this.until(async () => {
      if (!this.leader) return false;
      if (this.work.workers.some(({ stats }) => stats.answered === 0)) return false;
      const replies = await Promise.all(
        this.controllers.map((controller) =>
          call({
            agent: this.agent,
            address: controller.address,
            method: 'GET',
            path: '/ready',
            timeoutMs: 1000,
          }),
        ),
      );
      return replies.every((reply) => reply?.status === 200);
    }, seconds);
    if (!ok) throw new Error('the deployment did not become ready');
    this.record(`ready, ${this.leader.name} leads`);
  }

  async close() {
    for (const controller of this.controllers) {
      controller.expected = true;
      controller.child?.kill('SIGCONT');
      controller.child?.kill('SIGKILL');
    }
    for (const worker of this.work?.workers ?? []) if (!worker.gone) worker.remove();
    this.state?.close();
    this.cloud?.close();
    this.agent.destroy();
    await sleep(100);
    rmSync(this.directory, { recursive: true, force: true });
    writeFileSync(join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, site, options, story) {
  const deployment = new Deployment(folder, site, options);
  let code = 2;
  try {
    const withTrouble = process.env.TROUBLE !== '0';
    await story(deployment, withTrouble);
    code = deployment.violations.length > 0 ? 1 : 0;
    for (const violation of deployment.violations)
      process.stdout.write(`rule broken: ${violation}\n`);
    if (code === 0) process.stdout.write('the rule held\n');
  } catch (error) {
    deployment.record(`could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.message}\n`);
  }
  await deployment.close();
  process.exit(code);
}
