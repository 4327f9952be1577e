/**
 * One tunnel: carries bytes between a gateway and an upstream, without looking at them. An end follows the bytes before
 * it as an end, a reset becomes a reset, and a connection that is closed closes the other one.
 *
 * @module
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { resetConnection, splitAddress } from '@plumstage/common'
import type { Clock, Timer } from '@plumstage/common'
import { ByteForwarder } from './byteForwarder.js'
import { FramedSink } from './framedSink.js'
import { PlainSink } from './plainSink.js'
import type { TunnelRefusal } from './relayProtocol.js'

const CONNECT_TIMEOUT_MILLISECONDS = 300
/** A gateway that has ended its connection no longer waits for the upstream, which is given this long to end its own. */
const HALF_CLOSED_TIMEOUT_MILLISECONDS = 2000
const KEEP_ALIVE_DELAY_MILLISECONDS = 10_000
const NOTHING = Buffer.alloc(0)

/** The connections that a tunnel joins, and its callbacks. */
export interface RelayTunnelOptions {
  /** Connection from the gateway. */
  gateway: Socket
  /** IP address of the gateway. */
  gatewayHost: string
  upstreamId: string
  upstreamAddress: string
  clock: Clock
  onBytesToUpstream: (count: number) => void
  onBytesToGateway: (count: number) => void
  /** Called once, when both connections are closed. */
  onClosed: () => void
}

/** In the phase `closing` it is decided how each connection ends, so that the end of one no longer closes the other. */
type TunnelPhase = 'opening' | 'open' | 'closing'

/** A tunnel that is being opened or is open. */
export class RelayTunnel {
  readonly gatewayHost: string
  readonly upstreamId: string
  private readonly _options: RelayTunnelOptions
  private readonly _gateway: Socket
  private readonly _upstream: Socket
  private _openConnections = 2
  private _phase: TunnelPhase = 'opening'
  private _halfClosedTimer: Timer | undefined

  private constructor (options: RelayTunnelOptions) {
    this._options = options
    this.gatewayHost = options.gatewayHost
    this.upstreamId = options.upstreamId
    this._gateway = options.gateway
    this._gateway.setTimeout(0)
    this._gateway.setNoDelay(true)
    this._gateway.setKeepAlive(true, KEEP_ALIVE_DELAY_MILLISECONDS)
    this._upstream = connect({ ...splitAddress(options.upstreamAddress), allowHalfOpen: true, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MILLISECONDS })
    this._gateway.once('close', () => { if (this._phase === 'opening') this._upstream.destroy() })
    this._closeTogether(this._gateway, this._upstream)
    this._closeTogether(this._upstream, this._gateway)
  }

  /** Starts to connect to the upstream. */
  static create (options: RelayTunnelOptions): RelayTunnel {
    return new RelayTunnel(options)
  }

  /** Bytes that were received on one connection and not yet written to the other. */
  get bufferedBytes (): number {
    return [this._gateway, this._upstream].reduce((sum, socket) => sum + socket.readableLength + socket.writableLength, 0)
  }

  /** Resolves when the upstream has accepted the connection, or with the reason why it has not. */
  async waitForUpstream (): Promise<Result<void, TunnelRefusal>> {
    const { clock } = this._options
    return await new Promise(resolve => {
      const timer = clock.schedule(clock.now() + CONNECT_TIMEOUT_MILLISECONDS, () => finish(err('upstream-timeout')))
      const finish = (outcome: Result<void, TunnelRefusal>): void => {
        timer.cancel()
        resolve(outcome)
      }
      this._upstream.once('connect', () => finish(ok(undefined)))
      this._upstream.once('close', () => finish(err('upstream-refused')))
    })
  }

  /** Closes the connection to the upstream and leaves the one from the gateway open, so that the request can be answered. */
  abandonUpstream (): void {
    this._phase = 'closing'
    this._upstream.destroy()
  }

  /** Begins to carry bytes; `head` are those that came with the gateway's request. */
  join (head: Buffer): void {
    const { onBytesToUpstream, onBytesToGateway } = this._options
    this._phase = 'open'
    ByteForwarder.create(this._gateway, PlainSink.create(this._upstream), {
      onBytes: onBytesToUpstream,
      onEnd: () => this._limitHalfClosed(),
      onReset: () => this._resetUpstream()
    }).start(head)
    ByteForwarder.create(this._upstream, FramedSink.create(this._gateway), {
      onBytes: onBytesToGateway,
      onEnd: () => {},
      onReset: () => this._resetGateway()
    }).start(NOTHING)
  }

  /** Closes both connections immediately. What the upstream has not received was given up, and is not sent any more. */
  close (): void {
    this._gateway.destroy()
    resetConnection(this._upstream)
  }

  private _resetUpstream (): void {
    this._phase = 'closing'
    this._gateway.destroy()
    resetConnection(this._upstream)
  }

  /** Resets the connection to the gateway behind the bytes that came before the reset; an end that came before it stays one. */
  private _resetGateway (): void {
    if (this._phase === 'closing') return
    this._phase = 'closing'
    this._upstream.destroy()
    if (this._gateway.writableEnded) return this._gateway.destroySoon()
    if (this._gateway.writableLength === 0) return void this._gateway.resetAndDestroy()
    this._gateway.write(NOTHING, () => this._gateway.resetAndDestroy())
  }

  private _limitHalfClosed (): void {
    const { clock } = this._options
    this._halfClosedTimer = clock.schedule(clock.now() + HALF_CLOSED_TIMEOUT_MILLISECONDS, () => this.close())
  }

  private _closeTogether (socket: Socket, other: Socket): void {
    socket.on('error', () => {})
    socket.on('close', () => {
      const hasEnded = socket.readableEnded && socket.writableFinished
      if (!hasEnded && this._phase === 'open') resetConnection(other)
      this._openConnections--
      if (this._openConnections > 0) return
      this._halfClosedTimer?.cancel()
      this._options.onClosed()
    })
  }
}
