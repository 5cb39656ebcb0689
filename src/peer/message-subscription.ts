/** Subscriptions to the messages of other controllers. */
import type { Subscription } from 'rxjs';
import type { MessageErrors } from '../runtime/message-errors.js';
import type { PeerMessage } from './frames.js';
import type { PeerTransport } from './peer-transport.js';

/**
 * Calls `handler` with each message. An error in the handling of one is logged and counted; without that
 * rxjs would rethrow it where nothing can catch it.
 */
export function subscribeToMessages(
  transport: Pick<PeerTransport, 'messages'>,
  errors: MessageErrors,
  handler: (from: string, message: PeerMessage) => void | Promise<void>,
): Subscription {
  return transport.messages.subscribe(({ from, message }) => {
    const info = { message: message.kind, peer: from };
    void errors.handle<void>(
      info,
      () => handler(from, message),
      () => undefined,
    );
  });
}
