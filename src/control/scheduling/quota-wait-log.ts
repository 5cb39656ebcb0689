/** Logging of work that waits only because of the quota limit of its team. */
import type { QuotaLimitedTasks, TeamView } from '../../scheduler/scheduling-model.js';
import type { Logger } from '@leverhatch/core/log';

/** Heartbeat intervals for which a change must last before it is logged. */
const SETTLED_HEARTBEATS = 3;

interface TeamState {
  /** Whether the last log line said that work of the team waits for its limit. */
  isLoggedLimited: boolean;
  /** Since when scheduling cycles have differed from what was logged; null: the last one agreed. */
  changedAt: number | null;
  /** When the wait that was logged last began. */
  limitedSince: number;
}

/**
 * Logs when work waits only because of the limit of its team, and when it no longer does. Without
 * these lines, waiting work beside idle machines would look like a stalled scheduler. It only logs
 * and affects no decision.
 */
export class QuotaWaitLog {
  private readonly states = new Map<string, TeamState>();

  constructor(
    private readonly log: Logger,
    private readonly heartbeatIntervalMs: number,
  ) {}

  /**
   * @param quotaLimited waiting tasks by team, for teams whose limit blocked them in this cycle
   * @param teams usage and limits of all teams
   * @param now monotonic time in milliseconds
   */
  observe(
    quotaLimited: QuotaLimitedTasks,
    teams: ReadonlyMap<string, TeamView>,
    now: number,
  ): void {
    for (const [name, team] of teams) {
      const state = this.states.get(name) ?? {
        isLoggedLimited: false,
        changedAt: null,
        limitedSince: now,
      };
      this.states.set(name, state);
      const tasks = quotaLimited.get(name) ?? 0;
      if (tasks > 0 === state.isLoggedLimited) {
        state.changedAt = null;
        continue;
      }
      state.changedAt ??= now;
      if (now - state.changedAt < this.heartbeatIntervalMs * SETTLED_HEARTBEATS) continue;
      this.logChange(name, team, tasks, state, state.changedAt);
    }
  }

  private logChange(
    name: string,
    team: TeamView,
    tasks: number,
    state: TeamState,
    changedAt: number,
  ): void {
    state.isLoggedLimited = tasks > 0;
    state.changedAt = null;
    if (tasks > 0) {
      state.limitedSince = changedAt;
      this.log.info(
        { team: name, tasks, ...limitFields(team) },
        'work waits for the limit of its team',
      );
    } else {
      this.log.info(
        { team: name, forMs: Math.round(changedAt - state.limitedSince) },
        'no work waits for the limit of its team any more',
      );
    }
  }
}

/** Log fields with the usage and limit of each limited resource. */
function limitFields({ used, limit }: TeamView): Record<string, number> {
  const fields: Record<string, number> = {};
  if (limit.cpus !== Infinity) Object.assign(fields, { cpus: used.cpus, cpusLimit: limit.cpus });
  if (limit.gpus !== Infinity) Object.assign(fields, { gpus: used.gpus, gpusLimit: limit.gpus });
  return fields;
}
