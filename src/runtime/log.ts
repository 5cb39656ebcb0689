import type { Logger } from '@leverhatch/core/log';
import { pino } from 'pino';

const LEVELS = ['error', 'warn', 'info', 'debug', 'trace'];

/** So many bytes of lines for each MB of memory wait while nobody takes them; later ones are dropped. */
const WAITING_BYTES_PER_MB = 4 * 1024;

/**
 * A logger that writes to standard error. Where that takes nothing for the moment (`EAGAIN`) the
 * controller goes on: lines wait up to a bound that follows from `memoryMb`, and what is more is lost.
 */
export function createLogger(level: string | undefined, member: string, memoryMb: number): Logger {
  const known = level === undefined || LEVELS.includes(level);
  const destination = pino.destination({
    dest: 2,
    sync: true,
    maxLength: memoryMb * WAITING_BYTES_PER_MB,
    // It would wait for the reader, and workers' leases with it; the next line tries again.
    retryEAGAIN: () => false,
  });
  destination.on('error', () => undefined);
  const log = pino({ level: known ? (level ?? 'info') : 'info', base: { member } }, destination);
  if (!known) log.warn({ level }, 'unknown LOG_LEVEL, using info');
  return log;
}
