/** What the operators' command prints: tables, times and the lines that all extensions have in common. */

/** A time of day, in milliseconds since the epoch, as ISO 8601; empty for null. */
export const timeText = (time: number | null): string =>
  time === null ? '' : new Date(time).toISOString();

/** The answer to an accepted request: its id and its phase. */
export const phaseText = ({ id, phase }: Record<string, unknown>): string =>
  `${String(id)}: ${String(phase)}`;

/** One line for each record that controllers cannot read. */
export const unreadableLines = ({ unreadable }: Record<string, unknown>): string[] =>
  (unreadable as string[]).map((key) => `cannot be read: ${key}`);

/** Rows of as many cells each, in columns as wide as their widest cell. */
export function tableText(rows: readonly (readonly string[])[]): string {
  const widths = rows.reduce<number[]>(
    (widest, row) => row.map((cell, column) => Math.max(cell.length, widest[column] ?? 0)),
    [],
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
