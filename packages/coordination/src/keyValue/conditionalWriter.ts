/**
 * Writes whose outcome is known in the end, also when the answer to the write was lost.
 *
 * Each write carries a token key. When no answer comes back, a second transaction tries to create the token key as
 * abandoned: if that succeeds, the write has not taken effect and no longer can; if the key exists, it says what
 * became of the write.
 *
 * @module
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CallContext, Clock } from '@plumstage/common'
import { KeyValueError } from './keyValueService.js'
import type { KeyValueCondition, KeyValueLease, KeyValueOperation, KeyValueService, KeyValueTransactionOutcome } from './keyValueService.js'

const RESOLVE_RETRY_MILLISECONDS = 200
const TOKEN_APPLIED = 'applied'
const TOKEN_ABANDONED = 'abandoned'

/** What became of a write. */
export type WriteOutcome =
  | { kind: 'applied', revision: number }
  /** A condition did not hold; nothing was written. */
  | { kind: 'conflict' }
  /** Nothing was written and nothing will be. */
  | { kind: 'not-applied', cause: KeyValueError }

/** A write with its conditions. */
export interface ConditionalWrite {
  /** Key that no other write uses. */
  tokenKey: string
  tokenLease?: KeyValueLease
  conditions: KeyValueCondition[]
  operations: KeyValueOperation[]
}

/** Carries out writes and settles those whose answer was lost. */
export class ConditionalWriter {
  private readonly _service: KeyValueService
  private readonly _clock: Clock

  private constructor (service: KeyValueService, clock: Clock) {
    this._service = service
    this._clock = clock
  }

  static create (service: KeyValueService, clock: Clock): ConditionalWriter {
    return new ConditionalWriter(service, clock)
  }

  /**
   * Carries out a write.
   *
   * @returns the outcome, or an `ambiguous` error when it could not be settled before the context's deadline.
   */
  async write (context: CallContext, write: ConditionalWrite): Promise<Result<WriteOutcome, KeyValueError>> {
    const result = await this._service.transact(context, {
      conditions: [{ kind: 'create-revision', key: write.tokenKey, revision: 0 }, ...write.conditions],
      onSuccess: [...write.operations, this._putToken(write, TOKEN_APPLIED)],
      onFailure: [{ kind: 'get', key: write.tokenKey }]
    })
    if (result.isOk()) return ok(readOutcome(result.value))
    if (result.error.kind === 'ambiguous') return await this._resolveOutcome(context, write, result.error)
    return ok({ kind: 'not-applied', cause: result.error })
  }

  private async _resolveOutcome (context: CallContext, write: ConditionalWrite, cause: KeyValueError): Promise<Result<WriteOutcome, KeyValueError>> {
    while (!context.cancelled) {
      const result = await this._service.transact(context, {
        conditions: [{ kind: 'create-revision', key: write.tokenKey, revision: 0 }],
        onSuccess: [this._putToken(write, TOKEN_ABANDONED)],
        onFailure: [{ kind: 'get', key: write.tokenKey }]
      })
      if (result.isOk()) return ok(result.value.succeeded ? { kind: 'not-applied', cause } : readResolvedOutcome(result.value, cause))
      await context.sleepUntil(this._clock.now() + RESOLVE_RETRY_MILLISECONDS)
    }
    return err(KeyValueError.create('ambiguous', `It is not known whether the write ${write.tokenKey} took effect, because the key-value service did not answer in time. Ask again once it does.`))
  }

  private _putToken (write: ConditionalWrite, value: string): KeyValueOperation {
    return { kind: 'put', key: write.tokenKey, value, lease: write.tokenLease?.id }
  }
}

function readOutcome (outcome: KeyValueTransactionOutcome): WriteOutcome {
  if (outcome.succeeded) return { kind: 'applied', revision: outcome.revision }
  const token = outcome.entries[0]
  return token?.value === TOKEN_APPLIED ? { kind: 'applied', revision: token.modRevision } : { kind: 'conflict' }
}

function readResolvedOutcome (outcome: KeyValueTransactionOutcome, cause: KeyValueError): WriteOutcome {
  const token = outcome.entries[0]
  return token?.value === TOKEN_APPLIED ? { kind: 'applied', revision: token.modRevision } : { kind: 'not-applied', cause }
}
