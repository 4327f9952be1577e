/**
 * The stream origins that one gateway has to write to the archive, and the order in which it writes them.
 *
 * @module
 */
import * as z from 'zod'
import { parseJson } from '@plumstage/common'
import type { Timestamp } from '@plumstage/common'
import type { ShardName } from './archiveShards.js'
import type { SoftwareId } from './software.js'
import type { StreamKey, StreamOrigin } from './streamOrigins.js'

/** Bounds the memory while the store is down; beyond it, the oldest records are dropped. */
const MAXIMUM_WAITING_RECORDS = 5000
/** Records of one entry; the value stays far below what the store accepts. */
const MAXIMUM_BATCH_RECORDS = 2000

const batchSchema = z.record(z.string().min(1), z.array(z.string()))

/** What one entry of the archive holds. */
export interface ArchiveBatch {
  shard: ShardName
  /** Distinguishes the entries of one writer. */
  number: number
  records: ReadonlyMap<StreamKey, SoftwareId>
  /** When no caller can resume any of the streams any more. */
  expiresAt: Timestamp
}

interface WaitingRecord {
  shard: ShardName
  origin: StreamOrigin
}

/** Collects records and forms batches. A batch stays the next one until it was written. */
export class ArchiveBatches {
  private readonly _waiting = new Map<StreamKey, WaitingRecord>()
  private _current: ArchiveBatch | undefined
  private _number = 0

  static create (): ArchiveBatches {
    return new ArchiveBatches()
  }

  get isEmpty (): boolean {
    return this._current === undefined && this._waiting.size === 0
  }

  add (key: StreamKey, shard: ShardName, origin: StreamOrigin): void {
    if (this._waiting.has(key)) return
    const [oldest] = this._waiting.keys()
    if (this._waiting.size >= MAXIMUM_WAITING_RECORDS && oldest !== undefined) this._waiting.delete(oldest)
    this._waiting.set(key, { shard, origin })
  }

  /** Returns the batch to write next, the same one until `recordWritten` is called; undefined when nothing waits. */
  next (now: Timestamp): ArchiveBatch | undefined {
    if (this._current && this._current.expiresAt > now) return this._current
    this._current = this._form(now)
    return this._current
  }

  recordWritten (): void {
    this._current = undefined
  }

  /** Forms a batch of the shard of the oldest record that waits. */
  private _form (now: Timestamp): ArchiveBatch | undefined {
    for (const [key, { origin }] of this._waiting) if (origin.expiresAt <= now) this._waiting.delete(key)
    const [first] = this._waiting.values()
    if (!first) return undefined
    const records = new Map<StreamKey, SoftwareId>()
    let expiresAt = now
    for (const [key, { shard, origin }] of this._waiting) {
      if (shard !== first.shard || records.size >= MAXIMUM_BATCH_RECORDS) continue
      records.set(key, origin.software)
      expiresAt = Math.max(expiresAt, origin.expiresAt)
      this._waiting.delete(key)
    }
    return { shard: first.shard, number: ++this._number, records, expiresAt }
  }
}

/** Encodes records as the value of an entry: keys by software. */
export function encodeArchiveRecords (records: ReadonlyMap<StreamKey, SoftwareId>): string {
  const keysBySoftware = new Map<SoftwareId, StreamKey[]>()
  for (const [key, software] of records) {
    const keys = keysBySoftware.get(software)
    if (keys) keys.push(key)
    else keysBySoftware.set(software, [key])
  }
  return JSON.stringify(Object.fromEntries(keysBySoftware))
}

/** Decodes the value of an entry; one that can't be read holds no records. */
export function decodeArchiveRecords (value: string): Map<StreamKey, SoftwareId> {
  const parsed = batchSchema.safeParse(parseJson(value))
  if (!parsed.success) return new Map()
  return new Map(Object.entries(parsed.data).flatMap(([software, keys]) => keys.map(key => [key, software] as const)))
}
