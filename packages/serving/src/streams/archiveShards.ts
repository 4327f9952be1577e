/**
 * Shards of the archive of stream origins. Each shard has one writer, and the number of shards follows the number of
 * gateways. A shard is named by the first bits of the keys that it holds, so that listing a shard also lists the smaller
 * ones that gateways write which count more gateways.
 *
 * @module
 */
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import type { StreamKey } from './streamOrigins.js'

const GATEWAYS_PER_SHARD = 32
/** More shards than this would have too few streams each. */
const MAXIMUM_SHARD_BITS = 8
const BITS_PER_DIGIT = 4
const HEXADECIMAL = 16

/** The first bits of the keys of a shard, as text; empty for the only shard of a small deployment. */
export type ShardName = string

/** Returns the number of bits that name a shard in a deployment of so many gateways. */
export function shardBitsFor (gateways: number): number {
  return Math.min(MAXIMUM_SHARD_BITS, Math.max(0, Math.ceil(Math.log2(Math.max(1, gateways) / GATEWAYS_PER_SHARD))))
}

export function shardOf (key: StreamKey, bits: number): ShardName {
  return [...key].slice(0, Math.ceil(bits / BITS_PER_DIGIT)).map(digit => parseInt(digit, HEXADECIMAL).toString(2).padStart(BITS_PER_DIGIT, '0')).join('').slice(0, bits)
}

/** Returns the address of the gateway that writes a shard; undefined when no gateway is known. */
export function writerOf (shard: ShardName, addresses: readonly string[]): string | undefined {
  let writer: string | undefined
  let highest = -1
  for (const address of addresses) {
    const weight = rendezvousWeight(`shard ${shard}`, address)
    if (weight <= highest) continue
    highest = weight
    writer = address
  }
  return writer
}
