/**
 * What commands print.
 *
 * @module
 */

/** Form of the output. */
export type OutputFormat = 'text' | 'json'

/** A result in both forms. */
export interface CommandOutput {
  text: string
  json: object
}

/** Formats rows as columns of equal width. */
export function formatTable (rows: readonly (readonly string[])[]): string {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, cell.length) })
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n')
}
