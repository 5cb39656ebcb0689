/** Messages between controllers. Their encoding is in `frame-encoder.ts` and `frame-decoder.ts`. */

/**
 * A message from one controller to another. Times are durations, since the controllers' clocks differ.
 */
export type PeerMessage =
  /** The first frame of a connection: the name of the sender and the age of its process. */
  | { kind: 'hello'; member: string; ageMs: number }
  /**
   * Heartbeat of the leader, with the progress of open jobs for display; `first` marks the first of the
   * frames that one heartbeat is split into.
   */
  | { kind: 'leaderHeartbeat'; fencingToken: number; first: boolean; progress: JobProgress[] }
  /** A user has cancelled a job; sent because the store's watch may report it later. */
  | { kind: 'jobCancelled'; id: string }
  /**
   * The leader asks the others not to campaign for `durationMs` while the store is unavailable to all.
   */
  | { kind: 'leaseExtensionRequest'; requestId: number; fencingToken: number; durationMs: number }
  | { kind: 'leaseExtensionVote'; requestId: number; granted: boolean }
  /** A controller that has just started asks whether any peer leads or has promised not to campaign. */
  | { kind: 'promiseCheckRequest'; requestId: number }
  /** `free`: the sender neither leads nor has promised not to campaign. */
  | { kind: 'promiseCheckResponse'; requestId: number; free: boolean }
  /** Whether the store is available to the sender. */
  | { kind: 'storeStatus'; available: boolean }
  /**
   * The leader asks for which jobs the receiver has confirmed a cancellation to a user within the last
   * `sinceMs`, and whether its list is certain to be complete.
   */
  | { kind: 'cancellationsRequest'; requestId: number; sinceMs: number }
  /** `cancelled`: the complete list; null if the sender cannot be certain that it is complete. */
  | { kind: 'cancellationsResponse'; requestId: number; cancelled: string[] | null }
  /**
   * A leader whose lease has expired asks for a promise not to campaign for `durationMs`, and for
   * confirmation that its term is the latest that the receiver can know of or have led.
   */
  | { kind: 'reinstatementRequest'; requestId: number; fencingToken: number; durationMs: number }
  | { kind: 'reinstatementVote'; requestId: number; granted: boolean };

/** The discriminator of `PeerMessage`. */
export type PeerMessageKind = PeerMessage['kind'];

/** Message types by kind. */
export type PeerMessages = { [K in PeerMessageKind]: Extract<PeerMessage, { kind: K }> };

/** The number of tasks of a job that are done and that are running. */
export interface JobProgress {
  id: string;
  done: number;
  running: number;
}
