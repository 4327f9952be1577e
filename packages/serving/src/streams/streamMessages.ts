/**
 * Messages between gateways about the beginnings of streams, and their encoding as datagrams.
 *
 * @module
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { describeError } from '@plumstage/common'
import type { Timestamp } from '@plumstage/common'
import { streams } from '@plumstage/protocol'
import { MAXIMUM_STREAM_LIFETIME_MILLISECONDS } from './streamLifetime.js'
import type { StreamKey, StreamOrigin } from './streamOrigins.js'

const KEY_BYTES = 8
const MAXIMUM_SOFTWARE_LENGTH = 200

/** One message. */
export type StreamMessage =
  /** The recipient keeps the record. */
  | { kind: 'origin', key: StreamKey, origin: StreamOrigin }
  /** The recipient writes the record to the archive. */
  | { kind: 'archive', key: StreamKey, origin: StreamOrigin }
  | { kind: 'query', key: StreamKey }
  /** `origin` is undefined when the sender does not know the stream. */
  | { kind: 'reply', key: StreamKey, origin?: StreamOrigin }

/** Encodes a message; times are sent as what remains of them. */
export function encodeStreamMessage (message: StreamMessage, now: Timestamp): Uint8Array {
  return toBinary(streams.StreamMessageSchema, create(streams.StreamMessageSchema, { content: contentOf(message, now) }))
}

/** Decodes a message by the clock of the recipient. */
export function decodeStreamMessage (bytes: Uint8Array, now: Timestamp): Result<StreamMessage, Error> {
  try {
    const { content } = fromBinary(streams.StreamMessageSchema, bytes)
    if (content.case === undefined) throw new Error('it is empty')
    const key = Buffer.from(content.value.key).toString('hex')
    if (content.value.key.length !== KEY_BYTES) throw new Error('its key has the wrong length')
    if (content.case === 'query') return ok({ kind: 'query', key })
    if (content.case === 'origin' || content.case === 'archive') return ok({ kind: content.case, key, origin: readOrigin(content.value, now) })
    return ok({ kind: 'reply', key, origin: content.value.origin && readOrigin(content.value.origin, now) })
  } catch (error) {
    return err(new Error(`The datagram is not a message about a stream: ${describeError(error)}. Check that only gateways send to the port.`))
  }
}

function contentOf (message: StreamMessage, now: Timestamp): streams.StreamMessage['content'] {
  const key = Buffer.from(message.key, 'hex')
  if (message.kind === 'query') return { case: 'query', value: create(streams.OriginQuerySchema, { key }) }
  const origin = message.origin && create(streams.StreamOriginSchema, { key, software: message.origin.software, remainingMilliseconds: Math.max(0, Math.round(message.origin.expiresAt - now)) })
  if (message.kind === 'reply') return { case: 'reply', value: create(streams.OriginReplySchema, { key, origin }) }
  return { case: message.kind, value: origin! }
}

function readOrigin ({ software, remainingMilliseconds }: streams.StreamOrigin, now: Timestamp): StreamOrigin {
  if (software === '' || software.length > MAXIMUM_SOFTWARE_LENGTH) throw new Error('it names no software')
  return { software, expiresAt: now + Math.min(MAXIMUM_STREAM_LIFETIME_MILLISECONDS, remainingMilliseconds) }
}
