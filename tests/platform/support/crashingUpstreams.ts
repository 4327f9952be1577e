/**
 * Upstreams that crash when they begin to respond to a prompt with certain parts, and come back after some seconds under
 * a new id.
 *
 * @module
 */
import type { ProcessDeployment } from './processDeployment.js'
import { formatResponseHead, formatServerSentEvent } from './upstreamStandin.js'
import type { ReceivedRequest, ResponseScript, UpstreamStandin } from './upstreamStandin.js'

const BEGIN_MILLISECONDS = 60
const EVENT_MILLISECONDS = 60
const EVENTS = 4
/** A crashed upstream is back after this time. */
const RESTART_MILLISECONDS = 2500
/** The entry of a crashed upstream expires after this time. */
const ENTRY_EXPIRY_MILLISECONDS = 3600

/** A request with a crashing part that reached an upstream. */
export interface CrashingArrival {
  part: string
  at: number
}

/** The upstreams of one deployment. */
export class CrashingUpstreams {
  readonly arrivals: CrashingArrival[] = []
  readonly crashedAt: Array<{ part: string | undefined, at: number }> = []
  private readonly _deployment: ProcessDeployment
  private readonly _crashingParts: readonly string[]
  private readonly _fields: Record<string, unknown>
  private readonly _timers = new Set<NodeJS.Timeout>()
  private _stopped = false

  private constructor (deployment: ProcessDeployment, crashingParts: readonly string[], fields: Record<string, unknown>) {
    this._deployment = deployment
    this._crashingParts = crashingParts
    this._fields = fields
  }

  /** Applies to all upstreams of the deployment; `fields` replace those of their entries when they are back. */
  static create (deployment: ProcessDeployment, crashingParts: readonly string[], fields: Record<string, unknown> = {}): CrashingUpstreams {
    const created = new CrashingUpstreams(deployment, crashingParts, fields)
    for (const upstream of deployment.upstreams) upstream.script = created.script
    return created
  }

  /** Responds with a few events, or crashes. */
  readonly script: ResponseScript = (request, upstream) => {
    const part = this._crashingParts.find(id => partsOf(request).includes(id))
    if (part !== undefined) this.arrivals.push({ part, at: Date.now() })
    this._later(BEGIN_MILLISECONDS, () => {
      if (part !== undefined) return this.crash(upstream, part)
      this._respond(request, upstream)
    })
  }

  /** Crashes an upstream: its connections are closed, its port too, and all that it was working on is lost. */
  crash (upstream: UpstreamStandin, part?: string): void {
    if (upstream.hasCrashed) return
    this.crashedAt.push({ part, at: Date.now() })
    void upstream.crash()
    this._later(ENTRY_EXPIRY_MILLISECONDS, () => this._deployment.store.remove(`servers/${upstream.id}`))
    this._later(RESTART_MILLISECONDS, () => { if (!this._stopped) void this._deployment.addUpstream(this._fields, this.script) })
  }

  stop (): void {
    this._stopped = true
    for (const timer of this._timers) clearTimeout(timer)
  }

  /** Requests with a part that arrived later than `milliseconds` after its fifth crash. */
  countLateArrivals (part: string, milliseconds: number): number {
    const fifth = this.crashedAt.filter(crash => crash.part === part)[4]
    return fifth === undefined ? 0 : this.arrivals.filter(arrival => arrival.part === part && arrival.at > fifth.at + milliseconds).length
  }

  private _respond (request: ReceivedRequest, upstream: UpstreamStandin): void {
    const { socket } = request
    if (socket.destroyed) return
    socket.write(`${formatResponseHead(request, upstream)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
    for (let id = 1; id <= EVENTS; id++) {
      const event = formatServerSentEvent(id)
      this._later((id - 1) * EVENT_MILLISECONDS, () => socket.write(`${event.length.toString(16)}\r\n${event}\r\n${id === EVENTS ? '0\r\n\r\n' : ''}`))
    }
  }

  private _later (milliseconds: number, action: () => void): void {
    const timer = setTimeout(() => {
      this._timers.delete(timer)
      action()
    }, milliseconds)
    this._timers.add(timer)
  }
}

function partsOf (request: ReceivedRequest): string[] {
  return (request.headers.get('plumstage-prompt-prefix') ?? '').split(',').map(entry => entry.split(':')[0])
}
