/**
 * Ids of processes and requests.
 *
 * @module
 */
import { randomBytes } from 'node:crypto'

const INCARNATION_BYTES = 6

/** Returns the unique id of one incarnation of a process. */
export function createProcessIncarnation (): string {
  return randomBytes(INCARNATION_BYTES).toString('hex')
}

/** Generates ids that are unique across processes and incarnations. */
export class IdGenerator {
  private readonly _prefix: string
  private _next = 1

  private constructor (prefix: string) {
    this._prefix = prefix
  }

  static create (kind: string, incarnation: string): IdGenerator {
    return new IdGenerator(`${kind}-${incarnation}-`)
  }

  next (): string {
    return this._prefix + (this._next++).toString(36)
  }
}
