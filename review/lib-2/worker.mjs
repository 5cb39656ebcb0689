// A stand-in for a worker, written from the section "Workers -> controller nodes" of PROTOCOL.
import { Buffer } from 'node:buffer';
import { Agent, createServer, request as httpRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const TICK_MS = 25;
const ANSWER_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
const MIN_REPORT_GAP_MS = 500;
export const MAX_BODY_BYTES = 64 * 1024;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends one JSON request; resolves to {status, body, text} or null without a response. */
export function call({ agent, address, method, path, body = null, timeoutMs }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const payload = body === null ? null : Buffer.from(JSON.stringify(body));
    const headers =
      payload === null
        ? {}
        : { 'content-type': 'application/json', 'content-length': payload.length };
    const request = httpRequest({ agent, host, port: Number(port), method, path, headers });
    const timer = setTimeout(() => {
      resolve(null);
      request.destroy();
    }, timeoutMs);
    const end = (value) => {
      globalThis.clearTimeout(timer);
      resolve(value);
    };
    request.on('error', () => end(null));
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => end(null));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        let parsed;
        try {
          parsed = text === '' ? null : JSON.parse(text);
        } catch {
          parsed = null;
        }
        end({ status: response.statusCode, body: parsed, text });
      });
    });
    request.end(payload ?? undefined);
  });
}

/** What all workers share: the jobs' descriptions, the gangs, and what is observed. */
export class Work {
  constructor(settings) {
    this.settings = settings;
    /** Descriptions that users uploaded, by job; `runMs` and `fetchMs` are how its tasks behave. */
    this.jobs = new Map();
    this.workers = [];
    /** Called for each event of a task: (kind, worker, task). */
    this.observe = () => undefined;
  }

  /** The tasks of one attempt of a gang that are on live machines. */
  gang(job, attempt) {
    return this.workers
      .filter((worker) => !worker.gone)
      .flatMap((worker) => worker.tasks)
      .filter((task) => task.job === job && task.attempt === attempt && task.phase !== 'ended');
  }
}

export class Worker {
  constructor({ host, room, controllers, work, listenHost, port }) {
    Object.assign(this, { host, room, controllers, work, listenHost, port });
    this.address = `${listenHost}:${port}`;
    host.address = this.address;
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.clear();
    this.images = new Set();
    this.node = Math.floor(Math.random() * controllers.length);
    this.gone = false;
    this.hung = false;
    this.deaf = false;
    this.mute = false;
    this.warningAt = null;
    this.changed = false;
    this.deferred = [];
    this.leaseFrom = performance.now();
    this.agents = controllers.map(() => new Agent({ keepAlive: true, maxSockets: 1 }));
    this.stats = { reports: 0, answered: 0, sessions: 0, largestReport: 0, longestLine: 0 };
    this.statuses = {};
  }

  clear() {
    this.tasks = [];
    /** The tasks by job, task and attempt, and those that take room by job and task. */
    this.byStart = new Map();
    this.live = new Set();
    this.used = { vcpus: 0, gpus: 0, memoryGb: 0 };
    this.forgotten = false;
  }

  async start() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => undefined);
      request.on('end', () => this.onDirect(request, response, Buffer.concat(chunks)));
    });
    await new Promise((resolve) => this.server.listen(this.port, this.listenHost, resolve));
    this.timer = setInterval(() => this.advance(), TICK_MS);
    void this.reportLoop();
  }

  /** The machine and everything on it are gone. */
  remove() {
    this.gone = true;
    for (const task of this.tasks) this.work.observe('gone', this, task);
    this.clear();
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
    for (const agent of this.agents) agent.destroy();
  }

  body() {
    const warningS =
      this.warningAt === null ? null : Math.max(0, (this.warningAt - performance.now()) / 1000);
    return {
      rig: this.host.ref,
      address: this.address,
      hull: this.host.hull,
      yard: this.host.yard,
      driftwood: this.host.driftwood,
      shift: this.shift,
      tick: ++this.tick,
      baton: this.baton,
      warningS,
      pieces: this.tasks.map(({ job, task, attempt, phase, cause, stored }) => ({
        piece: `${job}/${task}`,
        try: attempt,
        phase,
        ...(phase === 'ended' ? { cause } : {}),
        ...(stored ? { stored: true } : {}),
      })),
    };
  }

  async reportLoop() {
    const reportMs = this.work.settings.report_s * 1000;
    while (!this.gone) {
      const startedAt = performance.now();
      let waitMs = reportMs * (0.75 + Math.random() * 0.5);
      if (!this.hung) {
        this.changed = false;
        const moveMs = await this.report();
        if (moveMs !== null) waitMs = moveMs;
      }
      while (!this.gone && performance.now() - startedAt < waitMs) {
        const elapsedMs = performance.now() - startedAt;
        if (this.changed && !this.hung && elapsedMs >= Math.min(waitMs, MIN_REPORT_GAP_MS)) break;
        await sleep(TICK_MS);
      }
    }
  }

  /** Sends one report. Resolves to how long to wait before the next one, or null for the usual. */
  async report() {
    const node = this.node;
    const body = this.body();
    this.stats.reports++;
    this.stats.largestReport = Math.max(this.stats.largestReport, JSON.stringify(body).length);
    const sentAt = performance.now();
    const { shift } = this;
    const answer = this.mute
      ? await sleep(ANSWER_TIMEOUT_MS).then(() => null)
      : await call({
          agent: this.agents[node],
          address: this.controllers[node].address,
          method: 'POST',
          path: '/v1/report',
          body,
          timeoutMs: ANSWER_TIMEOUT_MS,
        });
    if (this.gone) return null;
    if (this.hung || this.deaf) return this.nextNode(sentAt);
    this.statuses[answer?.status ?? 'none'] = (this.statuses[answer?.status ?? 'none'] ?? 0) + 1;
    if (answer?.status === 200) {
      this.stats.answered++;
      for (const line of answer.text.split('\n'))
        this.stats.longestLine = Math.max(this.stats.longestLine, Buffer.byteLength(line));
      this.obey(answer.body, shift, sentAt);
      return null;
    }
    if (answer?.status === 421) {
      const named = this.controllers.findIndex(({ name }) => name === answer.body?.foreman);
      if (named >= 0 && named !== node) {
        this.node = named;
        return performance.now() - sentAt + Math.random() * 500;
      }
    }
    return this.nextNode(sentAt);
  }

  nextNode(sentAt) {
    this.node = (this.node + 1) % this.controllers.length;
    return performance.now() - sentAt + RETRY_MS;
  }

  obey(answer, shift, sentAt) {
    if (shift !== this.shift || typeof answer?.baton !== 'number') return;
    if (answer.baton < this.baton) return;
    if (answer.baton > this.baton) this.changed = true;
    this.baton = answer.baton;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.executeAll(answer.orders ?? []);
  }

  onDirect(request, response, payload) {
    if (this.gone || this.deaf) return;
    if (this.hung) {
      this.deferred.push(() => this.onDirect(request, response, payload));
      return;
    }
    const reply = (status, body) => {
      if (response.destroyed) return;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    if (request.url === '/status') return reply(200, this.body());
    const command = JSON.parse(payload.toString('utf8'));
    if (typeof command.baton !== 'number' || typeof command.shift !== 'number')
      return reply(400, {});
    if (command.baton < this.baton || command.shift !== this.shift) return reply(409, this.body());
    this.baton = command.baton;
    this.executeAll(command.orders);
    reply(200, this.body());
  }

  executeAll(orders) {
    for (const order of orders) this.execute(order);
    if (this.forgotten) this.tasks = this.tasks.filter(({ forgotten }) => !forgotten);
    this.forgotten = false;
  }

  execute({ verb, piece, try: attempt, windDownS }) {
    const slash = piece.lastIndexOf('/');
    const job = piece.slice(0, slash);
    const task = Number(piece.slice(slash + 1));
    const held = this.byStart.get(`${piece}/${attempt}`);
    if (verb === 'forget') {
      if (held?.phase !== 'ended') return;
      this.byStart.delete(`${piece}/${attempt}`);
      this.forgotten = true;
      held.forgotten = true;
    } else if (verb === 'halt') {
      if (held) this.halt(held, windDownS);
    } else if (verb === 'launch' && !held) this.launch(job, task, attempt);
  }

  launch(job, task, attempt) {
    this.changed = true;
    const entry = { job, task, attempt, phase: 'fetching', cause: null, stored: false };
    entry.since = performance.now();
    this.tasks.push(entry);
    this.byStart.set(`${job}/${task}/${attempt}`, entry);
    this.work.observe('launch', this, entry);
    const refuse = (cause) => {
      entry.phase = 'ended';
      entry.cause = cause;
    };
    const facts = this.work.jobs.get(job);
    if (!facts || task >= facts.body.pieces) return refuse('unknown');
    if (this.live.has(`${job}/${task}`)) return refuse('in_use');
    const { used } = this;
    for (const amount of ['vcpus', 'gpus', 'memoryGb'])
      if (used[amount] + facts.body[amount] > this.room[amount] + 1e-6) return refuse('no_room');
    this.live.add(`${job}/${task}`);
    this.use(facts, 1);
  }

  use({ body }, sign) {
    for (const amount of ['vcpus', 'gpus', 'memoryGb']) this.used[amount] += sign * body[amount];
  }

  end(task, cause, stored = false) {
    const wasOnMachine = task.phase !== 'fetching';
    task.phase = 'ended';
    task.cause = cause;
    task.stored = stored;
    this.changed = true;
    this.live.delete(`${task.job}/${task.task}`);
    this.use(this.work.jobs.get(task.job), -1);
    this.work.observe(wasOnMachine ? 'end' : 'drop', this, task);
  }

  halt(task, windDownS) {
    if (task.phase === 'ended') return;
    const { body } = this.work.jobs.get(task.job);
    const saves = body.snapshotEveryS > 0 && windDownS >= body.stowS;
    if (task.phase === 'flushing') {
      if (windDownS === 0) this.end(task, 'stopped');
    } else if (task.phase === 'running' && saves) {
      task.phase = 'flushing';
      task.flushedAt = performance.now() + body.stowS * 1000;
      this.changed = true;
    } else this.end(task, 'stopped');
  }

  /** Lets the machine hang for a time; it may go on within its lease. */
  async hang(ms) {
    this.hung = true;
    await sleep(ms);
    this.hung = false;
    if (this.gone) return;
    this.expire();
    for (const run of this.deferred.splice(0)) run();
  }

  /** Whether its lease is over; a machine that hangs kills its tasks only when it goes on. */
  get isLeaseOver() {
    return performance.now() - this.leaseFrom > this.work.settings.lease_s * 1000;
  }

  expire() {
    if (!this.isLeaseOver) return;
    this.stats.sessions++;
    for (const task of this.tasks)
      if (task.phase !== 'ended') this.work.observe('gone', this, task);
    this.clear();
    this.shift++;
    this.changed = true;
    this.leaseFrom = performance.now();
  }

  advance() {
    if (this.gone || this.hung) return;
    this.expire();
    const now = performance.now();
    for (const task of this.tasks) {
      if (task.phase === 'ended') continue;
      const facts = this.work.jobs.get(task.job);
      const { body } = facts;
      if (task.phase === 'fetching') this.fetch(task, facts, now);
      if (task.phase === 'gathering') {
        const all = this.work.gang(task.job, task.attempt);
        if (all.length === body.pieces && all.every(({ phase }) => phase !== 'fetching'))
          this.run(task, now);
        else if (now - task.since > this.work.settings.gang_wait_s * 1000)
          this.end(task, 'incomplete');
      } else if (task.phase === 'running') {
        if (facts.runMs > 0 && now - task.since >= facts.runMs) {
          this.end(task, 'done');
          this.work.observe('done', this, task);
        } else if (body.shape === 'gang') this.watchPeers(task, body, now);
      } else if (task.phase === 'flushing' && now >= task.flushedAt)
        this.end(task, 'stopped', true);
    }
  }

  fetch(task, { body, fetchMs = 200 }, now) {
    if (!this.images.has(body.crate) && now - task.since < fetchMs) return;
    this.images.add(body.crate);
    this.work.observe('start', this, task);
    if (body.shape === 'gang') {
      task.phase = 'gathering';
      task.since = now;
      this.changed = true;
    } else this.run(task, now);
  }

  run(task, now) {
    task.phase = 'running';
    task.since = now;
    this.changed = true;
  }

  watchPeers(task, body, now) {
    const all = this.work.gang(task.job, task.attempt);
    if (all.length === body.pieces) {
      task.alone = undefined;
      return;
    }
    task.alone ??= now;
    if (now - task.alone > this.work.settings.gang_peer_s * 1000) this.end(task, 'peers');
  }
}
