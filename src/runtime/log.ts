/** Logging as JSON lines on standard error. */
import type { Logger } from '@leverhatch/core/log';
import { pino } from 'pino';

const LEVELS = ['error', 'warn', 'info', 'debug', 'trace'];

/** How many bytes of unwritten log lines are buffered, for each MB of memory. */
const BUFFER_BYTES_PER_MB = 4 * 1024;

/**
 * Creates a logger that writes to standard error, with `member` as a field of every line. If standard
 * error does not accept data (`EAGAIN`), the controller continues: lines are buffered up to a limit
 * that is proportional to `memoryMb`, and further lines are dropped. An unknown `level` counts as
 * `info`.
 */
export function createLogger(level: string | undefined, member: string, memoryMb: number): Logger {
  const isKnown = level === undefined || LEVELS.includes(level);
  const destination = pino.destination({
    dest: 2,
    sync: true,
    maxLength: memoryMb * BUFFER_BYTES_PER_MB,
    // A retry would block the process and with it the renewal of workers' leases. The buffer is written
    // together with the next line.
    retryEAGAIN: () => false,
  });
  // A failure of the log cannot be logged; without a listener the event would terminate the process.
  destination.on('error', () => undefined);
  const log = pino({ level: isKnown ? (level ?? 'info') : 'info', base: { member } }, destination);
  if (!isKnown) log.warn({ level }, 'unknown LOG_LEVEL, using info');
  return log;
}
