// The rules of PROTOCOL, checked on what users, machines and the cloud can see.
import { setInterval, clearInterval } from 'node:timers';

const FINAL = ['done', 'withdrawn'];

export class Rules {
  constructor(deployment) {
    this.deployment = deployment;
    this.jobs = new Map();
    this.seen = new Set();
    deployment.onStart = (worker, task) => this.onStart(worker, task);
    this.timer = setInterval(() => this.checkCancelled(), 250);
  }

  close() {
    clearInterval(this.timer);
  }

  violate(key, text) {
    if (this.seen.has(key)) return;
    this.seen.add(key);
    this.deployment.violate(text);
  }

  jobOf(ref) {
    const known = this.jobs.get(ref);
    if (known) return known;
    const job = {
      accepted: null,
      cancelAsked: null,
      withdrawn: null,
      done: null,
      lastAnswer: null,
    };
    this.jobs.set(ref, job);
    return job;
  }

  /** Notes an answer to a user; `askedAt` is when the question was sent. */
  onAnswer(ref, kind, reply, askedAt) {
    const job = this.jobOf(ref);
    if (reply === null) return;
    const { now } = this.deployment;
    const { status, body } = reply;
    if (kind === 'submit' && job.accepted !== null && job.accepted < askedAt)
      if (status === 400 || status === 422)
        this.violate(`f${ref}`, `forgotten: repeated submission of ${ref} gets ${status}`);
    if (status === 404 && job.accepted !== null && job.accepted < askedAt)
      this.violate(`f${ref}`, `forgotten: ${ref} was accepted at ${job.accepted}, gets 404`);
    if (status !== 200 && status !== 201) return;
    job.lastAnswer = now;
    job.accepted ??= now;
    const { phase } = body;
    for (const end of FINAL) {
      const known = end === 'done' ? job.done : job.withdrawn;
      if (known !== null && known < askedAt && phase !== end)
        this.violate(`w${ref}`, `went_back: ${ref} was called ${end} at ${known}, now ${phase}`);
    }
    if (phase === 'withdrawn') {
      job.withdrawn ??= now;
      if (!this.mayBeCancelled(ref))
        this.violate(`c${ref}`, `went_back: ${ref} is called cancelled, nobody cancelled it`);
    }
    if (phase === 'done') {
      job.done ??= now;
      this.checkDone(ref);
    }
  }

  needs(ref) {
    return this.deployment.work.jobs.get(ref)?.body.waitsOn ?? [];
  }

  mayBeCancelled(ref) {
    if (this.jobOf(ref).cancelAsked !== null) return true;
    return this.needs(ref).some((other) => this.mayBeCancelled(other));
  }

  /** When the user was told that the job, or one that it needs, is cancelled. */
  cancelledAt(ref) {
    const own = this.jobOf(ref).withdrawn;
    const before = this.needs(ref).map((other) => this.cancelledAt(other));
    const times = [own, ...before].filter((at) => at !== null);
    return times.length > 0 ? Math.min(...times) : null;
  }

  isReallyDone(ref) {
    const { work, doneTasks } = this.deployment;
    const { pieces, shape } = work.jobs.get(ref).body;
    if (shape === 'gang') return doneTasks.has(`${ref}/0`) || this.anyDone(ref, pieces);
    for (let task = 0; task < pieces; task++) if (!doneTasks.has(`${ref}/${task}`)) return false;
    return true;
  }

  anyDone(ref, pieces) {
    for (let task = 0; task < pieces; task++)
      if (this.deployment.doneTasks.has(`${ref}/${task}`)) return true;
    return false;
  }

  checkDone(ref) {
    if (!this.isReallyDone(ref))
      this.violate(`n${ref}`, `not_done: ${ref} is called done before all its tasks are`);
  }

  onStart(worker, task) {
    const { work, site, onMachine } = this.deployment;
    const { body } = work.jobs.get(task.job);
    const { hull, yard, driftwood } = worker.host;
    const key = `${task.job}/${task.task}`;
    if (
      (body.hulls && !body.hulls.includes(hull)) ||
      (body.yard && body.yard !== yard) ||
      (driftwood && !body.driftwood)
    )
      this.violate(`p${key}`, `wrong_place: ${key} starts on ${hull} in ${yard}, ${driftwood}`);
    let inZone = 0;
    let elsewhere = 0;
    for (let other = 0; other < body.pieces; other++) {
      const on = onMachine.get(`${task.job}/${other}`);
      if (!on) continue;
      if (on.host.yard === yard) inZone++;
      else elsewhere++;
    }
    if (body.samePlace && elsewhere > 0)
      this.violate(`p${key}`, `wrong_place: ${key} starts in ${yard}, others are elsewhere`);
    if (body.apart && inZone > Math.ceil(body.pieces / 2))
      this.violate(`p${key}`, `wrong_place: ${key} is number ${inZone} in ${yard}`);
    const used = new Map();
    for (const other of onMachine.keys()) {
      const { crew, gpus } = work.jobs.get(other.slice(0, other.lastIndexOf('/'))).body;
      used.set(crew, (used.get(crew) ?? 0) + gpus);
    }
    for (const [team, , limit] of site.teams)
      if (limit > 0 && (used.get(team) ?? 0) > limit + 1e-6)
        this.violate(`q${team}`, `quota: ${team} uses ${used.get(team)} GPUs of ${limit}`);
    for (const other of body.waitsOn ?? [])
      if (!this.isReallyDone(other))
        this.violate(`e${key}`, `too_early: ${key} starts before ${other} is done`);
    this.checkCancelledTask(key, task.job);
  }

  checkCancelledTask(key, ref) {
    const { site, now } = this.deployment;
    const at = this.cancelledAt(ref);
    if (at !== null && now - at > site.workers.cancel_s + 0.3)
      this.violate(`r${key}`, `ran_cancelled: ${key} is on a machine, cancelled at ${at}`);
  }

  checkCancelled() {
    for (const [key, worker] of this.deployment.onMachine) {
      if (worker.hung) continue;
      this.checkCancelledTask(key, key.slice(0, key.lastIndexOf('/')));
    }
  }
}
