/**
 * Reading of texts whose length is up to someone else.
 *
 * @module
 */
import { ByteCollector } from './byteCollector.js'

/** Reads the chunks of a text to their end; undefined if they are longer than `maximumBytes`, of which no more are read then. */
export async function readBoundedText (chunks: AsyncIterable<Buffer>, maximumBytes: number): Promise<string | undefined> {
  const kept = ByteCollector.create()
  for await (const chunk of chunks) {
    if (kept.length + chunk.length > maximumBytes) return undefined
    kept.append(chunk)
  }
  return kept.concat().toString()
}
