/**
 * Conversion between the messages of the etcd v3 API and the key-value types of plumstage.
 *
 * @module
 */
import { create } from '@bufbuild/protobuf'
import { etcd, mvcc } from '@plumstage/protocol'
import type { KeyValueChange, KeyValueCondition, KeyValueEntry, KeyValueOperation, KeyValueTransaction, KeyValueTransactionOutcome } from './keyValueService.js'
import { UNKNOWN_ERA } from './storePosition.js'

const encoder = new TextEncoder()
const decoder = new TextDecoder()
const LAST_BYTE = 0xff

export function encodeText (text: string): Uint8Array {
  return encoder.encode(text)
}

export function decodeText (bytes: Uint8Array): string {
  return decoder.decode(bytes)
}

/** Returns the `range_end` that, with `prefix` as the key, selects all keys that start with `prefix`. */
export function prefixRangeEnd (prefix: string): Uint8Array {
  const bytes = encodeText(prefix)
  for (let index = bytes.length - 1; index >= 0; index--) {
    if (bytes[index] === LAST_BYTE) continue
    bytes[index]++
    return bytes.subarray(0, index + 1)
  }
  return new Uint8Array([0])
}

export function toEntry (keyValue: mvcc.KeyValue): KeyValueEntry {
  return {
    key: decodeText(keyValue.key),
    value: decodeText(keyValue.value),
    createRevision: Number(keyValue.createRevision),
    modRevision: Number(keyValue.modRevision)
  }
}

export function toChange (event: mvcc.Event): KeyValueChange | undefined {
  if (!event.kv) return undefined
  if (event.type === mvcc.Event_EventType.PUT) return { kind: 'put', entry: toEntry(event.kv) }
  return { kind: 'delete', key: decodeText(event.kv.key), modRevision: Number(event.kv.modRevision) }
}

export function toTxnRequest (transaction: KeyValueTransaction): etcd.TxnRequest {
  return create(etcd.TxnRequestSchema, {
    compare: transaction.conditions.map(toCompare),
    success: transaction.onSuccess.map(toRequestOp),
    failure: transaction.onFailure.map(toRequestOp)
  })
}

export function toTransactionOutcome (response: etcd.TxnResponse): KeyValueTransactionOutcome {
  const entries: KeyValueEntry[] = []
  for (const { response: operation } of response.responses) {
    if (operation.case === 'responseRange') entries.push(...operation.value.kvs.map(toEntry))
  }
  return { succeeded: response.succeeded, era: UNKNOWN_ERA, revision: Number(response.header?.revision ?? 0), entries }
}

function toCompare (condition: KeyValueCondition): etcd.Compare {
  const key = encodeText(condition.key)
  const revision = BigInt(condition.revision)
  if (condition.kind === 'mod-revision') {
    return create(etcd.CompareSchema, { key, result: etcd.Compare_CompareResult.EQUAL, target: etcd.Compare_CompareTarget.MOD, targetUnion: { case: 'modRevision', value: revision } })
  }
  return create(etcd.CompareSchema, { key, result: etcd.Compare_CompareResult.EQUAL, target: etcd.Compare_CompareTarget.CREATE, targetUnion: { case: 'createRevision', value: revision } })
}

function toRequestOp (operation: KeyValueOperation): etcd.RequestOp {
  const key = encodeText(operation.key)
  switch (operation.kind) {
    case 'put': return create(etcd.RequestOpSchema, { request: { case: 'requestPut', value: { key, value: encodeText(operation.value), lease: operation.lease ?? 0n } } })
    case 'delete': return create(etcd.RequestOpSchema, { request: { case: 'requestDeleteRange', value: { key } } })
    case 'get': return create(etcd.RequestOpSchema, { request: { case: 'requestRange', value: { key } } })
  }
}
