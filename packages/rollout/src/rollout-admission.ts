/** Decides whether a requested rollout is admitted, by the records of rollouts and of its jobs. */
import { errorAnswer, type ApiAnswer } from '@leverhatch/operators/api-answer';
import { InvalidRequestError } from '@leverhatch/operators/request';
import { versionMismatchReason } from './eligibility.js';
import type { RolloutPorts, ServiceJob } from './ports.js';
import { FRESH_INTERVALS } from './readiness-proofs.js';
import type { RolloutRequest } from './request.js';
import { isOpen, jobsOf, type RolloutRepository } from './rollout-repository.js';

/** Most rollouts that may be open at once. */
const MAX_OPEN_ROLLOUTS = 50;

/** How far the probe interval may be stretched, well within the time for which a proof lasts. */
const MAX_STRETCH = FRESH_INTERVALS / 2;

/** Tolerance for sums of fractional resources. */
const ROUNDING = 1e-6;

/** Admission of requests at one controller. */
export class RolloutAdmission {
  constructor(private readonly ports: Pick<RolloutPorts, 'probing' | 'readJob' | 'teamLimit'>) {}

  /** The refusal of a request; null: it is admitted.
   *
   * @throws InvalidRequestError if the jobs do not fit
   */
  async refusalOf(
    request: RolloutRequest,
    repository: RolloutRepository,
  ): Promise<ApiAnswer | null> {
    const open = repository.rollouts.filter(isOpen);
    if (open.length >= MAX_OPEN_ROLLOUTS) return errorAnswer(503, 'too many rollouts are open');
    const jobs = [request.from, request.to];
    for (const other of open) {
      const job = jobsOf(other).find((name) => jobs.includes(name));
      if (!job) continue;
      const field = job === request.from ? 'from' : 'to';
      return errorAnswer(409, `${field}: job ${job} is named by rollout ${other.id}`);
    }
    await this.checkJobs(request);
    return null;
  }

  /**
   * The job of a request's `from`.
   *
   * @throws InvalidRequestError if there is no such job
   */
  async serviceJob(id: string): Promise<ServiceJob> {
    const job = await this.ports.readJob(id);
    if (job === null) throw new InvalidRequestError(422, 'from', `unknown job ${id}`);
    return job;
  }

  private async checkJobs(request: RolloutRequest): Promise<void> {
    const from = await this.serviceJob(request.from);
    if (from.state !== 'open')
      throw new InvalidRequestError(422, 'from', `job ${from.id} is ${from.state}`);
    const mismatch = versionMismatchReason(request, from, await this.ports.readJob(request.to));
    if (mismatch !== null) throw new InvalidRequestError(422, mismatch.field, mismatch.message);
    this.checkProbes(from);
    const limit = await this.ports.teamLimit(from.team);
    for (const resource of ['cpus', 'gpus'] as const) {
      const least = from.resources[resource] * (from.replicas + 1);
      if (limit === null || least <= limit[resource] + ROUNDING) continue;
      const message = `team ${from.team} may use ${limit[resource]} ${resource}, ${least} are needed`;
      throw new InvalidRequestError(422, 'maxSurge', message);
    }
  }

  /** Replicas that cannot be probed in time would never be proven; both versions are probed. */
  private checkProbes({ replicas }: ServiceJob): void {
    const { intervalMs, perSecond } = this.ports.probing;
    const most = Math.floor((perSecond * intervalMs * MAX_STRETCH) / 1000);
    if (replicas * 2 <= most) return;
    const message = `${replicas * 2} replicas cannot be probed in time, ${most} can (probesPerSecond)`;
    throw new InvalidRequestError(422, 'from', message);
  }
}
