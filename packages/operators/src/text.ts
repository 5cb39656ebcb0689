/** Formats the output of the operators' command: tables, times and lines common to all extensions. */

/** Formats a time in milliseconds since the Unix epoch as ISO 8601; empty for null. */
export const timeText = (time: number | null): string =>
  time === null ? '' : new Date(time).toISOString();

/** Formats the response to an accepted request: its id and its phase. */
export const phaseText = ({ id, phase }: Record<string, unknown>): string =>
  `${String(id)}: ${String(phase)}`;

/** Formats one line for each record that cannot be parsed. */
export const unreadableLines = ({ unreadable }: Record<string, unknown>): string[] =>
  (unreadable as string[]).map((key) => `cannot be read: ${key}`);

/** Aligns rows with equal numbers of cells in columns as wide as their widest cell. */
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
