/**
 * Identities of processes and requests.
 *
 * @module
 */
import { randomBytes } from 'node:crypto'

const INCARNATION_BYTES = 6

/** Returns a new identity of one run of a process, never used by another run. */
export function createProcessIncarnation (): string {
  return randomBytes(INCARNATION_BYTES).toString('hex')
}

/** Hands out identities that are never used twice, by this or by another process. */
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
