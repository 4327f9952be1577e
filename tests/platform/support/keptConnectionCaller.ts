/**
 * A caller that sends one request after the other on a connection that it keeps, and records how each one ended. Each
 * request says how long the upstream shall work on it.
 *
 * @module
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { HOST, TOKEN, formatServerSentEvents } from './timedUpstream.js'
import { wait } from '../../support/wait.js'

const HEAD_END = '\r\n\r\n'
const LAST_CHUNK = `0${HEAD_END}`
/** Output tokens per second that a request for generation states. */
const TOKENS_PER_SECOND = 20
const MILLISECONDS_PER_SECOND = 1000

/** A request as the caller plans it; neither kind may be repeated. */
export interface PlannedRequest {
  kind: 'plain' | 'stream'
  /** How long the upstream works on it. */
  milliseconds: number
}

/** How one request ended. */
export interface KeptOutcome extends PlannedRequest {
  id: string
  sentAt: number
  endedAt: number
  /** Status of the response; 0 when the connection closed without any. */
  status: number
  /** Whether the whole response arrived. */
  isComplete: boolean
  /** Whether the response announced that its connection closes. */
  announcesClose: boolean
  /** Delay that the response asks for, in seconds. */
  retryAfter: number | undefined
}

/** Options of a caller. */
export interface KeptConnectionCallerOptions {
  name: string
  /** Returns the gateway for a new connection; undefined if the caller shall end instead. */
  chooseUrl: () => string | undefined
  planNext: () => PlannedRequest
}

/** Sends requests until `stop`, or until there is no gateway for a new connection. */
export class KeptConnectionCaller {
  readonly outcomes: KeptOutcome[] = []
  private readonly _options: KeptConnectionCallerOptions
  private _socket: Socket | undefined
  private _isStopped = false

  private constructor (options: KeptConnectionCallerOptions) {
    this._options = options
  }

  static create (options: KeptConnectionCallerOptions): KeptConnectionCaller {
    return new KeptConnectionCaller(options)
  }

  async run (): Promise<void> {
    while (!this._isStopped) {
      this._socket = this._socket ?? this._connect()
      if (!this._socket) return
      await this._send(this._socket)
    }
    this._socket?.destroy()
  }

  /** Sends no further request; the one that runs is finished. */
  stop (): void {
    this._isStopped = true
  }

  private _connect (): Socket | undefined {
    const url = this._options.chooseUrl()
    if (url === undefined) return undefined
    const { hostname, port } = new URL(url)
    const socket = connect({ port: Number(port), host: hostname, noDelay: true })
    socket.on('error', () => {})
    socket.on('close', () => { if (this._socket === socket) this._socket = undefined })
    return socket
  }

  private async _send (socket: Socket): Promise<void> {
    const plan = this._options.planNext()
    const id = `${this._options.name}-${this.outcomes.length}`
    const sentAt = Date.now()
    socket.write(formatRequest(id, plan))
    const text = await readResponse(socket)
    const head = readHead(text)
    const outcome: KeptOutcome = { ...plan, id, sentAt, endedAt: Date.now(), ...head, isComplete: isComplete(text, plan, id, head.status) }
    this.outcomes.push(outcome)
    if (outcome.isComplete && !outcome.announcesClose) return
    socket.destroy()
    this._socket = undefined
    await wait((outcome.retryAfter ?? 0) * MILLISECONDS_PER_SECOND)
  }
}

function formatRequest (id: string, { kind, milliseconds }: PlannedRequest): string {
  const tokens = Math.round(milliseconds / MILLISECONDS_PER_SECOND * TOKENS_PER_SECOND)
  const target = kind === 'stream' ? `/summary/${milliseconds}` : `/page/${milliseconds}`
  const counts = kind === 'stream' ? `plumstage-token-count: 10,${tokens}\r\n` : ''
  return `POST ${target} HTTP/1.1\r\nhost: ${HOST}\r\nplumstage-attempt-id: ${id}\r\nplumstage-deadline-ms: 15000\r\n${counts}authorization: Bearer ${TOKEN}\r\ncontent-length: 0${HEAD_END}`
}

/** Resolves with all that arrives up to the end of the response, or of the connection. */
async function readResponse (socket: Socket): Promise<string> {
  let text = ''
  return await new Promise(resolve => {
    const finish = (): void => {
      socket.removeListener('data', receive)
      socket.removeListener('close', finish)
      resolve(text)
    }
    const receive = (chunk: Buffer): void => {
      text += chunk.toString('latin1')
      if (hasEnded(text)) finish()
    }
    socket.on('data', receive)
    socket.on('close', finish)
    if (socket.destroyed) finish()
  })
}

function hasEnded (text: string): boolean {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return false
  const [, length] = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, headEnd)) ?? []
  return length === undefined ? text.endsWith(LAST_CHUNK) : text.length >= headEnd + HEAD_END.length + Number(length)
}

function readHead (text: string): Pick<KeptOutcome, 'status' | 'announcesClose' | 'retryAfter'> {
  const head = text.slice(0, text.indexOf(HEAD_END) + 1)
  const [, retryAfter] = /\r\nretry-after: ([\d.]+)/i.exec(head) ?? []
  return {
    status: Number(head.split(' ')[1] ?? 0),
    announcesClose: /\r\nconnection: close/i.test(head),
    retryAfter: retryAfter === undefined ? undefined : Number(retryAfter)
  }
}

function isComplete (text: string, { kind, milliseconds }: PlannedRequest, id: string, status: number): boolean {
  if (!hasEnded(text)) return false
  if (status !== 200) return true
  if (kind === 'plain') return text.endsWith(`${HEAD_END}${id}`)
  const events = formatServerSentEvents(milliseconds)
  return events.every(event => text.includes(event))
}
