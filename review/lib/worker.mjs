/** Stand-in of a worker, written from PROTOCOL ("Workers -> controller nodes"). */
import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout, clearTimeout } from 'node:timers';

const ANSWER_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
const MAX_LINE_BYTES = 64 * 1024;
const MIN_CHANGE_MS = 500;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Worker {
  /**
   * @param host `{ ref, hull, yard, driftwood, capacity }`
   * @param world `{ controllers: [{ name, port }], timing, jobs: Map, peersOf(job, attempt), record }`
   */
  constructor(host, world) {
    Object.assign(this, host);
    this.world = world;
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.warningS = null;
    this.pieces = new Map();
    this.leaseFrom = performance.now();
    this.isDead = false;
    this.node = 0;
    this.wake = null;
    this.answered = 0;
    this.agent = new Agent({ keepAlive: true, maxSockets: 2 });
  }

  async start() {
    this.server = createServer((req, res) => this.onDirect(req, res));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    void this.run();
  }

  /** The machine is gone with everything on it. */
  stop() {
    this.isDead = true;
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
    for (const piece of this.pieces.values()) clearTimeout(piece.timer);
    this.pieces.clear();
    this.wake?.();
  }

  body() {
    const pieces = [];
    for (const { id, attempt, phase, cause, stored } of this.pieces.values()) {
      pieces.push({
        piece: id,
        try: attempt,
        phase,
        ...(cause ? { cause } : {}),
        ...(stored ? { stored: true } : {}),
      });
    }
    const { ref: rig, address, hull, yard, driftwood, shift, baton, warningS } = this;
    this.tick++;
    return { rig, address, hull, yard, driftwood, shift, tick: this.tick, baton, warningS, pieces };
  }

  async run() {
    const { reportMs, leaseMs } = this.world.timing;
    while (!this.isDead) {
      this.checkLease(leaseMs);
      const lastAt = performance.now();
      const pauseMs = await this.report();
      if (this.isDead) return;
      if (pauseMs > 0) {
        await sleep(pauseMs);
        continue;
      }
      const intervalMs = reportMs * (0.75 + Math.random() / 2);
      const elapsed = performance.now() - lastAt;
      if (!this.hasChanged) await this.waitForChange(Math.max(0, intervalMs - elapsed));
      const since = performance.now() - lastAt;
      if (since < MIN_CHANGE_MS) await sleep(MIN_CHANGE_MS - since);
    }
  }

  waitForChange(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    }).finally(() => (this.wake = null));
  }

  changed() {
    this.hasChanged = true;
    this.wake?.();
  }

  /** A lease that ran out kills and forgets all tasks, and begins the next session. */
  checkLease(leaseMs) {
    if (performance.now() - this.leaseFrom <= leaseMs) return;
    if (this.pieces.size > 0)
      this.world.record(`${this.ref}: lease ran out, ${this.pieces.size} tasks killed`);
    this.world.onLeaseEnd?.(this, [...this.pieces.values()]);
    for (const piece of this.pieces.values()) clearTimeout(piece.timer);
    this.pieces.clear();
    this.shift++;
    this.leaseFrom = performance.now();
  }

  /** Sends one report; resolves to the pause before the next one, or 0 for the usual interval. */
  async report() {
    const { controllers } = this.world;
    this.hasChanged = false;
    const body = this.body();
    const sentAt = performance.now();
    const answer = await this.post(controllers[this.node].port, '/v1/report', body);
    if (this.isDead) return 0;
    if (answer?.status === 200) {
      this.accept(body, sentAt, answer.body);
      return 0;
    }
    const named = answer?.status === 421 ? (answer.body?.foreman ?? null) : null;
    const index = controllers.findIndex(({ name }) => name === named);
    const isRedirect = index >= 0 && index !== this.node;
    this.node = isRedirect ? index : (this.node + 1) % controllers.length;
    return isRedirect ? Math.random() * 500 + 1 : RETRY_MS;
  }

  accept({ shift }, sentAt, { baton, orders }) {
    if (shift !== this.shift || !(baton >= this.baton)) return;
    this.checkLease(this.world.timing.leaseMs);
    if (shift !== this.shift) return;
    const isHigher = baton > this.baton;
    this.baton = baton;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.answered++;
    for (const order of orders) this.execute(order);
    if (isHigher) this.changed();
  }

  post(port, path, body) {
    return new Promise((resolve) => {
      const payload = Buffer.from(JSON.stringify(body));
      const req = request({ host: '127.0.0.1', port, path, method: 'POST', agent: this.agent });
      const timer = setTimeout(() => req.destroy(), ANSWER_TIMEOUT_MS);
      const end = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      req.on('error', () => end(null));
      req.on('response', (res) => {
        const parts = [];
        res.on('data', (part) => parts.push(part));
        res.on('error', () => end(null));
        res.on('close', () => end(null));
        res.on('end', () => {
          const text = Buffer.concat(parts).toString('utf8');
          const longest = Math.max(...text.split('\n').map((line) => Buffer.byteLength(line)));
          this.world.onAnswer?.(this, longest);
          if (longest > MAX_LINE_BYTES) return end(null);
          try {
            end({ status: res.statusCode, body: text === '' ? null : JSON.parse(text) });
          } catch {
            end(null);
          }
        });
      });
      req.setHeader('content-type', 'application/json');
      req.setHeader('content-length', payload.length);
      req.end(payload);
    });
  }

  onDirect(req, res) {
    const parts = [];
    req.on('data', (part) => parts.push(part));
    req.on('end', () => {
      const send = (status, body) => {
        res.writeHead(status, { 'content-type': 'application/json' });
        res.end(JSON.stringify(body));
      };
      if (this.isDead) return res.destroy();
      if (req.url === '/status') return send(200, this.body());
      const { baton, shift, orders } = JSON.parse(Buffer.concat(parts).toString('utf8'));
      if (baton === undefined || shift === undefined) return send(400, {});
      if (baton < this.baton || shift !== this.shift) return send(409, this.body());
      this.baton = baton;
      for (const order of orders) this.execute(order);
      send(200, this.body());
    });
  }

  execute({ verb, piece, try: attempt, windDownS }) {
    const key = `${piece} ${attempt}`;
    const held = this.pieces.get(key);
    if (verb === 'launch' && !held) this.launch(piece, attempt);
    if (verb === 'halt' && held) this.halt(held, windDownS);
    if (verb === 'forget' && held?.phase === 'ended') {
      this.pieces.delete(key);
      this.changed();
    }
  }

  freeOf(name) {
    let free = this.capacity[name];
    for (const { phase, job } of this.pieces.values())
      if (phase !== 'ended') free -= job?.[name] ?? 0;
    return free;
  }

  launch(id, attempt) {
    const [ref, number] = id.split('/');
    const job = this.world.jobs.get(ref);
    const piece = { id, ref, number: Number(number), attempt, job, phase: 'fetching', cause: null };
    const isInUse = [...this.pieces.values()].some(
      (other) => other.id === id && other.phase !== 'ended',
    );
    this.pieces.set(`${id} ${attempt}`, piece);
    this.changed();
    if (!job || piece.number >= job.pieces) return this.end(piece, 'unknown');
    if (isInUse) return this.end(piece, 'in_use');
    const hasRoom = ['vcpus', 'gpus', 'memoryGb'].every((name) => this.freeOf(name) >= -1e-6);
    if (!hasRoom) return this.end(piece, 'no_room');
    this.world.onLaunch?.(this, piece);
    piece.timer = setTimeout(() => this.onImage(piece), job.fetchMs);
  }

  isCurrent(piece) {
    return (
      !this.isDead &&
      this.pieces.get(`${piece.id} ${piece.attempt}`) === piece &&
      piece.phase !== 'ended'
    );
  }

  onImage(piece) {
    if (!this.isCurrent(piece)) return;
    if (piece.job.shape === 'gang') {
      piece.phase = 'gathering';
      this.changed();
      this.world.onGathering(piece);
    } else this.begin(piece);
  }

  begin(piece) {
    if (!this.isCurrent(piece) || piece.phase === 'running') return;
    piece.phase = 'running';
    this.changed();
    this.world.onRunning?.(this, piece);
    const failsMs = this.world.failsAfterMs?.(this, piece) ?? null;
    if (failsMs !== null) piece.timer = setTimeout(() => this.end(piece, 'error'), failsMs);
    else if (piece.job.runMs > 0)
      piece.timer = setTimeout(() => this.end(piece, 'done'), piece.job.runMs);
  }

  halt(piece, windDownS) {
    if (piece.phase === 'ended') return;
    clearTimeout(piece.timer);
    const { stowS, snapshotEveryS } = piece.job;
    const maySave = piece.phase === 'running' && snapshotEveryS > 0 && windDownS >= stowS;
    if (!maySave) return this.end(piece, 'stopped');
    piece.phase = 'flushing';
    this.changed();
    piece.timer = setTimeout(() => {
      piece.stored = true;
      this.end(piece, 'stopped');
    }, stowS * 1000);
  }

  end(piece, cause) {
    if (!this.isCurrent(piece)) return;
    clearTimeout(piece.timer);
    piece.phase = 'ended';
    piece.cause = cause;
    this.changed();
    this.world.onEnded?.(this, piece);
  }
}
