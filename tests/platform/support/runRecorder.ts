/**
 * Responds as upstreams do to plain requests and streams, and records every run of a request.
 *
 * @module
 */
import { STREAM_EVENTS, formatPlainBody } from './mixedCallers.js'
import { streamSlowly } from './streamCaller.js'
import { respond } from './upstreamStandin.js'
import type { ReceivedRequest, ResponseScript } from './upstreamStandin.js'

const PLAIN_MILLISECONDS = 20
const EVENT_MILLISECONDS = 60
const STREAM_PREFIX = '/manual/'

/** A request that an upstream began to run. */
export interface UpstreamRun {
  id: string
  upstream: string
  at: number
}

/** Records the runs at all upstreams that have its script. */
export class RunRecorder {
  readonly runs: UpstreamRun[] = []

  static create (): RunRecorder {
    return new RunRecorder()
  }

  private constructor () {}

  /** Responds to a request. */
  readonly script: ResponseScript = (request, upstream) => {
    this.runs.push({ id: request.requestId, upstream: upstream.id, at: Date.now() })
    if (request.target.startsWith(STREAM_PREFIX)) return streamSlowly(upstream.id, STREAM_EVENTS, EVENT_MILLISECONDS)(request, upstream)
    setTimeout(() => { if (isOpen(request)) respond(formatPlainBody(request.requestId))(request, upstream) }, PLAIN_MILLISECONDS)
  }

  /** Ids among `ids` of requests that ran more often than `most` times. */
  listRunMoreOften (ids: readonly string[], most: number): string[] {
    const counts = new Map<string, number>()
    for (const { id } of this.runs) counts.set(id, (counts.get(id) ?? 0) + 1)
    return ids.filter(id => (counts.get(id) ?? 0) > most)
  }

  /** A line that says when and where a request ran. */
  describe (id: string): string {
    return `${id} at ${this.runs.filter(run => run.id === id).map(({ upstream, at }) => `${upstream} ${at}`).join(', ')}`
  }
}

function isOpen ({ socket }: ReceivedRequest): boolean {
  return !socket.destroyed && socket.writable
}
