/** Decides whether a requested rollout is admitted, based on the records of rollouts and jobs. */
import { errorResponse, type OperatorResponse } from '@leverhatch/operators/operator-response';
import { InvalidRequestError } from '@leverhatch/operators/request';
import { versionMismatchReason } from './eligibility.js';
import type { RolloutPorts, ServiceJob } from './ports.js';
import { PROOF_LIFETIME_INTERVALS } from './readiness-proofs.js';
import type { RolloutRequest } from './request.js';
import { isOpen, jobsOf, type RolloutRepository } from './rollout-repository.js';

/** Maximum number of open rollouts. */
const MAX_OPEN_ROLLOUTS = 50;

/** Maximum factor by which the probe interval may be extended: half the validity of a proof, as a margin. */
const MAX_INTERVAL_STRETCH = PROOF_LIFETIME_INTERVALS / 2;

/** Tolerance for sums of fractional resources. */
const RESOURCE_TOLERANCE = 1e-6;

/** Admission control of rollout requests in one controller. */
export class RolloutAdmission {
  constructor(private readonly ports: Pick<RolloutPorts, 'probing' | 'readJob' | 'teamLimit'>) {}

  /** The error answer for a request; null if it is admitted.
   *
   * @throws InvalidRequestError if the jobs are not eligible, or a limit does not allow the rollout
   */
  async refusalOf(
    request: RolloutRequest,
    repository: RolloutRepository,
  ): Promise<OperatorResponse | null> {
    const open = repository.rollouts.filter(isOpen);
    if (open.length >= MAX_OPEN_ROLLOUTS) return errorResponse(503, 'too many rollouts are open');
    const jobs = [request.from, request.to];
    for (const other of open) {
      const job = jobsOf(other).find((name) => jobs.includes(name));
      if (!job) continue;
      const field = job === request.from ? 'from' : 'to';
      return errorResponse(409, `${field}: job ${job} is named by rollout ${other.id}`);
    }
    await this.checkJobs(request);
    return null;
  }

  /**
   * Reads the job named by a request's `from`.
   *
   * @throws InvalidRequestError if the job does not exist
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
    this.checkProbeRate(from);
    const limit = await this.ports.teamLimit(from.team);
    for (const resource of ['cpus', 'gpus'] as const) {
      const required = from.resources[resource] * (from.replicas + 1);
      if (limit === null || required <= limit[resource] + RESOURCE_TOLERANCE) continue;
      const message = `team ${from.team} may use ${limit[resource]} ${resource}, ${required} are needed`;
      throw new InvalidRequestError(422, 'maxSurge', message);
    }
  }

  /**
   * Refuses a service with more replicas than can be probed within `MAX_INTERVAL_STRETCH` probe intervals: if
   * proofs expire before the next probe, the replicas are never all proven. Both versions are probed, hence the
   * factor 2.
   */
  private checkProbeRate({ replicas }: ServiceJob): void {
    const { intervalMs, perSecond } = this.ports.probing;
    const maxReplicas = Math.floor((perSecond * intervalMs * MAX_INTERVAL_STRETCH) / 1000);
    if (replicas * 2 <= maxReplicas) return;
    const message = `${replicas * 2} replicas cannot be probed in time, ${maxReplicas} can (probesPerSecond)`;
    throw new InvalidRequestError(422, 'from', message);
  }
}
