/**
 * A caller of one stream: it resumes the stream at another gateway when its connection breaks, and remembers which
 * software version wrote each event.
 *
 * @module
 */
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { HOST, TOKEN } from './platformDeployment.js'
import { formatResponseHead } from './upstreamStandin.js'
import type { ReceivedRequest, ResponseScript } from './upstreamStandin.js'

const OK = 200
const EVENT = /id: (\d+)\ndata: (\S+) \d+\n\n/g

/** How one try of a caller ended. */
export type TryEnd = 'complete' | 'broken' | 'left' | 'rejected'

/** Result of one try. */
export interface StreamTry {
  end: TryEnd
  status: number
  events: number
  milliseconds: number
  retryAfter?: string
}

/** Options of a caller. */
export interface StreamCallerOptions {
  /** Whether it names the request that began the stream when it resumes it. */
  namesBeginning?: boolean
}

/** Receives one stream through several tries. */
export class StreamCaller {
  /** Version that wrote each event, in order. */
  readonly versions: string[] = []
  readonly tries: StreamTry[] = []
  private readonly _id: string
  private readonly _namesBeginning: boolean
  /** Id of the try that brought the first event. */
  private _beginningId: string | undefined
  private _lastEventId = 0

  private constructor (id: string, namesBeginning: boolean) {
    this._id = id
    this._namesBeginning = namesBeginning
  }

  static create (id: string, { namesBeginning = true }: StreamCallerOptions = {}): StreamCaller {
    return new StreamCaller(id, namesBeginning)
  }

  /** Whether events of different versions were received. */
  get isMixed (): boolean {
    return new Set(this.versions).size > 1
  }

  get isComplete (): boolean {
    return this.tries.at(-1)?.end === 'complete'
  }

  /** Whether the events have consecutive ids from 1. */
  get isContinuous (): boolean {
    return this._lastEventId === this.versions.length
  }

  /** Sends one try to a gateway; leaves after `leaveAfter` events of it. */
  async send (callerUrl: string, leaveAfter = Number.POSITIVE_INFINITY): Promise<StreamTry> {
    const startedAt = Date.now()
    const result: StreamTry = { end: 'broken', status: 0, events: 0, milliseconds: 0 }
    const id = `${this._id}-${this.tries.push(result)}`
    try {
      const response = await request(`${callerUrl}/manual/x`, { method: 'POST', headers: this._createHeaders(id) })
      result.status = response.statusCode
      result.retryAfter = response.headers['retry-after'] as string | undefined
      await this._receive(response, id, result, leaveAfter)
    } catch {
      // The connection broke.
    }
    result.milliseconds = Date.now() - startedAt
    return result
  }

  private _createHeaders (id: string): Record<string, string> {
    const headers = { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': id, 'plumstage-deadline-ms': '15000' }
    if (this._beginningId === undefined) return headers
    const resumed = { ...headers, 'last-event-id': String(this._lastEventId) }
    return this._namesBeginning ? { ...resumed, resumes: this._beginningId } : resumed
  }

  private async _receive ({ body, statusCode }: Dispatcher.ResponseData, id: string, result: StreamTry, leaveAfter: number): Promise<void> {
    if (statusCode !== OK) {
      await body.text()
      result.end = 'rejected'
      return
    }
    let text = ''
    for await (const chunk of body) {
      text += String(chunk)
      for (const [, eventId, version] of text.matchAll(EVENT)) {
        this._beginningId ??= id
        this._lastEventId = Number(eventId)
        this.versions.push(version)
        result.events++
      }
      text = text.slice(text.lastIndexOf('\n\n') + 2)
      if (result.events < leaveAfter) continue
      result.end = 'left'
      body.destroy()
      return
    }
    result.end = 'complete'
  }
}

/** Streams events up to `last` after the last one that the request names, each naming the version of the upstream. */
export function streamSlowly (version: string, last: number, intervalMilliseconds: number): ResponseScript {
  return (received, upstream) => {
    const { socket } = received
    socket.write(`${formatResponseHead(received, upstream)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
    let id = firstIdOf(received)
    const timer = setInterval(() => {
      if (socket.destroyed) return clearInterval(timer)
      const event = `id: ${id}\ndata: ${version} ${id}\n\n`
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
      if (id++ < last) return
      clearInterval(timer)
      socket.write('0\r\n\r\n')
    }, intervalMilliseconds)
  }
}

function firstIdOf ({ headers }: ReceivedRequest): number {
  return Number(headers.get('last-event-id') ?? 0) + 1
}
