/**
 * One connection of a gateway to an upstream through a proxy.
 *
 * @module
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { LinkGate } from './linkGate.js'

/**
 * Passes bytes, ends and resets on in both directions. While the link is silent nothing is passed on, and the upstream is
 * not connected to: bytes and ends are held back, and a reset discards the bytes that were held back behind it.
 */
export class ProxiedConnection {
  private readonly _near: Socket
  private readonly _upstreamAddress: string
  private readonly _onClosed: (connection: ProxiedConnection) => void
  private readonly _toUpstream: LinkGate
  private readonly _toGateway: LinkGate
  private _far: Socket | undefined
  private _isSilent: boolean
  private _isBroken = false

  private constructor (near: Socket, upstreamAddress: string, isSilent: boolean, onClosed: (connection: ProxiedConnection) => void) {
    this._near = near
    this._upstreamAddress = upstreamAddress
    this._isSilent = isSilent
    this._onClosed = onClosed
    this._toUpstream = LinkGate.create(!isSilent)
    this._toGateway = LinkGate.create(!isSilent)
    this._attach(near, this._toUpstream, this._toGateway)
  }

  /** Takes a connection of a gateway over, whose socket allows half-open connections. */
  static create (near: Socket, upstreamAddress: string, isSilent: boolean, onClosed: (connection: ProxiedConnection) => void): ProxiedConnection {
    const connection = new ProxiedConnection(near, upstreamAddress, isSilent, onClosed)
    if (!isSilent) connection._connect()
    return connection
  }

  setSilent (isSilent: boolean): void {
    this._isSilent = isSilent
    if (!isSilent && this._isBroken) return this.reset()
    if (!isSilent && !this._far) this._connect()
    this._toUpstream.setOpen(!isSilent)
    this._toGateway.setOpen(!isSilent)
  }

  /** Resets the connection on both sides. */
  reset (): void {
    resetSocket(this._near)
    if (this._far) resetSocket(this._far)
  }

  private _connect (): void {
    const [host, port] = this._upstreamAddress.split(':')
    this._far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    this._attach(this._far, this._toGateway, this._toUpstream)
  }

  private _attach (socket: Socket, received: LinkGate, sent: LinkGate): void {
    socket.on('error', () => this._break())
    socket.once('close', () => this._noticeClose())
    socket.pipe(received)
    sent.pipe(socket)
  }

  /** One side was reset: the other one learns it as soon as the link isn't silent. */
  private _break (): void {
    this._isBroken = true
    if (!this._isSilent) this.reset()
  }

  private _noticeClose (): void {
    if (this._near.destroyed && (this._far?.destroyed ?? true)) this._onClosed(this)
  }
}

/** A socket whose end was sent can't send a reset any more; the system answers what it still receives with one. */
function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
