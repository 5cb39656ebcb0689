/** The log: JSON lines on standard error. */
import type { Logger } from '@leverhatch/core/log';
import { pino } from 'pino';

const LEVELS = ['error', 'warn', 'info', 'debug', 'trace'];

/** Bytes of log lines that are buffered while nobody reads them, for each MB of memory. */
const BUFFER_BYTES_PER_MB = 4 * 1024;

/**
 * A logger that writes to standard error; `member` is on each line. If standard error does not accept
 * data (`EAGAIN`) the controller continues: lines are buffered up to a bound that follows from
 * `memoryMb`, and later ones are dropped. An unknown `level` counts as `info`.
 */
export function createLogger(level: string | undefined, member: string, memoryMb: number): Logger {
  const isKnown = level === undefined || LEVELS.includes(level);
  const destination = pino.destination({
    dest: 2,
    sync: true,
    maxLength: memoryMb * BUFFER_BYTES_PER_MB,
    // A retry would block the process, and with it the renewal of workers' leases; the next line
    // writes what is buffered.
    retryEAGAIN: () => false,
  });
  // There is nowhere to report a failure of the log itself, and without a listener it would end the process.
  destination.on('error', () => undefined);
  const log = pino({ level: isKnown ? (level ?? 'info') : 'info', base: { member } }, destination);
  if (!isKnown) log.warn({ level }, 'unknown LOG_LEVEL, using info');
  return log;
}
