/**
 * Callers that send requests at a constant rate to random gateways, whatever becomes of earlier requests.
 *
 * @module
 */
import { request } from 'undici'
import { SeededRandom } from '@plumstage/common'
import { HOST, TOKEN } from './platformDeployment.js'

const MILLISECONDS_PER_SECOND = 1000

/** What a caller received. */
export interface CallerOutcome {
  gateway: number
  status: number
  sentAt: number
  milliseconds: number
  retryAfterSeconds: number
}

/** Options of the callers. */
export interface OpenLoopOptions {
  /** Address of a gateway for callers. */
  callerUrlOf: (gateway: number) => string
  /** Numbers of the gateways that receive requests now. */
  listGateways: () => readonly number[]
  target: string
  method: 'GET' | 'POST'
  requestsPerSecond: number
  seed: number
}

/** Sends requests through random gateways. */
export class OpenLoopCallers {
  readonly outcomes: CallerOutcome[] = []
  private readonly _options: OpenLoopOptions
  private readonly _random: SeededRandom
  private readonly _pending = new Set<Promise<void>>()
  private _sent = 0

  private constructor (options: OpenLoopOptions) {
    this._options = options
    this._random = SeededRandom.create(options.seed)
  }

  static create (options: OpenLoopOptions): OpenLoopCallers {
    return new OpenLoopCallers(options)
  }

  /** Sends requests for some time, then waits for all responses. */
  async run (milliseconds: number): Promise<void> {
    const endsAt = Date.now() + milliseconds
    let nextAt = Date.now()
    while (Date.now() < endsAt) {
      nextAt += MILLISECONDS_PER_SECOND / this._options.requestsPerSecond
      const work = this._send(this._random.pick(this._options.listGateways())!)
      this._pending.add(work)
      void work.finally(() => this._pending.delete(work))
      await new Promise(resolve => setTimeout(resolve, Math.max(0, nextAt - Date.now())))
    }
    await Promise.all(this._pending)
  }

  private async _send (gateway: number): Promise<void> {
    const { callerUrlOf, target, method, seed } = this._options
    const sentAt = Date.now()
    const id = `load-${seed}-${++this._sent}`
    try {
      const response = await request(callerUrlOf(gateway) + target, { method, headers: { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': id, 'x-gateway': String(gateway) } })
      await response.body.text()
      this.outcomes.push({ gateway, status: response.statusCode, sentAt, milliseconds: Date.now() - sentAt, retryAfterSeconds: Number(response.headers['retry-after'] ?? 0) })
    } catch {
      // The gateway was killed or frozen.
    }
  }
}
