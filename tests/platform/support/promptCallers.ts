/**
 * Callers whose prompts have parts, at a constant rate through random gateways.
 *
 * @module
 */
import { request } from 'undici'
import { SeededRandom } from '@plumstage/common'
import { HOST, TOKEN } from './platformDeployment.js'

const MILLISECONDS_PER_SECOND = 1000
const TIMEOUT_MILLISECONDS = 4000

/** What became of one request. */
export interface PromptOutcome {
  id: string
  sentAt: number
  status: number
  milliseconds: number
  /** Whether all events arrived. */
  isComplete: boolean
  retryAfterSeconds: number
}

/** Options of the callers. */
export interface PromptCallersOptions {
  callerUrlOf: (gateway: number) => string
  listGateways: () => readonly number[]
  requestsPerSecond: number
  /** Ids of the parts of the prompt before its last one, which is different in every request. */
  parts: readonly string[]
  seed: number
}

/** Sends requests with one kind of prompt. */
export class PromptCallers {
  readonly outcomes: PromptOutcome[] = []
  private readonly _options: PromptCallersOptions
  private readonly _random: SeededRandom
  private _sent = 0

  private constructor (options: PromptCallersOptions) {
    this._options = options
    this._random = SeededRandom.create(options.seed)
  }

  static create (options: PromptCallersOptions): PromptCallers {
    return new PromptCallers(options)
  }

  /** Sends requests for some time, then waits for all responses. */
  async run (milliseconds: number): Promise<void> {
    const pending: Array<Promise<void>> = []
    const endsAt = Date.now() + milliseconds
    let nextAt = Date.now()
    while (Date.now() < endsAt) {
      nextAt += MILLISECONDS_PER_SECOND / this._options.requestsPerSecond
      pending.push(this._send(this._random.pick(this._options.listGateways())!))
      await new Promise(resolve => setTimeout(resolve, Math.max(0, nextAt - Date.now())))
    }
    await Promise.all(pending)
  }

  /** Share of the requests sent in a span that were answered completely at the first try. */
  servedShare (from: number, to: number): number {
    const sent = this.outcomes.filter(({ sentAt }) => sentAt >= from && sentAt < to)
    return sent.filter(({ isComplete }) => isComplete).length / sent.length
  }

  private async _send (gateway: number): Promise<void> {
    const { callerUrlOf, parts, seed } = this._options
    const id = `prompt-${seed}-${++this._sent}`
    const sentAt = Date.now()
    const prompt = [...parts.map(part => `${part}:100`), `${id}:50`].join(',')
    try {
      const response = await request(`${callerUrlOf(gateway)}/manual/${id}`, { method: 'POST', signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS), headers: { host: HOST, authorization: `Bearer ${TOKEN}`, 'plumstage-attempt-id': id, 'plumstage-model': 'm', 'plumstage-token-count': '350,20', 'plumstage-prompt-prefix': prompt }, body: id })
      const text = await response.body.text()
      this.outcomes.push({ id, sentAt, status: response.statusCode, milliseconds: Date.now() - sentAt, isComplete: response.statusCode === 200 && text.includes('id: 4\n'), retryAfterSeconds: Number(response.headers['retry-after'] ?? 0) })
    } catch {
      this.outcomes.push({ id, sentAt, status: 0, milliseconds: Date.now() - sentAt, isComplete: false, retryAfterSeconds: 0 })
    }
  }
}
