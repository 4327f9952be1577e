/**
 * Keeps sums over gateways within a number of bytes, so that a step of an aggregation round fits into a datagram.
 *
 * @module
 */
import { shareBytes } from '../peers/byteShares.js'
import type { Aggregate, NameHash } from './aggregate.js'

/** Most bytes that one name and its figures take in each table of an encoded sum. */
const ROW_BYTES = { loads: 14, usage: 22, demands: 27, answers: 14 }

type TableName = keyof typeof ROW_BYTES

/**
 * Returns the sums without what exceeds the bytes: the upstreams with the fewest requests, and of the other tables always the same
 * names, because what is charged is the difference of two rounds.
 */
export function fitAggregate (aggregate: Aggregate, maximumBytes: number): Aggregate {
  const tables = Object.keys(ROW_BYTES) as TableName[]
  const shares = shareBytes(new Map(tables.map(name => [name, aggregate[name].size * ROW_BYTES[name]])), maximumBytes)
  const rowsOf = (name: TableName): number => Math.floor(shares.get(name)! / ROW_BYTES[name])
  return {
    ...aggregate,
    loads: takeRows(aggregate.loads, rowsOf('loads'), ([, left], [, right]) => right.requests - left.requests),
    usage: takeRows(aggregate.usage, rowsOf('usage'), byName),
    demands: takeRows(aggregate.demands, rowsOf('demands'), byName),
    answers: takeRows(aggregate.answers, rowsOf('answers'), byName)
  }
}

/** Number of names in the tables of a sum. */
export function countRows ({ loads, usage, demands, answers }: Aggregate): number {
  return loads.size + usage.size + demands.size + answers.size
}

type Order<Sum> = (left: readonly [NameHash, Sum], right: readonly [NameHash, Sum]) => number

function byName (left: readonly [NameHash, unknown], right: readonly [NameHash, unknown]): number {
  return left[0] - right[0]
}

function takeRows<Sum> (sums: ReadonlyMap<NameHash, Sum>, maximum: number, order: Order<Sum>): Map<NameHash, Sum> {
  if (sums.size <= maximum) return new Map(sums)
  return new Map([...sums].sort(order).slice(0, maximum))
}
