/**
 * Bounds the memory of responses that are held until they, or an event of theirs, are complete: of all requests together, because
 * each of many responses without an end would stay within a bound of its own.
 *
 * @module
 */

/** Of all responses of a gateway together. */
const MAXIMUM_HELD_BYTES = 32 * 1024 * 1024
/** Any response may hold as much, whatever others hold; events and most responses are shorter. */
const ORDINARY_BYTES = 16 * 1024

/** The memory that the responses of one gateway hold. */
export class ResponseMemory {
  private readonly _maximumBytes: number
  private _heldBytes = 0

  private constructor (maximumBytes: number) {
    this._maximumBytes = maximumBytes
  }

  static create (maximumBytes = MAXIMUM_HELD_BYTES): ResponseMemory {
    return new ResponseMemory(maximumBytes)
  }

  /** Bytes that are held now. */
  get heldBytes (): number {
    return this._heldBytes
  }

  /** Creates the share of one response. */
  createShare (): ResponseShare {
    return ResponseShare.create(bytes => this._take(bytes))
  }

  private _take (bytes: number): boolean {
    this._heldBytes += bytes
    return this._heldBytes <= this._maximumBytes
  }
}

/** The memory that one response holds. */
export class ResponseShare {
  private readonly _take: (bytes: number) => boolean
  private _bytes = 0

  private constructor (take: (bytes: number) => boolean) {
    this._take = take
  }

  /** `take` adds bytes to those that are held, or removes them if it gets a negative number, and returns whether there is room for all. */
  static create (take: (bytes: number) => boolean): ResponseShare {
    return new ResponseShare(take)
  }

  /** Records how many bytes the response holds now; returns whether it may go on to hold them. */
  hold (bytes: number): boolean {
    const hasRoom = this._take(bytes - this._bytes)
    this._bytes = bytes
    return hasRoom || bytes <= ORDINARY_BYTES
  }

  /** Records that the response holds nothing any more. */
  release (): void {
    this.hold(0)
  }
}
