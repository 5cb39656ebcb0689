/** Tells operators when work waits for its team's quota. */
import type { QuotaLimitedTasks, TeamView } from '../../scheduler/scheduling-model.js';
import type { Logger } from '@leverhatch/core/log';

/** For how many heartbeat intervals a change has to last before it is logged. */
const SETTLED_HEARTBEATS = 3;

interface TeamState {
  /** What was last logged: work of the team waits for its limit. */
  isReportedLimited: boolean;
  /** Since when each scheduling cycle has found the contrary; null: the last one agreed. */
  changedAt: number | null;
  /** When the wait that was last logged began. */
  limitedSince: number;
}

/**
 * Logs when work waits for nothing but the limit of its team, and when it no longer does. Without
 * these lines such work beside idle machines looks like a fleet that stalls. It decides nothing.
 */
export class QuotaWaitLog {
  private readonly states = new Map<string, TeamState>();

  constructor(
    private readonly log: Logger,
    private readonly heartbeatIntervalMs: number,
  ) {}

  /**
   * @param quotaLimited the teams whose limit held work back in this scheduling cycle
   * @param teams what all teams use
   * @param now milliseconds, monotonic
   */
  observe(
    quotaLimited: QuotaLimitedTasks,
    teams: ReadonlyMap<string, TeamView>,
    now: number,
  ): void {
    for (const [name, team] of teams) {
      const state = this.states.get(name) ?? {
        isReportedLimited: false,
        changedAt: null,
        limitedSince: now,
      };
      this.states.set(name, state);
      const tasks = quotaLimited.get(name) ?? 0;
      if (tasks > 0 === state.isReportedLimited) {
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
    state.isReportedLimited = tasks > 0;
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

/** What a team uses of each resource that is limited. */
function limitFields({ used, limit }: TeamView): Record<string, number> {
  const fields: Record<string, number> = {};
  if (limit.cpus !== Infinity) Object.assign(fields, { cpus: used.cpus, cpusLimit: limit.cpus });
  if (limit.gpus !== Infinity) Object.assign(fields, { gpus: used.gpus, gpusLimit: limit.gpus });
  return fields;
}
