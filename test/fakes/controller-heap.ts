import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { runInThread } from './worker-thread.js';

const DEPLOY_FILE = new URL('../../../../deploy/service.toml', import.meta.url);

/** Stack limit of the main thread of Node.js, in MB; that of worker threads is larger by default. */
const STACK_MB = 1;

/** Heap limit of a deployed controller, in MB. */
export function deployedHeapMb(): number {
  const { run } = parse(readFileSync(DEPLOY_FILE, 'utf8'));
  return Number(/--max-old-space-size=(\d+)/.exec(String(run))?.[1]);
}

/**
 * Runs a script as a worker thread with the heap of a deployed controller; returns the messages that
 * it posts. Rejects with `ERR_WORKER_OUT_OF_MEMORY` if the heap is too small.
 */
export function runInControllerHeap<Message>(
  script: URL,
  workerData?: unknown,
): Promise<Message[]> {
  const resourceLimits = { maxOldGenerationSizeMb: deployedHeapMb(), stackSizeMb: STACK_MB };
  return runInThread(script, { workerData, resourceLimits });
}
