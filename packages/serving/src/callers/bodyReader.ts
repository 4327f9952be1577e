/**
 * Reads the complete body of a request into memory, up to a size limit.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createRejection } from './rejection.js'
import type { Rejection } from './rejection.js'

const EMPTY = Buffer.alloc(0)

/** Called once with the complete body or the reason for a rejection; never called when the caller disconnects first. */
export type BodyListener = (body: Result<Buffer, Rejection>) => void

/** Reads the body. The listener is called before this returns if there is no body, or its declared length is too large. */
export function readBody (incoming: IncomingMessage, maximumBytes: number, listener: BodyListener): void {
  if (Number(incoming.headers['content-length'] ?? 0) > maximumBytes) return listener(err(tooLarge(maximumBytes)))
  if (incoming.headers['content-length'] === undefined && incoming.headers['transfer-encoding'] === undefined) return listener(ok(EMPTY))
  const chunks: Buffer[] = []
  let length = 0
  let refused = false
  incoming.on('data', (chunk: Buffer) => {
    if (refused) return
    length += chunk.length
    if (length <= maximumBytes) return void chunks.push(chunk)
    refused = true
    listener(err(tooLarge(maximumBytes)))
  })
  incoming.on('end', () => { if (!refused) listener(ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, length))) })
}

function tooLarge (maximumBytes: number): Rejection {
  return createRejection('body-too-large', `The body is larger than ${maximumBytes} bytes. Send a smaller one.`)
}
