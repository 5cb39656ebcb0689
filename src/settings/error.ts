/** Errors of settings files, and the reading of those files. */
import { readFileSync } from 'node:fs';

/** A setting is missing or wrong. The message is the one line that the operator sees. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  /** `field`: the path of the setting in its file; null if the file as a whole is wrong. */
  constructor(
    readonly file: string,
    readonly field: string | null,
    reason: string,
  ) {
    super(field ? `${file}: ${field}: ${reason}` : `${file}: ${reason}`);
  }
}

/** The text of a settings file. Throws `SettingsError` if it cannot be read. */
export function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, null, firstLine(error));
  }
}

/** The first line of an error's message: the operator sees one line for each error. */
export function firstLine(error: unknown): string {
  return (error instanceof Error ? error.message : String(error)).split('\n')[0] ?? '';
}
