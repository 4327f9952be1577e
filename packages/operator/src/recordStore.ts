/**
 * The records of one deployment in the key-value service.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { CallContext } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { KeySpace, ConditionalWriter } from '@plumstage/coordination'
import type { KeyValueLease, KeyValueService, KeyValueSnapshot } from '@plumstage/coordination'
import type { RecordKind } from '@plumstage/records'
import type { PlannedChange } from './changePlan.js'
import { ConflictError, OutcomeUnknownError, ServiceFailedError, UsageError } from './operatorErrors.js'

const READ_TIMEOUT_MILLISECONDS = 5000
const WRITE_TIMEOUT_MILLISECONDS = 30_000
const WRITE_TOKEN_LEASE_SECONDS = 3600
const MAXIMUM_CHANGES_PER_WRITE = 120

/** Reads and writes records. */
export class RecordStore {
  private readonly _service: KeyValueService
  private readonly _keySpace: KeySpace
  private readonly _clock: Clock

  private constructor (service: KeyValueService, keySpace: KeySpace, clock: Clock) {
    this._service = service
    this._keySpace = keySpace
    this._clock = clock
  }

  static create (service: KeyValueService, deployment: string, clock: Clock): RecordStore {
    return new RecordStore(service, KeySpace.create(deployment), clock)
  }

  keyOf (kind: RecordKind, name: string): string {
    return this._keySpace.recordKey(kind, name)
  }

  /** Returns `Kind/name` of a key. */
  labelOf (key: string): string {
    return key.slice(this._keySpace.recordsPrefix.length)
  }

  async read (): Promise<Result<KeyValueSnapshot, Error>> {
    const context = CallContext.create(this._clock, this._clock.now() + READ_TIMEOUT_MILLISECONDS)
    const snapshot = await this._service.list(context, this._keySpace.recordsPrefix)
    context.finish()
    return snapshot.mapErr(error => new ServiceFailedError(`The records can't be read. ${error.message}`))
  }

  /**
   * Writes all changes or none.
   *
   * @returns the revision at which they were accepted.
   */
  async write (changes: readonly PlannedChange[]): Promise<Result<number, Error>> {
    if (changes.length > MAXIMUM_CHANGES_PER_WRITE) return err(new UsageError(`${changes.length} records would change, and one apply takes at most ${MAXIMUM_CHANGES_PER_WRITE}. Apply the files in several parts.`))
    const context = CallContext.create(this._clock, this._clock.now() + WRITE_TIMEOUT_MILLISECONDS)
    try {
      const lease = await this._service.grantLease(context, WRITE_TOKEN_LEASE_SECONDS)
      if (lease.isErr()) return err(new ServiceFailedError(`Nothing was changed. ${lease.error.message}`))
      return await this._writeWithToken(context, changes, lease.value)
    } finally {
      context.finish()
    }
  }

  private async _writeWithToken (context: CallContext, changes: readonly PlannedChange[], tokenLease: KeyValueLease): Promise<Result<number, Error>> {
    const written = await ConditionalWriter.create(this._service, this._clock).write(context, {
      tokenKey: this._keySpace.writeTokenKey(randomUUID()),
      tokenLease,
      conditions: changes.map(change => ({ kind: 'mod-revision', key: change.key, revision: change.revision })),
      operations: changes.map(change => ({ kind: 'put', key: change.key, value: change.value }))
    })
    if (written.isErr()) return err(new OutcomeUnknownError(`${written.error.message} Run \`plumstage diff\` to see whether the change took effect.`))
    switch (written.value.kind) {
      case 'applied': return ok(written.value.revision)
      case 'conflict': return err(new ConflictError('Nothing was changed: another operator has changed some of these records at the same time. Run `plumstage diff`, then apply again.'))
      case 'not-applied': return err(new ServiceFailedError(`Nothing was changed. ${written.value.cause.message}`))
    }
  }
}
