/**
 * Open-loop callers of the chaos run: requests are sent at a constant rate, whatever the outcome of earlier ones.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'
import type { Outcome } from '@plumstage/gateway'
import type { RequestKind, RequestRecord } from '../simulation/requestRecord.js'
import { CHAOS_TOKEN, slotNameOf } from './chaosDeployment.js'
import type { ChaosDeployment, ChaosSlot } from './chaosDeployment.js'

const KINDS: readonly RequestKind[] = ['stream', 'stream', 'whole', 'read', 'write', 'write']
const MAXIMUM_TOKENS = 200
const MAXIMUM_RESENDS = 6
const RESEND_DELAY_MILLISECONDS = 700
const REQUEST_TIMEOUT_MILLISECONDS = 60_000

/** Sends requests and records the responses. */
export class ChaosCallers {
  readonly requests: RequestRecord[] = []
  private readonly _deployment: ChaosDeployment
  private readonly _random: SeededRandom
  private readonly _pending = new Set<Promise<void>>()
  private _nextNumber = 1

  private constructor (deployment: ChaosDeployment, random: SeededRandom) {
    this._deployment = deployment
    this._random = random
  }

  static create (deployment: ChaosDeployment, random: SeededRandom): ChaosCallers {
    return new ChaosCallers(deployment, random)
  }

  /** Sends one request of a random kind, without waiting for the response. */
  sendRandomRequest (): void {
    const kind = this._random.pick(KINDS)!
    const keyed = kind === 'write' && this._random.nextFraction() < 0.7
    const content = `${kind} ${this._nextNumber++}`
    const work = this._sendUntilSettled(kind, content, this._random.nextInteger(1, MAXIMUM_TOKENS), keyed)
    this._pending.add(work)
    void work.finally(() => this._pending.delete(work))
  }

  /** Resolves when every request has ended. */
  async waitForAll (): Promise<void> {
    await Promise.all(this._pending)
  }

  /** Sends a request through random gateways until its outcome is final; without an idempotency key, sends it only once. */
  private async _sendUntilSettled (kind: RequestKind, content: string, tokens: number, keyed: boolean): Promise<void> {
    for (let resend = 0; resend <= MAXIMUM_RESENDS; resend++) {
      const slot = this._random.pick(this._deployment.listSlots('gateway'))!
      const record: RequestRecord = { label: kind, kind, gateway: slotNameOf(slot), content, tokens, idempotencyKey: keyed ? content : undefined, requestId: '', sentAt: Date.now(), text: '', accepted: false }
      this.requests.push(record)
      await sendRequest(slot, record)
      const isUnsettled = record.outcome === undefined || record.outcome === 'not-run' || record.errorCode === 'request_in_progress'
      if (!keyed || !isUnsettled) return
      await new Promise(resolve => setTimeout(resolve, RESEND_DELAY_MILLISECONDS))
    }
  }
}

async function sendRequest (slot: ChaosSlot, record: RequestRecord): Promise<void> {
  const headers: Record<string, string> = { authorization: `Bearer ${CHAOS_TOKEN}` }
  if (record.idempotencyKey !== undefined) headers['idempotency-key'] = record.idempotencyKey
  try {
    const response = await fetch(`http://${slot.address}${pathOf(record.kind)}`, { method: record.kind === 'read' ? 'GET' : 'POST', headers, body: bodyOf(record), signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS) })
    record.status = response.status
    record.requestId = response.headers.get('x-request-id') ?? ''
    record.accepted = true
    for await (const chunk of response.body!) record.text += Buffer.from(chunk).toString()
    recordOutcome(record, response.headers.get('plumstage-outcome') as Outcome | null)
  } catch {
    // The connection was refused or lost, so the caller received no outcome.
  }
  record.endedAt = Date.now()
}

/** Reads the outcome from the header or, for streams, from the last event, since fetch does not expose trailers. */
function recordOutcome (record: RequestRecord, outcome: Outcome | null): void {
  const error = /"error":(\{.*\})/.exec(record.text)?.[1]
  if (error !== undefined) record.errorCode = /"code":"([a-z_]+)"/.exec(error)?.[1]
  if (outcome !== null) record.outcome = outcome
  else if (record.text.endsWith('data: [DONE]\n\n')) record.outcome = 'complete'
  else record.outcome = /"outcome":"([a-z-]+)"/.exec(record.text)?.[1] as Outcome | undefined
}

function pathOf (kind: RequestKind): string {
  return kind === 'stream' || kind === 'whole' ? '/v1/chat/completions' : '/plain/item'
}

function bodyOf (record: RequestRecord): string | undefined {
  if (record.kind === 'read') return undefined
  if (record.kind === 'write') return record.content
  return JSON.stringify({ model: 'model-a', stream: record.kind === 'stream', max_tokens: record.tokens, messages: [{ role: 'user', content: record.content }] })
}
