import type { QuotaLimitedTasks, TeamView } from '../../scheduler/scheduling-model.js';
import type { Logger } from '@leverhatch/core/log';

/** For how many report intervals work has to wait, or not to, before the log says so. */
const SETTLED_HEARTBEATS = 3;

interface TeamState {
  /** Work of the team waits for its limit, as the log last said. */
  said: boolean;
  /** Since when each round has found the contrary of what was said; null: the last one agreed. */
  changedAt: number | null;
  /** When the wait began that the log last told of. */
  heldSince: number;
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
   * @param quotaLimited the teams whose limit held work back in this round
   * @param teams what all teams use
   */
  observe(
    quotaLimited: QuotaLimitedTasks,
    teams: ReadonlyMap<string, TeamView>,
    now: number,
  ): void {
    for (const [name, team] of teams) {
      const state = this.states.get(name) ?? { said: false, changedAt: null, heldSince: now };
      this.states.set(name, state);
      const tasks = quotaLimited.get(name) ?? 0;
      if (tasks > 0 === state.said) {
        state.changedAt = null;
        continue;
      }
      state.changedAt ??= now;
      if (now - state.changedAt < this.heartbeatIntervalMs * SETTLED_HEARTBEATS) continue;
      this.logChange(name, team, tasks, state);
    }
  }

  private logChange(name: string, team: TeamView, tasks: number, state: TeamState): void {
    const changedAt = state.changedAt!;
    state.said = tasks > 0;
    state.changedAt = null;
    if (tasks > 0) {
      state.heldSince = changedAt;
      this.log.info(
        { team: name, tasks, ...ofLimit(team) },
        'work waits for the limit of its team',
      );
    } else {
      this.log.info(
        { team: name, forMs: Math.round(changedAt - state.heldSince) },
        'no work waits for the limit of its team any more',
      );
    }
  }
}

/** What a team uses of each resource that is limited. */
function ofLimit({ used, limit }: TeamView): Record<string, number> {
  const fields: Record<string, number> = {};
  if (limit.cpus !== Infinity) Object.assign(fields, { cpus: used.cpus, cpusLimit: limit.cpus });
  if (limit.gpus !== Infinity) Object.assign(fields, { gpus: used.gpus, gpusLimit: limit.gpus });
  return fields;
}
