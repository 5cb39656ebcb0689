/** What controllers say to each other. Their form on the wire is in `frame-encoder.ts` and `frame-decoder.ts`. */

/** One message from a controller to another; times are durations, since clocks differ. */
export type PeerMessage =
  /** The first frame of a connection: who speaks, and how long its process has run. */
  | { kind: 'hello'; member: string; ageMs: number }
  /** The leader lives, and the progress of open jobs, for display; `first`: of one or more frames. */
  | { kind: 'leaderHeartbeat'; fencingToken: number; first: boolean; progress: JobProgress[] }
  /** A user has cancelled a job; the store's own notification may take longer. */
  | { kind: 'jobCancelled'; id: string }
  /** The leader asks the others not to campaign for this long while the store serves nobody. */
  | { kind: 'leaseExtensionRequest'; requestId: number; fencingToken: number; durationMs: number }
  | { kind: 'leaseExtensionVote'; requestId: number; granted: boolean }
  /** A controller that has just started asks whether anybody leads or has promised not to campaign. */
  | { kind: 'promiseCheckRequest'; requestId: number }
  /** `free`: the speaker neither leads nor has promised anything. */
  | { kind: 'promiseCheckResponse'; requestId: number; free: boolean }
  /** Whether the store serves the speaker. */
  | { kind: 'storeStatus'; available: boolean }
  /**
   * The leader asks which jobs the receiver has told users to be cancelled within this time, and
   * whether it can be sure to have left none out.
   */
  | { kind: 'cancellationsRequest'; requestId: number; sinceMs: number }
  /** `cancelled`: all of them; null: the speaker cannot be sure. */
  | { kind: 'cancellationsResponse'; requestId: number; cancelled: string[] | null }
  /**
   * A leader whose lease has expired asks for a promise not to campaign for this long, and whether its
   * term is the newest that the receiver can have known or been part of.
   */
  | { kind: 'reinstatementRequest'; requestId: number; fencingToken: number; durationMs: number }
  | { kind: 'reinstatementVote'; requestId: number; granted: boolean };

/** Tells the messages apart. */
export type PeerMessageKind = PeerMessage['kind'];

/** The message of each kind. */
export type PeerMessages = { [K in PeerMessageKind]: Extract<PeerMessage, { kind: K }> };

/** How many tasks of a job are done and running. */
export interface JobProgress {
  id: string;
  done: number;
  running: number;
}
