/**
 * The HTTP server that receives callers' requests: reads them, admits them and starts their processing.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Timestamp } from '@plumstage/common'
import { isResumed } from '../attempts/acceptedRequest.js'
import { RequestTask } from '../attempts/requestTask.js'
import type { RequestServices } from '../attempts/requestTask.js'
import { describeBasis } from '../deployment/decisionBasis.js'
import type { RequestKind } from '../stopping/requestDurations.js'
import { afterNextPoll } from './afterNextPoll.js'
import { ArrivalClock } from './arrivalClock.js'
import { readBody } from './bodyReader.js'
import { CallerConnections } from './callerConnections.js'
import type { CallerConnection } from './callerConnections.js'
import { HttpCallerExchange } from './callerExchange.js'
import type { CallerExchange } from './callerExchange.js'
import type { CallerHead, CallerProtocol } from './callerProtocol.js'
import { IncompleteRequest } from './incompleteRequest.js'
import { createExpiredRejection, createRejection, createStopRejection } from './rejection.js'
import type { PauseMonitor } from './pauseMonitor.js'
import type { Rejection } from './rejection.js'
import type { Admission, RequestAdmission } from './requestAdmission.js'

/** Node itself rejects larger heads. The configured limit is below this. */
const MAXIMUM_HEAD_BYTES = 64 * 1024
const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 5000
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000
const TIMEOUT_CHECK_MILLISECONDS = 500
const DIGEST_LENGTH = 24

/** What the server asks about a shutdown of the gateway. */
export interface StopState {
  /** Whether to close connections after their next response. */
  readonly isStopping: boolean
  /** Whether a request that is complete now is refused, since it can't be served before the process ends. */
  refuses: (kind: RequestKind, deadline: Timestamp) => boolean
}

/** Dependencies of the server. */
export interface CallerServerOptions {
  services: RequestServices
  admission: RequestAdmission
  protocol: CallerProtocol
  pauses: PauseMonitor
  stop: StopState
}

/** The HTTP server for callers. */
export class CallerServer {
  readonly server: Server
  private readonly _options: CallerServerOptions
  private readonly _connections: CallerConnections
  private readonly _arrivals: ArrivalClock
  private readonly _incomplete = new Set<IncompleteRequest>()

  private constructor (options: CallerServerOptions) {
    this._options = options
    this._arrivals = ArrivalClock.create(options.services.clock)
    this.server = createServer({ maxHeaderSize: MAXIMUM_HEAD_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS, requestTimeout: 0 }, (incoming, response) => this._serve(incoming, response))
    this._connections = CallerConnections.create(this.server)
    // Node's own method also closes connections whose last response is not completely written; `close` calls this one, too.
    this.server.closeIdleConnections = () => this._connections.closeIdle()
    this._applyLimits()
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  /** Applies the configuration that has come into force, also to requests whose bodies are still arriving. */
  applyConfiguration (): void {
    this._applyLimits()
    const { tasks } = this._options.services
    for (const request of this._incomplete) tasks.guard('callers', () => request.reconsider())
  }

  private _applyLimits (): void {
    const limits = this._options.services.state.view.configuration?.callerLimits
    this.server.headersTimeout = limits?.headerTimeoutMilliseconds ?? DEFAULT_HEADER_TIMEOUT_MILLISECONDS
    this.server.keepAliveTimeout = limits?.idleTimeoutMilliseconds ?? DEFAULT_IDLE_TIMEOUT_MILLISECONDS
  }

  /** Number of requests that are read, at least in part, and whose responses are not completely written. */
  get openResponses (): number {
    return this._connections.openResponses
  }

  /** Refuses the requests whose bodies have not arrived, because the gateway shuts down. */
  refuseUnread (): void {
    for (const request of this._incomplete) request.reject(createStopRejection())
  }

  private _serve (incoming: IncomingMessage, response: ServerResponse): void {
    const { protocol, stop } = this._options
    const connection = this._connections.connectionOf(response)
    if (connection.isClosing) return
    connection.open(response)
    const exchange = HttpCallerExchange.create(response, protocol, connection, () => stop.isStopping)
    const acceptedAt = this._arrivals.now()
    connection.process(response, () => {
      if (!connection.isClosing) this._guard(exchange, () => this._receive(incoming, response, exchange, acceptedAt))
    })
    if (connection.hasWaiting && this._connections.isOverfull) this._dropFlood(connection)
  }

  /** Closes a connection whose requests have no room to wait any more, before they end the process and with it all others. */
  private _dropFlood (connection: CallerConnection): void {
    this._options.services.instrumentation.emit('connection-dropped', { reason: 'too many requests were sent without waiting for responses', openResponses: connection.openResponses })
    connection.destroy()
  }

  /** Answers a request whose processing fails; it is not known whether it was executed. */
  private _guard (exchange: CallerExchange, action: () => void): void {
    if (this._options.services.tasks.guard('callers', action)) return
    exchange.reject(createRejection('internal-error', 'The gateway failed while it processed the request. Check its effect before sending it again, and report this to the operator.'))
  }

  private _receive (incoming: IncomingMessage, response: ServerResponse, exchange: CallerExchange, acceptedAt: Timestamp): void {
    const { protocol, services, admission, pauses } = this._options
    const head = protocol.readHead(incoming)
    if (head.isErr()) return this._reject(exchange, head.error, incoming)
    const admitted = admission.admit(head.value, acceptedAt, services.clock.now())
    if (admitted.isErr()) return this._reject(exchange, admitted.error, incoming, head.value)
    const reject = (rejection: Rejection): void => this._reject(exchange, rejection, incoming, head.value)
    const request = IncompleteRequest.create({ head: head.value, acceptedAt, admitted: admitted.value, admission, clock: services.clock, reject })
    const endReading = (): void => {
      request.end()
      this._incomplete.delete(request)
    }
    this._incomplete.add(request)
    response.once('close', endReading)
    const maximumBytes = services.state.view.configuration?.callerLimits?.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES
    readBody(incoming, maximumBytes, body => {
      endReading()
      if (exchange.started) return
      if (body.isErr()) return reject(body.error)
      const { value } = body
      const accept = (): void => this._guard(exchange, () => this._accept(exchange, incoming, head.value, request.admitted, value, acceptedAt))
      if (pauses.isCatchingUp) afterNextPoll(accept)
      else accept()
    })
  }

  private _accept (exchange: CallerExchange, incoming: IncomingMessage, head: CallerHead, admitted: Admission, body: Buffer, acceptedAt: number): void {
    const { services, admission } = this._options
    const now = services.clock.now()
    if (exchange.isDisconnected) return services.instrumentation.emit('request-abandoned', { target: head.target, route: admitted.route.name, workspace: admitted.workspace }, head.requestId)
    if (this._options.stop.refuses({ ...admitted, isResumed: isResumed(head) }, admitted.deadline)) return this._reject(exchange, createStopRejection(), incoming, head, admitted)
    if (admitted.deadline <= now) return this._reject(exchange, createExpiredRejection(), incoming, head, admitted)
    const digest = digestRequest(head, body)
    const allowed = admission.checkQuarantine(digest, now)
    if (allowed.isErr()) return this._reject(exchange, allowed.error, incoming, head, admitted)
    const charged = admission.chargeQuota(admitted, head, now)
    if (charged.isErr()) return this._reject(exchange, charged.error, incoming, head, admitted)
    RequestTask.create(services, { ...admitted, head, quotaUnits: charged.value, body, digest, acceptedAt }, exchange).run()
  }

  private _reject (exchange: CallerExchange, rejection: Rejection, incoming: IncomingMessage, head?: CallerHead, admission?: Admission): void {
    const { services } = this._options
    if (exchange.started) return
    const { configurationRevision } = services.state.view
    const basis = admission?.basis ?? services.state.decisionBasis(services.clock.now())
    const { kind: reason, status, message, retryAfterMilliseconds, quota } = rejection
    const origin = { target: head?.target ?? incoming.url, route: admission?.route.name, workspace: admission?.workspace }
    const usage = { quotaUnits: quota?.units, quotaUnitsPerSecond: quota?.unitsPerSecond, quotaBurstUnits: quota?.burstUnits }
    services.instrumentation.emit('request-rejected', { reason, status, message, retryAfterMilliseconds, ...origin, ...usage, configurationRevision, ...describeBasis(basis) }, head?.requestId)
    exchange.reject(rejection)
  }
}

/** Returns a digest that is the same for the same request of the same caller, at every gateway. */
function digestRequest (head: CallerHead, body: Buffer): string {
  return createHash('sha1').update(`${head.method} ${head.host} ${head.target} ${head.token ?? ''}\n`).update(body).digest('hex').slice(0, DIGEST_LENGTH)
}
