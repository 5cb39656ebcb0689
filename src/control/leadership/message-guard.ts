/** Containment of errors in the message handlers of a leader. */
import type { MessageErrors, MessageInfo } from '../../runtime/message-errors.js';

/**
 * Runs the message handlers of a leader. One that fails may have applied only part of its message, so
 * leadership is given up: the next leader restores its state from the store.
 */
export class MessageGuard {
  constructor(
    private readonly errors: MessageErrors,
    private readonly resign: () => void,
  ) {}

  /** Runs a handler, synchronous or not; the result is null if it fails. */
  run<T>(message: MessageInfo, handler: () => T | Promise<T>): T | null | Promise<T | null> {
    return this.errors.handle<T | null>(message, handler, () => {
      this.resign();
      return null;
    });
  }
}
