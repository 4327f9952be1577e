/**
 * Callers and upstreams for responses that are cut: each case is repeated until an upstream has cut its response, and every
 * response that the caller receives is judged.
 *
 * @module
 */
import { wait } from '../../support/wait.js'
import { cut, formatWholeBody, formatWholeResponse } from './cutResponses.js'
import type { CutKind, CutResponse } from './cutResponses.js'
import { formatRequest, sendOverNewConnection } from './platformDeployment.js'
import type { CallerResponse } from './platformDeployment.js'
import type { ReceivedRequest, ResponseScript, UpstreamStandin } from './upstreamStandin.js'

/**
 * Which response is cut: that to a new request, that to the second or a later request on its connection, or that to the
 * continuation of a stream that broke off.
 */
export type CutTurn = 'any' | 'kept-connection' | 'continuation'

const ROUTES: Readonly<Record<CutKind, { method: string, prefix: string, runs: number }>> = {
  idempotent: { method: 'GET', prefix: '/search/', runs: 2 },
  large: { method: 'GET', prefix: '/search/', runs: 2 },
  'non-idempotent': { method: 'POST', prefix: '/page/', runs: 1 },
  stream: { method: 'POST', prefix: '/summary/', runs: 1 },
  resumable: { method: 'POST', prefix: '/manual/', runs: 2 }
}
/** Statuses that state that the request was not executed. */
const PROMISING_STATUSES = [408, 421, 425, 429, 503]
const RESET_DELAY_MILLISECONDS = 10
const PAUSE_MILLISECONDS = 20
const MAXIMUM_TRIES = 100
const PARALLEL_CASES = 8
/** Events that a stream brings before it breaks off. */
const EVENTS_BEFORE_BREAK = 2

interface CutCase {
  response: CutResponse
  turn: CutTurn
  isDone: boolean
}

/** Cuts responses and judges what became of them. */
export class CuttingUpstreams {
  /** What was found wrong. */
  readonly faults: string[] = []
  private readonly _cases: CutCase[] = []
  /** How often each request reached an upstream. */
  private readonly _runs = new Map<string, number>()
  private readonly _usedSockets = new WeakSet<object>()

  static create (): CuttingUpstreams {
    return new CuttingUpstreams()
  }

  /** Plays the part of the upstreams. */
  readonly script: ResponseScript = (request, upstream) => {
    const { requestId, socket } = request
    this._runs.set(requestId, (this._runs.get(requestId) ?? 0) + 1)
    const isKept = this._usedSockets.has(socket)
    this._usedSockets.add(socket)
    const found = this._cases[Number(request.target.split('/').at(-1))]
    if (found.turn === 'continuation' && !request.headers.has('last-event-id')) return breakOff(request, upstream, found.response)
    if (found.turn === 'kept-connection' && !isKept) return respondWhole(request, upstream, { ...found.response, framing: 'length', extra: '' })
    if (found.isDone) return respondWhole(request, upstream, found.response)
    found.isDone = true
    sendCut(request, upstream, found.response)
  }

  /** Sends the requests of some cases to a gateway, a few at a time. */
  async play (callerUrl: string, responses: readonly CutResponse[], turn: CutTurn = 'any'): Promise<void> {
    const first = this._cases.length
    this._cases.push(...responses.map(response => ({ response, turn, isDone: false })))
    let next = first
    await Promise.all(Array.from({ length: PARALLEL_CASES }, async () => {
      while (next < this._cases.length) await this._playCase(callerUrl, next++)
    }))
  }

  private async _playCase (callerUrl: string, number: number): Promise<void> {
    const { host } = new URL(callerUrl)
    const played = this._cases[number]
    const { kind } = played.response
    const { method, prefix } = ROUTES[kind]
    for (let count = 1; !played.isDone; count++) {
      if (count > MAXIMUM_TRIES) return void this.faults.push(`no upstream has cut the response of case ${number}`)
      const id = `case-${number}-${count}`
      const response = await sendOverNewConnection(host, formatRequest(`${prefix}${number}`, { method, id }))
      const fault = findFault(kind, response, this._runs.get(id) ?? 0)
      if (fault !== undefined) this.faults.push(`${fault}: ${JSON.stringify(played)}, status ${response.status}, complete ${response.complete}, body ${JSON.stringify(response.body.slice(0, 80))}`)
      if (!played.isDone) await wait(PAUSE_MILLISECONDS)
    }
  }
}

function findFault (kind: CutKind, { status, complete, body }: CallerResponse, runs: number): string | undefined {
  const whole = formatWholeBody(kind)
  if (status === 0) return 'the caller got no response'
  if (status < 300 && complete && body !== whole) return 'a cut response looks complete'
  if (status < 300 && !whole.startsWith(body)) return 'the response has bytes that are not of its body'
  if (PROMISING_STATUSES.includes(status) && runs > 0) return 'a request that has run was refused as not executed'
  return runs > ROUTES[kind].runs ? `the request ran ${runs} times` : undefined
}

function respondWhole (request: ReceivedRequest, upstream: UpstreamStandin, { kind, framing, extra }: CutResponse): void {
  const isClosed = framing === 'connection' || extra.startsWith('Connection')
  const text = formatWholeResponse(request, upstream, kind, framing, extra)
  if (isClosed) request.socket.end(text)
  else request.socket.write(text)
}

function sendCut (request: ReceivedRequest, upstream: UpstreamStandin, response: CutResponse): void {
  const { socket } = request
  const text = cut(formatWholeResponse(request, upstream, response.kind, response.framing, response.extra), response)
  if (response.ending === 'closed') return void socket.end(text)
  socket.write(text, () => {
    if (response.ending === 'reset') socket.resetAndDestroy()
    else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS)
  })
}

/** Sends the first events of a stream, then resets the connection. */
function breakOff (request: ReceivedRequest, upstream: UpstreamStandin, { kind }: CutResponse): void {
  const whole = formatWholeResponse(request, upstream, kind, 'connection')
  const events = formatWholeBody(kind, EVENTS_BEFORE_BREAK).length
  request.socket.write(whole.slice(0, -events))
  setTimeout(() => request.socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS)
}
