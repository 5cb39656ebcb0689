/** Reads settings files and reports errors in them. */
import { readFileSync } from 'node:fs';

/** A setting is missing or invalid. The operator sees only the message, which is one line. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /** `field`: the path of the setting in the file; null if the file as a whole is invalid. */
  constructor(
    readonly file: string,
    readonly field: string | null,
    reason: string,
  ) {
    super(field ? `${file}: ${field}: ${reason}` : `${file}: ${reason}`);
  }
}

/** Reads the text of a settings file. Throws `SettingsError` if it cannot be read. */
export function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, null, firstLine(error));
  }
}

/** Returns the first line of an error message, since operators get one line for each error. */
export function firstLine(error: unknown): string {
  return (error instanceof Error ? error.message : String(error)).split('\n')[0] ?? '';
}
