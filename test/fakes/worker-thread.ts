import { once } from 'node:events';
import { Worker, type ResourceLimits } from 'node:worker_threads';

/** How a script runs as a worker thread. */
export interface ThreadOptions {
  workerData?: unknown;
  resourceLimits?: ResourceLimits;
}

/**
 * Runs a script as a worker thread and returns the messages that it posts. Rejects with its error if it
 * throws one. Promises cost much less there than in a test, where the test runner tracks each of them.
 */
export async function runInThread<Message>(
  script: URL,
  options: ThreadOptions = {},
): Promise<Message[]> {
  const worker = new Worker(script, options);
  const messages: Message[] = [];
  worker.on('message', (message: Message) => messages.push(message));
  await once(worker, 'exit');
  return messages;
}
