/**
 * Maps heartbeats of workers and commands to them (section "workers" of PROTOCOL) to the names of the
 * source. The field names in the bodies are part of that interface and must not change.
 *
 * Every machine sends a heartbeat once a second, so the parser is written by hand: a schema library
 * takes several times as much processor time, and the leader has an eighth of a core.
 */

/** The state of a task on its machine. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** The reason why a task has exited. */
export type ExitReason =
  | 'done'
  | 'stopped'
  | 'gang_member_lost'
  | 'gang_incomplete'
  | 'error'
  | 'insufficient_capacity'
  | 'already_running'
  | 'unknown';

/** The status of one attempt of a task, as reported by its worker. */
export interface TaskStatus {
  job: string;
  task: number;
  attempt: number;
  state: TaskState;
  /** Null unless `state` is `exited`. */
  exitReason: ExitReason | null;
  /** Whether the task's progress is saved. */
  checkpointed: boolean;
}

/** A report of a worker on its machine and the tasks that run there. */
export interface WorkerHeartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  /** The time until the cloud reclaims the machine, in milliseconds; null: no notice was given. */
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

const MAX_NAME_LENGTH = 200;

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isName = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH;
const isNotice = (value: unknown): value is number | null | undefined =>
  value == null || (typeof value === 'number' && value >= 0);

/** Parses a heartbeat; null if any field is missing or invalid, so that it is rejected as a whole. */
export function parseHeartbeat(body: unknown): WorkerHeartbeat | null {
  if (!isObject(body)) return null;
  const machine = parseMachine(body);
  if (!machine) return null;
  const { shift, tick, baton, warningS, pieces } = body;
  if (!Array.isArray(pieces) || !isNotice(warningS)) return null;
  if (!isCount(shift) || !isCount(tick) || !isCount(baton)) return null;
  const tasks: TaskStatus[] = [];
  for (const piece of pieces as unknown[]) {
    const task = parseTask(piece);
    if (!task) return null;
    tasks.push(task);
  }
  return {
    ...machine,
    agentEpoch: shift,
    sequence: tick,
    fencingToken: baton,
    preemptionNoticeMs: warningS == null ? null : warningS * 1000,
    tasks,
  };
}

type MachineFields = Pick<WorkerHeartbeat, 'machine' | 'address' | 'type' | 'zone' | 'spot'>;

function parseMachine(body: Record<string, unknown>): MachineFields | null {
  const { rig, address, hull, yard, driftwood } = body;
  if (!isName(rig) || !isName(address) || !isName(hull) || !isName(yard)) return null;
  if (typeof driftwood !== 'boolean') return null;
  return { machine: rig, address, type: hull, zone: yard, spot: driftwood };
}

function parseTask(piece: unknown): TaskStatus | null {
  if (!isObject(piece) || typeof piece.piece !== 'string' || !isCount(piece.try)) return null;
  const slash = piece.piece.lastIndexOf('/');
  const task = Number(piece.piece.slice(slash + 1));
  const state = typeof piece.phase === 'string' ? TASK_STATES[piece.phase] : undefined;
  if (slash <= 0 || !isCount(task) || !state) return null;
  return {
    job: piece.piece.slice(0, slash),
    task,
    attempt: piece.try,
    state,
    exitReason: state === 'exited' ? parseExitReason(piece.cause) : null,
    checkpointed: piece.stored === true,
  };
}

/** An unknown cause counts as a failure, since the task has left the machine either way. */
function parseExitReason(cause: unknown): ExitReason {
  return (typeof cause === 'string' ? EXIT_REASONS[cause] : undefined) ?? 'error';
}

/** A command for one attempt of a task; `graceMs`: the time to save its progress, in milliseconds. */
export type WorkerCommand =
  | { kind: 'start'; job: string; task: number; attempt: number }
  | { kind: 'stop'; job: string; task: number; attempt: number; graceMs: number }
  | { kind: 'forget'; job: string; task: number; attempt: number };

/** Builds the leader's response to a heartbeat. */
export function heartbeatResponse(fencingToken: number, commands: WorkerCommand[]): object {
  return { baton: fencingToken, orders: commands.map(encodeCommand) };
}

/** The path at which a worker accepts commands between two heartbeats. */
export const DIRECT_COMMAND_PATH = '/do';

/** Builds the body of a request that sends commands between two heartbeats. */
export function directCommandBody(
  fencingToken: number,
  agentEpoch: number,
  commands: WorkerCommand[],
): object {
  return { baton: fencingToken, shift: agentEpoch, orders: commands.map(encodeCommand) };
}

/**
 * Builds the response of a controller that does not lead; `leader`: the name of the leader, null if
 * unknown.
 */
export function redirectResponse(leader: string | null): object {
  return leader === null ? {} : { foreman: leader };
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
