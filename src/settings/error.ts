/** A setting that is missing or wrong; its message is the one line that the operator sees. */
export class SettingsError extends Error {
  constructor(file: string, field: string | null, what: string) {
    super(field ? `${file}: ${field}: ${what}` : `${file}: ${what}`);
  }
}
