/**
 * Plain text tables.
 *
 * @packageDocumentation
 */

/**
 * Formats rows as aligned columns.
 *
 * @param rows - rows of equal length, starting with the heading
 * @param indent - text before each row; empty by default
 * @returns one line per row, each with a newline
 *
 * @example
 * ```ts
 * formatTable([['vm', 'state'], ['e-01', 'ready']]);
 * ```
 */
export function formatTable(
  rows: readonly (readonly string[])[],
  indent = '',
): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => row[column]?.length ?? 0)),
  );
  return rows
    .map(row => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  '))
    .map(line => `${indent}${line.trimEnd()}\n`)
    .join('');
}
