/** Where a part writes what operators should know: one line each, with its fields. */
export interface Logger {
  error(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}
