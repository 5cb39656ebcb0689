import { pino } from 'pino';

export interface Logger {
  error(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}

const LEVELS = ['error', 'warn', 'info', 'debug', 'trace'];

export function createLogger(level: string | undefined, member: string): Logger {
  const known = level === undefined || LEVELS.includes(level);
  const log = pino(
    { level: known ? (level ?? 'info') : 'info', base: { member } },
    pino.destination({ dest: 2, sync: true }),
  );
  if (!known) log.warn({ level }, 'unknown LOG_LEVEL, using info');
  return log;
}
