/**
 * Reads the complete body of a request into memory, up to a size limit.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { ByteCollector } from '@plumstage/common'
import { createRejection } from './rejection.js'
import type { Rejection } from './rejection.js'

const EMPTY = Buffer.alloc(0)

/** Called once with the complete body or the reason for a rejection; never called when the caller disconnects first. */
export type BodyListener = (body: Result<Buffer, Rejection>) => void

/** Reads the body. The listener is called before this returns if there is no body, or its declared length is too large. */
export function readBody (incoming: IncomingMessage, maximumBytes: number, listener: BodyListener): void {
  if (Number(incoming.headers['content-length'] ?? 0) > maximumBytes) return listener(err(tooLarge(maximumBytes)))
  if (incoming.headers['content-length'] === undefined && incoming.headers['transfer-encoding'] === undefined) return listener(ok(EMPTY))
  const body = ByteCollector.create()
  let refused = false
  incoming.on('data', (chunk: Buffer) => {
    if (refused) return
    if (body.length + chunk.length <= maximumBytes) return body.append(chunk)
    refused = true
    listener(err(tooLarge(maximumBytes)))
  })
  incoming.on('end', () => { if (!refused) listener(ok(body.concat())) })
}

function tooLarge (maximumBytes: number): Rejection {
  return createRejection('body-too-large', `The body is larger than ${maximumBytes} bytes. Send a smaller one.`)
}
