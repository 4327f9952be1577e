/**
 * The gateway's end of a tunnel: a stream that is read and written like a connection to the upstream itself. It ends only
 * if the upstream has ended its connection; when the tunnel is lost, it fails as if it had been reset.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import { FrameDecoder } from './tunnelFrames.js'

const BUFFER_BYTES = 65_536
const RESET_CODE = 'ECONNRESET'

type WriteCallback = (error?: Error | null) => void

/** A connection to an upstream through a peer. */
export class TunnelConnection extends Duplex {
  private readonly _socket: Socket
  private readonly _decoder = FrameDecoder.create()

  private constructor (socket: Socket) {
    super({ readableHighWaterMark: BUFFER_BYTES })
    this._socket = socket
  }

  /** Creates the end of a tunnel on the connection to a peer; `head` was already read from it. */
  static create (socket: Socket, head: Buffer): TunnelConnection {
    const connection = new TunnelConnection(socket)
    socket.on('error', error => connection._fail(error))
    socket.on('end', () => connection._fail(createResetError()))
    socket.on('close', () => connection._fail(createResetError()))
    socket.on('data', piece => connection._receive(piece))
    socket.pause()
    if (head.length > 0) connection._receive(head)
    return connection
  }

  override _read (): void {
    this._socket.resume()
  }

  override _write (bytes: Buffer, _encoding: BufferEncoding, callback: WriteCallback): void {
    this._socket.write(bytes, callback)
  }

  override _writev (writes: { chunk: Buffer }[], callback: WriteCallback): void {
    this._socket.write(Buffer.concat(writes.map(({ chunk }) => chunk)), callback)
  }

  override _final (callback: WriteCallback): void {
    this._socket.end(callback)
  }

  override _destroy (error: Error | null, callback: WriteCallback): void {
    this._socket.destroy()
    callback(error)
  }

  private _receive (piece: Buffer): void {
    if (this._decoder.hasEnded) return
    for (const bytes of this._decoder.decode(piece)) if (!this.push(bytes)) this._socket.pause()
    if (this._decoder.hasEnded) this.push(null)
  }

  /** Destroys the stream unless all bytes of the upstream have arrived, which may still be read then. */
  private _fail (error: Error): void {
    if (!this._decoder.hasEnded) this.destroy(error)
  }
}

function createResetError (): Error {
  return Object.assign(new Error('The tunnel was lost.'), { code: RESET_CODE })
}
