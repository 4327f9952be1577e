/**
 * Callers of the chaos run: they send calls at a steady rate, whatever becomes of the ones before.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'
import type { Outcome } from '@plumstage/gateway'
import type { CallKind, CallRecord } from '../world/callRecord.js'
import { CHAOS_TOKEN, nameOf } from './chaosDeployment.js'
import type { ChaosDeployment, ChaosSlot } from './chaosDeployment.js'

const KINDS: readonly CallKind[] = ['stream', 'stream', 'whole', 'read', 'write', 'write']
const MOST_TOKENS = 200
const MOST_RESENDS = 6
const RESEND_MILLISECONDS = 700
const CALL_TIMEOUT_MILLISECONDS = 60_000

/** Sends calls and records what came back. */
export class ChaosCallers {
  readonly calls: CallRecord[] = []
  private readonly _deployment: ChaosDeployment
  private readonly _random: SeededRandom
  private readonly _running = new Set<Promise<void>>()
  private _next = 1

  private constructor (deployment: ChaosDeployment, random: SeededRandom) {
    this._deployment = deployment
    this._random = random
  }

  static create (deployment: ChaosDeployment, random: SeededRandom): ChaosCallers {
    return new ChaosCallers(deployment, random)
  }

  /** Sends one call of a random kind. */
  sendOne (): void {
    const kind = this._random.pick(KINDS)!
    const keyed = kind === 'write' && this._random.nextFraction() < 0.7
    const content = `${kind} ${this._next++}`
    const work = this._sendUntilSettled(kind, content, this._random.nextInteger(1, MOST_TOKENS), keyed)
    this._running.add(work)
    void work.finally(() => this._running.delete(work))
  }

  /** Resolves when every call has come to its end. */
  async settle (): Promise<void> {
    await Promise.all(this._running)
  }

  /** A call with a key is sent again through another gateway until it is settled; any other is sent once. */
  private async _sendUntilSettled (kind: CallKind, content: string, tokens: number, keyed: boolean): Promise<void> {
    for (let resend = 0; resend <= MOST_RESENDS; resend++) {
      const slot = this._random.pick(this._deployment.listSlots('gateway'))!
      const record: CallRecord = { label: kind, kind, gateway: nameOf(slot), content, tokens, idempotencyKey: keyed ? content : undefined, requestId: '', sentAt: Date.now(), text: '', accepted: false }
      this.calls.push(record)
      await sendCall(slot, record)
      const open = record.outcome === undefined || record.outcome === 'not-run' || record.errorCode === 'request_in_progress'
      if (!keyed || !open) return
      await new Promise(resolve => setTimeout(resolve, RESEND_MILLISECONDS))
    }
  }
}

async function sendCall (slot: ChaosSlot, record: CallRecord): Promise<void> {
  const headers: Record<string, string> = { authorization: `Bearer ${CHAOS_TOKEN}` }
  if (record.idempotencyKey !== undefined) headers['idempotency-key'] = record.idempotencyKey
  try {
    const response = await fetch(`http://${slot.address}${pathOf(record.kind)}`, { method: record.kind === 'read' ? 'GET' : 'POST', headers, body: bodyOf(record), signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS) })
    record.status = response.status
    record.requestId = response.headers.get('x-request-id') ?? ''
    record.accepted = true
    for await (const chunk of response.body!) record.text += Buffer.from(chunk).toString()
    readEnding(record, response.headers.get('plumstage-outcome') as Outcome | null)
  } catch {
    // The connection was refused or lost: the caller was told nothing.
  }
  record.endedAt = Date.now()
}

/** A stream says by its last event how it ended; its trailer is not shown by fetch. */
function readEnding (record: CallRecord, outcome: Outcome | null): void {
  const error = /"error":(\{.*\})/.exec(record.text)?.[1]
  if (error !== undefined) record.errorCode = /"code":"([a-z_]+)"/.exec(error)?.[1]
  if (outcome !== null) record.outcome = outcome
  else if (record.text.endsWith('data: [DONE]\n\n')) record.outcome = 'complete'
  else record.outcome = /"outcome":"([a-z-]+)"/.exec(record.text)?.[1] as Outcome | undefined
}

function pathOf (kind: CallKind): string {
  return kind === 'stream' || kind === 'whole' ? '/v1/chat/completions' : '/plain/item'
}

function bodyOf (record: CallRecord): string | undefined {
  if (record.kind === 'read') return undefined
  if (record.kind === 'write') return record.content
  return JSON.stringify({ model: 'model-a', stream: record.kind === 'stream', max_tokens: record.tokens, messages: [{ role: 'user', content: record.content }] })
}
