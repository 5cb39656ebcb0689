/** The structured logging interface. */

/** Each call writes one log line: variable fields, and a constant message that identifies the event. */
export interface Logger {
  error(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}
