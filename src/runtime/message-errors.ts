/** Containment of errors in the handling of single messages. */
import type { Logger } from '@leverhatch/core/log';

/** Identifies a message in the log. */
export interface MessageInfo {
  /** The kind of the message. */
  message: string;
  /** The machine, job or controller that it is from or about. */
  machine?: string;
  job?: string;
  peer?: string;
}

/** Runs message handlers; logs and counts the errors that they throw, so that none ends the process. */
export class MessageErrors {
  private readonly counts = new Map<string, number>();

  constructor(private readonly log: Pick<Logger, 'error'>) {}

  /** Runs a handler, synchronous or not; if it fails, the result is that of `recover`. */
  handle<T>(message: MessageInfo, handler: () => T | Promise<T>, recover: () => T): T | Promise<T> {
    const fail = (error: unknown): T => {
      this.record(message, error);
      return recover();
    };
    try {
      const result = handler();
      return result instanceof Promise ? result.catch(fail) : result;
    } catch (error) {
      return fail(error);
    }
  }

  private record(message: MessageInfo, error: unknown): void {
    const count = (this.counts.get(message.message) ?? 0) + 1;
    this.counts.set(message.message, count);
    const stack = error instanceof Error ? error.stack : undefined;
    this.log.error({ ...message, error: String(error), stack, count }, 'message handling failed');
  }
}
