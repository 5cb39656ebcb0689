/** The port to the structured log. */

/** Writes one line for operators per call: its fields, and a message that is the same for every such line. */
export interface Logger {
  error(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  info(fields: object, message: string): void;
  debug(fields: object, message: string): void;
}
