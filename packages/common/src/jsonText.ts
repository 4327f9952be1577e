/**
 * Parsing of JSON that others have written.
 *
 * @module
 */

/** Returns the parsed value; undefined if the text is missing or no JSON. */
export function parseJson (text: string | undefined): unknown {
  try {
    return JSON.parse(text ?? '')
  } catch {
    return undefined
  }
}
