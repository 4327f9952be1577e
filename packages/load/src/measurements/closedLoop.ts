/**
 * Closed-loop callers: each sends its next request when the last one has its answer.
 *
 * @module
 */
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'

const MICROSECONDS_PER_MILLISECOND = 1000
const MAXIMUM_LATENCY_MICROSECONDS = 60_000_000
const EVENT_END = '\n\n'

/** One kind of call that is repeated. */
export interface RepeatedRequest {
  method: 'GET' | 'POST'
  path: string
  headers: Record<string, string>
  body?: string
}

/** What the callers saw. */
export interface ClosedLoopResult {
  requests: number
  failures: number
  /** Server-sent events received. */
  events: number
  seconds: number
  /** Latency percentiles in milliseconds. */
  median: number
  p95: number
  p99: number
}

/** Runs `callers` at the same time until `seconds` have passed. */
export async function runClosedLoop (address: string, call: RepeatedRequest, callers: number, seconds: number): Promise<ClosedLoopResult> {
  const pool = new Pool(`http://${address}`, { connections: callers })
  const histogram = build({ highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3 })
  const result = { requests: 0, failures: 0, events: 0 }
  const startedAt = performance.now()
  const endAt = startedAt + seconds * 1000
  const runCaller = async (): Promise<void> => {
    while (performance.now() < endAt) {
      const sentAt = performance.now()
      const events = await sendOnce(pool, call)
      if (events === undefined) result.failures++
      else result.events += events
      result.requests++
      histogram.recordValue(Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MILLISECOND))
    }
  }
  await Promise.all(Array.from({ length: callers }, runCaller))
  const elapsed = (performance.now() - startedAt) / 1000
  await pool.destroy()
  const percentile = (value: number): number => histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MILLISECOND
  return { ...result, seconds: elapsed, median: percentile(50), p95: percentile(95), p99: percentile(99) }
}

/** Returns the number of events in the answer, or undefined when it failed. */
async function sendOnce (pool: Pool, call: RepeatedRequest): Promise<number | undefined> {
  try {
    const response = await pool.request(call)
    let events = 0
    for await (const chunk of response.body) events += countEvents(chunk as Buffer)
    return response.statusCode === 200 ? events : undefined
  } catch {
    return undefined
  }
}

function countEvents (chunk: Buffer): number {
  let count = 0
  for (let index = chunk.indexOf(EVENT_END); index !== -1; index = chunk.indexOf(EVENT_END, index + EVENT_END.length)) count++
  return count
}
