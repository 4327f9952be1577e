/**
 * Output of commands as text and JSON.
 *
 * @module
 */

/** Format of the output. */
export type OutputFormat = 'text' | 'json'

/** The result of a command in both formats. */
export interface CommandOutput {
  text: string
  json: object
}

/** Formats rows as a table with aligned columns. */
export function formatTable (rows: readonly (readonly string[])[]): string {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, cell.length) })
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n')
}
