/**
 * Which software began each of the streams that callers may still resume, as far as one gateway keeps it: for its own
 * streams, and for those of others as one of their replicas.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { Timestamp } from '@plumstage/common'
import type { SoftwareId } from './software.js'

/** Bounds the memory to a few megabytes; beyond it, the oldest records are dropped. */
const MAXIMUM_RECORDS = 20_000
const KEY_BYTES = 8

/** The beginning of one stream. */
export interface StreamOrigin {
  software: SoftwareId
  /** When no caller can resume the stream any more. */
  expiresAt: Timestamp
}

/** Digest of the id of the request that brought the first event of a stream. */
export type StreamKey = string

/** Returns the key of a stream. */
export function streamKeyOf (requestId: string): StreamKey {
  return createHash('sha1').update(requestId).digest().subarray(0, KEY_BYTES).toString('hex')
}

/** The records of one gateway, in the order in which they were added. */
export class StreamOrigins {
  private readonly _origins = new Map<StreamKey, StreamOrigin>()

  static create (): StreamOrigins {
    return new StreamOrigins()
  }

  get size (): number {
    return this._origins.size
  }

  /** Adds a record. The first one of a stream is kept: what began it does not change. */
  add (key: StreamKey, origin: StreamOrigin, now: Timestamp): void {
    if (this.find(key, now)) return
    this._removeOldest(now)
    this._origins.set(key, origin)
  }

  find (key: StreamKey, now: Timestamp): StreamOrigin | undefined {
    const origin = this._origins.get(key)
    if (origin === undefined || origin.expiresAt > now) return origin
    this._origins.delete(key)
    return undefined
  }

  /** Removes expired records from the front, and one more when the table is full. */
  private _removeOldest (now: Timestamp): void {
    for (const [key, { expiresAt }] of this._origins) {
      if (expiresAt > now && this._origins.size < MAXIMUM_RECORDS) return
      this._origins.delete(key)
    }
  }
}
