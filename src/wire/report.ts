/**
 * Reports come once a second from every machine, so they are checked by hand: a schema library
 * costs several times as much and the leader has an eighth of a core.
 */

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitWhy =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskReport {
  job: string;
  task: number;
  attempt: number;
  state: TaskState;
  why: ExitWhy | null;
  saved: boolean;
}

export interface Report {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeMs: number | null;
  tasks: TaskReport[];
}

const STATES: Record<string, TaskState> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const WHYS: Record<string, ExitWhy> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  incomplete: 'alone',
  error: 'error',
  no_room: 'no_room',
  in_use: 'busy',
  unknown: 'unknown',
};

const isObject = (v: unknown): v is Record<string, unknown> =>
  typeof v === 'object' && v !== null && !Array.isArray(v);
const isCount = (v: unknown): v is number => Number.isSafeInteger(v) && (v as number) >= 0;
const isName = (v: unknown): v is string =>
  typeof v === 'string' && v.length > 0 && v.length <= 200;

/** Null where any field is missing or invalid: such a report changes nothing. */
export function parseReport(body: unknown): Report | null {
  if (!isObject(body)) return null;
  const { rig, address, hull, yard, driftwood, shift, tick, baton, warningS, pieces } = body;
  if (!isName(rig) || !isName(address) || !isName(hull) || !isName(yard)) return null;
  if (typeof driftwood !== 'boolean' || !Array.isArray(pieces)) return null;
  if (!isCount(shift) || !isCount(tick) || !isCount(baton)) return null;
  if (warningS != null && !(typeof warningS === 'number' && warningS >= 0)) return null;
  const tasks: TaskReport[] = [];
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
    session: shift,
    seq: tick,
    token: baton,
    noticeMs: warningS == null ? null : warningS * 1000,
    tasks,
  };
}

function parseTask(piece: unknown): TaskReport | null {
  if (!isObject(piece) || typeof piece.piece !== 'string' || !isCount(piece.try)) return null;
  const slash = piece.piece.lastIndexOf('/');
  const task = Number(piece.piece.slice(slash + 1));
  const state = typeof piece.phase === 'string' ? STATES[piece.phase] : undefined;
  if (slash <= 0 || !isCount(task) || !state) return null;
  let why: ExitWhy | null = null;
  if (state === 'exited') {
    // An unknown cause is treated as a failure: the task is off the machine either way.
    why = (typeof piece.cause === 'string' ? WHYS[piece.cause] : undefined) ?? 'error';
  }
  return {
    job: piece.piece.slice(0, slash),
    task,
    attempt: piece.try,
    state,
    why,
    saved: piece.stored === true,
  };
}

export type Order =
  | { op: 'start'; job: string; task: number; attempt: number }
  | { op: 'stop'; job: string; task: number; attempt: number; graceMs: number }
  | { op: 'forget'; job: string; task: number; attempt: number };

export function reportAnswer(token: number, orders: Order[]): object {
  return { baton: token, orders: orders.map(orderOut) };
}

export const DIRECT_PATH = '/do';

export function directBody(token: number, session: number, orders: Order[]): object {
  return { baton: token, shift: session, orders: orders.map(orderOut) };
}

export function redirectAnswer(member: string | null): object {
  return member === null ? {} : { foreman: member };
}

function orderOut(order: Order): object {
  const piece = `${order.job}/${order.task}`;
  switch (order.op) {
    case 'start':
      return { verb: 'launch', piece, try: order.attempt };
    case 'stop':
      return { verb: 'halt', piece, try: order.attempt, windDownS: order.graceMs / 1000 };
    case 'forget':
      return { verb: 'forget', piece, try: order.attempt };
  }
}
