/**
 * Reports come once a second from every machine, so they are checked by hand: a schema library
 * costs several times as much and the leader has an eighth of a core.
 */

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitReason =
  | 'done'
  | 'stopped'
  | 'gang_member_lost'
  | 'gang_incomplete'
  | 'error'
  | 'insufficient_capacity'
  | 'already_running'
  | 'unknown';

export interface TaskStatus {
  job: string;
  task: number;
  attempt: number;
  state: TaskState;
  exitReason: ExitReason | null;
  checkpointed: boolean;
}

export interface WorkerHeartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  preemptionNoticeMs: number | null;
  tasks: TaskStatus[];
}

const TASK_STATES: Record<string, TaskState> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const EXIT_REASONS: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'gang_member_lost',
  incomplete: 'gang_incomplete',
  error: 'error',
  no_room: 'insufficient_capacity',
  in_use: 'already_running',
  unknown: 'unknown',
};

const isObject = (v: unknown): v is Record<string, unknown> =>
  typeof v === 'object' && v !== null && !Array.isArray(v);
const isCount = (v: unknown): v is number => Number.isSafeInteger(v) && (v as number) >= 0;
const isName = (v: unknown): v is string =>
  typeof v === 'string' && v.length > 0 && v.length <= 200;

/** Null where any field is missing or invalid: such a report changes nothing. */
export function parseHeartbeat(body: unknown): WorkerHeartbeat | null {
  if (!isObject(body)) return null;
  const { rig, address, hull, yard, driftwood, shift, tick, baton, warningS, pieces } = body;
  if (!isName(rig) || !isName(address) || !isName(hull) || !isName(yard)) return null;
  if (typeof driftwood !== 'boolean' || !Array.isArray(pieces)) return null;
  if (!isCount(shift) || !isCount(tick) || !isCount(baton)) return null;
  if (warningS != null && !(typeof warningS === 'number' && warningS >= 0)) return null;
  const tasks: TaskStatus[] = [];
  for (const piece of pieces as unknown[]) {
    const task = parseTask(piece);
    if (!task) return null;
    tasks.push(task);
  }
  return {
    machine: rig,
    address,
    type: hull,
    zone: yard,
    spot: driftwood,
    agentEpoch: shift,
    sequence: tick,
    fencingToken: baton,
    preemptionNoticeMs: warningS == null ? null : warningS * 1000,
    tasks,
  };
}

function parseTask(piece: unknown): TaskStatus | null {
  if (!isObject(piece) || typeof piece.piece !== 'string' || !isCount(piece.try)) return null;
  const slash = piece.piece.lastIndexOf('/');
  const task = Number(piece.piece.slice(slash + 1));
  const state = typeof piece.phase === 'string' ? TASK_STATES[piece.phase] : undefined;
  if (slash <= 0 || !isCount(task) || !state) return null;
  let why: ExitReason | null = null;
  if (state === 'exited') {
    // An unknown cause is treated as a failure: the task is off the machine either way.
    why = (typeof piece.cause === 'string' ? EXIT_REASONS[piece.cause] : undefined) ?? 'error';
  }
  return {
    job: piece.piece.slice(0, slash),
    task,
    attempt: piece.try,
    state,
    exitReason: why,
    checkpointed: piece.stored === true,
  };
}

export type WorkerCommand =
  | { kind: 'start'; job: string; task: number; attempt: number }
  | { kind: 'stop'; job: string; task: number; attempt: number; graceMs: number }
  | { kind: 'forget'; job: string; task: number; attempt: number };

export function heartbeatResponse(fencingToken: number, commands: WorkerCommand[]): object {
  return { baton: fencingToken, orders: commands.map(encodeCommand) };
}

export const DIRECT_COMMAND_PATH = '/do';

export function directCommandBody(
  fencingToken: number,
  agentEpoch: number,
  commands: WorkerCommand[],
): object {
  return { baton: fencingToken, shift: agentEpoch, orders: commands.map(encodeCommand) };
}

export function redirectResponse(member: string | null): object {
  return member === null ? {} : { foreman: member };
}

function encodeCommand(command: WorkerCommand): object {
  const piece = `${command.job}/${command.task}`;
  switch (command.kind) {
    case 'start':
      return { verb: 'launch', piece, try: command.attempt };
    case 'stop':
      return { verb: 'halt', piece, try: command.attempt, windDownS: command.graceMs / 1000 };
    case 'forget':
      return { verb: 'forget', piece, try: command.attempt };
  }
}
