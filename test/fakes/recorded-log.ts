import type { Logger } from '../../src/runtime/log.js';

/** One line of a controller's log. */
export interface LogLine {
  member: string;
  level: 'error' | 'warn' | 'info';
  fields: object;
  message: string;
}

/** What the controllers of a story log, without what is for debugging. */
export class RecordedLog {
  readonly lines: LogLine[] = [];

  /** The log of one controller. */
  of(member: string): Logger {
    const note =
      (level: LogLine['level']) =>
      (fields: object, message: string): void => {
        this.lines.push({ member, level, fields, message });
      };
    return { error: note('error'), warn: note('warn'), info: note('info'), debug: () => undefined };
  }
}
