/**
 * Keys of one deployment in the key-value service.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { RecordKind } from '@plumstage/records'

/** Builds the keys of one deployment. */
export class KeySpace {
  private readonly _root: string

  private constructor (deployment: string) {
    this._root = `/plumstage/${deployment}/`
  }

  static create (deployment: string): KeySpace {
    return new KeySpace(deployment)
  }

  get recordsPrefix (): string {
    return `${this._root}records/`
  }

  recordKey (kind: RecordKind, name: string): string {
    return `${this.recordsPrefix}${kind}/${name}`
  }

  writeTokenKey (token: string): string {
    return `${this._root}writes/${token}`
  }

  claimKey (workspace: string, idempotencyKey: string): string {
    const digest = createHash('sha256').update(idempotencyKey).digest('hex')
    return `${this._root}claims/${workspace}/${digest}`
  }

  dutyKey (duty: string): string {
    return `${this._root}duties/${duty}`
  }
}
