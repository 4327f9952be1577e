/**
 * Callers that send plain requests and streams at a constant rate to each gateway, without retries.
 *
 * @module
 */
import { request } from 'undici'
import { HOST, TOKEN } from './platformDeployment.js'

const MILLISECONDS_PER_SECOND = 1000
/** A caller gives up after this time. */
export const CALLER_TIMEOUT_MILLISECONDS = 2500
const OK = 200
const EVENT_ID = /^id: (\d+)$/gm
/** Events of a stream, whose ids begin with 1. */
export const STREAM_EVENTS = 5

/** What may be repeated: all but `non-idempotent`, since the streams may be resumed. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream'

const KINDS: readonly RequestKind[] = ['idempotent', 'non-idempotent', 'stream']
const ROUTES = {
  idempotent: { method: 'GET', prefix: '/search/' },
  'non-idempotent': { method: 'POST', prefix: '/page/' },
  stream: { method: 'POST', prefix: '/manual/' }
} as const

/** What became of one request. */
export interface MixedOutcome {
  id: string
  gateway: number
  kind: RequestKind
  sentAt: number
  /** Whether the whole right body arrived, or all events in order and once. */
  isServed: boolean
  /** Status of the response; 0 without any. */
  status: number
  milliseconds: number
}

/** Options of the callers. */
export interface MixedCallersOptions {
  callerUrlOf: (gateway: number) => string
  /** Numbers of all gateways. */
  gateways: readonly number[]
  requestsPerSecondAndGateway: number
}

/** Counts of the requests sent to some gateways. */
export interface ServedCount {
  sent: number
  served: number
  /** Requests that took longer than a second. */
  slow: number
}

/** Sends requests to all gateways in turn; each gateway receives the kinds in turn. */
export class MixedCallers {
  readonly outcomes: MixedOutcome[] = []
  private readonly _options: MixedCallersOptions
  private readonly _paused = new Set<number>()
  private _isStopped = false

  private constructor (options: MixedCallersOptions) {
    this._options = options
  }

  static create (options: MixedCallersOptions): MixedCallers {
    return new MixedCallers(options)
  }

  /** Sends requests until `stop`, then waits for all responses. */
  async run (): Promise<void> {
    const { gateways, requestsPerSecondAndGateway } = this._options
    const interval = MILLISECONDS_PER_SECOND / requestsPerSecondAndGateway / gateways.length
    const pending: Array<Promise<void>> = []
    let nextAt = Date.now()
    for (let turn = 0; !this._isStopped; turn++) {
      const gateway = gateways[turn % gateways.length]
      const kind = KINDS[Math.floor(turn / gateways.length) % KINDS.length]
      if (!this._paused.has(gateway)) pending.push(this._send(`mixed-${turn}`, gateway, kind))
      nextAt += interval
      await new Promise(resolve => setTimeout(resolve, Math.max(0, nextAt - Date.now())))
    }
    await Promise.all(pending)
  }

  stop (): void {
    this._isStopped = true
  }

  /** Sends no requests to a gateway until `resume`. */
  pause (gateway: number): void {
    this._paused.add(gateway)
  }

  resume (gateway: number): void {
    this._paused.delete(gateway)
  }

  /** Counts the requests that were sent to some gateways in a span. */
  count (gateways: readonly number[], from: number, to: number): ServedCount {
    const sent = this.outcomes.filter(({ gateway, sentAt }) => gateways.includes(gateway) && sentAt >= from && sentAt < to)
    return {
      sent: sent.length,
      served: sent.filter(({ isServed }) => isServed).length,
      slow: sent.filter(({ milliseconds }) => milliseconds > MILLISECONDS_PER_SECOND).length
    }
  }

  private async _send (id: string, gateway: number, kind: RequestKind): Promise<void> {
    const outcome: MixedOutcome = { id, gateway, kind, sentAt: Date.now(), isServed: false, status: 0, milliseconds: 0 }
    const { method, prefix } = ROUTES[kind]
    const headers = { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': id, 'plumstage-deadline-ms': String(CALLER_TIMEOUT_MILLISECONDS) }
    try {
      const response = await request(`${this._options.callerUrlOf(gateway)}${prefix}x`, { method, headers, signal: AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS) })
      outcome.status = response.statusCode
      const text = await response.body.text()
      outcome.isServed = response.statusCode === OK && isComplete(kind, id, text)
    } catch {
      // The connection broke, or the caller gave up.
    }
    outcome.milliseconds = Date.now() - outcome.sentAt
    this.outcomes.push(outcome)
  }
}

/** Body of the response to a plain request. */
export function formatPlainBody (id: string): string {
  return `result of ${id}`
}

function isComplete (kind: RequestKind, id: string, text: string): boolean {
  if (kind !== 'stream') return text === formatPlainBody(id)
  const ids = [...text.matchAll(EVENT_ID)].map(([, eventId]) => Number(eventId))
  return ids.length === STREAM_EVENTS && ids.every((eventId, index) => eventId === index + 1)
}
