/**
 * Ends connections by a reset. An ordinary close leaves the bytes that were written with the system, which goes on sending them
 * for as long as it takes: after a partition, what was given up long before still arrives. A reset discards them.
 *
 * @module
 */
import type { Socket } from 'node:net'

/** Resets a connection. What was written and has not left this instance is never sent. */
export function resetConnection (socket: Socket): void {
  if (socket.destroyed) return
  // Nothing was sent yet.
  if (socket.connecting) socket.destroy()
  else if (isSendingEnd(socket)) socket.once('finish', () => socket.resetAndDestroy())
  else socket.resetAndDestroy()
}

/** Replaces the close of one connection by a reset. */
class ResetOnDestroy {
  private readonly _socket: Socket
  private readonly _onReset: () => void
  private readonly _destroy: Socket['destroy']
  /** Whether something was written and nothing was read since, so that it may not have arrived. */
  private _isUnanswered = false
  private _isResetting = false
  private _error: Error | undefined

  private constructor (socket: Socket, onReset: () => void) {
    this._socket = socket
    this._onReset = onReset
    this._destroy = socket.destroy.bind(socket)
  }

  static attach (socket: Socket, onReset: () => void): void {
    const reset = new ResetOnDestroy(socket, onReset)
    reset._observe(socket)
    socket.destroy = error => reset._receiveDestroy(error)
  }

  private _observe (socket: Socket): void {
    const write = socket.write.bind(socket) as (...parameters: unknown[]) => boolean
    const push = socket.push.bind(socket)
    socket.write = (...parameters: unknown[]) => {
      this._isUnanswered = true
      return write(...parameters)
    }
    socket.push = (chunk, encoding) => {
      if (chunk !== null) this._isUnanswered = false
      return push(chunk, encoding)
    }
  }

  /** The reset destroys the socket itself, without the error. */
  private _receiveDestroy (error?: Error): Socket {
    if (this._isResetting || this._isSettled) return this._destroy(this._error ?? error)
    this._isResetting = true
    this._error = error
    if (this._isUnanswered) this._onReset()
    resetConnection(this._socket)
    return this._socket
  }

  /** Whether nothing can be left to be sent: nothing was sent yet, both sides have ended in order, or the connection has failed. */
  private get _isSettled (): boolean {
    const { connecting, destroyed, errored, readableEnded, writableFinished } = this._socket
    return connecting || destroyed || errored !== null || (readableEnded && writableFinished)
  }
}

/**
 * Makes whoever destroys a connection reset it, unless both sides have ended it in order. `onReset` is called if what was
 * written last may not have arrived.
 */
export function resetWhenDestroyed (socket: Socket, onReset: () => void): void {
  ResetOnDestroy.attach(socket, onReset)
}

/** Whether the end of a connection is being handed to the system, which can't reset it meanwhile. */
function isSendingEnd ({ writableEnded, writableFinished, writableLength }: Socket): boolean {
  return writableEnded && !writableFinished && writableLength === 0
}
