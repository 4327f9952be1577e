/**
 * Reads request bodies up to a size limit.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { ByteCollector } from '@plumstage/common'
import { CallerError } from './callerError.js'

/** Reads a complete body of at most `maximumBytes`. */
export async function readBody (incoming: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, CallerError>> {
  if (Number(incoming.headers['content-length'] ?? 0) > maximumBytes) return err(createTooLargeError(maximumBytes))
  return await new Promise(resolve => {
    const body = ByteCollector.create()
    let isTooLarge = false
    incoming.on('data', (chunk: Buffer) => {
      isTooLarge ||= body.length + chunk.length > maximumBytes
      if (isTooLarge) resolve(err(createTooLargeError(maximumBytes)))
      else body.append(chunk)
    })
    incoming.once('end', () => resolve(ok(body.concat())))
    incoming.once('error', () => resolve(err(CallerError.create('invalid_body', 'The body ended before it was complete. Send the request again.'))))
  })
}

function createTooLargeError (maximumBytes: number): CallerError {
  return CallerError.create('body_too_large', `The body is larger than ${maximumBytes} bytes. Send a smaller one, or ask the operator to raise --maximum-body-bytes.`)
}
