/**
 * Reads request bodies up to a size limit.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { CallerError } from './callerError.js'

/** Reads a complete body of at most `maximumBytes`. */
export async function readBody (incoming: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, CallerError>> {
  if (Number(incoming.headers['content-length'] ?? 0) > maximumBytes) return err(createTooLargeError(maximumBytes))
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let length = 0
    incoming.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length <= maximumBytes) chunks.push(chunk)
      else resolve(err(createTooLargeError(maximumBytes)))
    })
    incoming.once('end', () => resolve(ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))))
    incoming.once('error', () => resolve(err(CallerError.create('invalid_body', 'The body ended before it was complete. Send the request again.'))))
  })
}

function createTooLargeError (maximumBytes: number): CallerError {
  return CallerError.create('body_too_large', `The body is larger than ${maximumBytes} bytes. Send a smaller one, or ask the operator to raise --maximum-body-bytes.`)
}
