/**
 * One direction of a link: passes bytes on, or holds them back and passes them on later.
 *
 * @module
 */
import { Transform } from 'node:stream'
import type { TransformCallback } from 'node:stream'

/** About what the buffers of two sockets hold. */
const HELD_BYTES = 256 * 1024

/** Passes on what is written while it is open; the end of the bytes is held back like the bytes. */
export class LinkGate extends Transform {
  private _isOpen: boolean
  private _passOn: (() => void) | undefined

  private constructor (isOpen: boolean) {
    super({ writableHighWaterMark: HELD_BYTES })
    this._isOpen = isOpen
  }

  static create (isOpen: boolean): LinkGate {
    return new LinkGate(isOpen)
  }

  setOpen (isOpen: boolean): void {
    this._isOpen = isOpen
    if (!isOpen) return
    const passOn = this._passOn
    this._passOn = undefined
    passOn?.()
  }

  override _transform (chunk: Buffer, _encoding: BufferEncoding, callback: TransformCallback): void {
    this._whenOpen(() => callback(null, chunk))
  }

  override _flush (callback: TransformCallback): void {
    this._whenOpen(() => callback())
  }

  private _whenOpen (passOn: () => void): void {
    if (this._isOpen) return passOn()
    this._passOn = passOn
  }
}
