/**
 * Creates and completes claims in the key-value service, so that only one gateway dispatches a given non-idempotent request.
 *
 * @module
 */
import { CallContext } from '@plumstage/common'
import type { Clock, IdGenerator, Instrumentation, Timestamp } from '@plumstage/common'
import type { KeySpace, KeyValueLease, KeyValueService } from '@plumstage/coordination'
import { CallerError } from '../callers/callerError.js'
import { decideOnClaim } from './claimPolicy.js'
import { completeClaim, formatClaim, parseClaim } from './claimRecord.js'
import type { ClaimRecord, StoredResponse } from './claimRecord.js'

const ACQUIRE_TIMEOUT_MILLISECONDS = 1000
const RETENTION_SECONDS = 25 * 3600
const LEASE_USE_MILLISECONDS = 3600 * 1000
const INITIAL_RETRY_DELAY_MILLISECONDS = 100
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 5000
const SETTLE_TIMEOUT_MILLISECONDS = 15 * 60_000
const UNAVAILABLE_RETRY_AFTER_SECONDS = 5
/** Number of times that one acquisition tries to replace a released claim. */
const MAXIMUM_REPLACEMENTS = 3

/** A request that needs a claim. */
export interface ClaimRequest {
  requestId: string
  workspace: string
  idempotencyKey: string
  requestDigest: string
  dispatchDeadline: Timestamp
  answerDeadline: Timestamp
}

/** A claim that this gateway holds. */
export interface HeldClaim {
  key: string
  record: ClaimRecord
  lease: bigint
  modRevision: number
}

/** Result of acquiring a claim. */
export type ClaimAcquisition =
  | { kind: 'granted', claim: HeldClaim }
  | { kind: 'replay', response: StoredResponse }
  | { kind: 'refused', error: CallerError }

/** Acquires claims and records their outcomes. */
export interface ClaimRegistry {
  acquire (request: ClaimRequest): Promise<ClaimAcquisition>
  /** Marks a claimed request as complete and stores its response, if there is one, in the background. */
  complete (claim: HeldClaim, response: StoredResponse | undefined): void
  /** Records that the outcome of a claimed request is unknown, in the background. */
  markUnknown (claim: HeldClaim): void
  /** Releases a claim whose request was not executed, in the background. */
  release (claim: HeldClaim): void
  /** Resolves when all background writes have finished. */
  flush (): Promise<void>
}

/** Stores each claim under its own key, by compare-and-swap. */
export class KeyValueClaimRegistry implements ClaimRegistry {
  private readonly _service: KeyValueService
  private readonly _keySpace: KeySpace
  private readonly _clock: Clock
  private readonly _holder: string
  private readonly _tokens: IdGenerator
  private readonly _instrumentation: Instrumentation
  private readonly _background = new Set<Promise<void>>()
  private _lease: { lease: KeyValueLease, useUntil: Timestamp } | undefined

  private constructor (service: KeyValueService, keySpace: KeySpace, clock: Clock, holder: string, tokens: IdGenerator, instrumentation: Instrumentation) {
    this._service = service
    this._keySpace = keySpace
    this._clock = clock
    this._holder = holder
    this._tokens = tokens
    this._instrumentation = instrumentation
  }

  static create (service: KeyValueService, keySpace: KeySpace, clock: Clock, holder: string, tokens: IdGenerator, instrumentation: Instrumentation): KeyValueClaimRegistry {
    return new KeyValueClaimRegistry(service, keySpace, clock, holder, tokens, instrumentation)
  }

  async acquire (request: ClaimRequest): Promise<ClaimAcquisition> {
    const context = CallContext.create(this._clock, Math.min(this._clock.now() + ACQUIRE_TIMEOUT_MILLISECONDS, request.dispatchDeadline))
    try {
      return await this._acquireWithin(context, request)
    } finally {
      context.finish()
    }
  }

  complete (claim: HeldClaim, response: StoredResponse | undefined): void {
    this._runInBackground(this._writeOutcome(claim, completeClaim(claim.record, response)))
  }

  markUnknown (claim: HeldClaim): void {
    this._runInBackground(this._writeOutcome(claim, { ...claim.record, state: 'unknown' }))
  }

  release (claim: HeldClaim): void {
    this._runInBackground(this._writeOutcome(claim, { ...claim.record, state: 'released' }))
  }

  async flush (): Promise<void> {
    while (this._background.size > 0) await Promise.all(this._background)
  }

  private async _acquireWithin (context: CallContext, request: ClaimRequest): Promise<ClaimAcquisition> {
    const lease = await this._obtainLease(context)
    if (lease === undefined) return refuseUnavailable()
    const key = this._keySpace.claimKey(request.workspace, request.idempotencyKey)
    let expectedRevision = 0
    for (let replacement = 0; replacement <= MAXIMUM_REPLACEMENTS; replacement++) {
      const record = this._createRecord(request)
      const result = await this._service.transact(context, {
        conditions: [{ kind: 'mod-revision', key, revision: expectedRevision }],
        onSuccess: [{ kind: 'put', key, value: formatClaim(record), lease }],
        onFailure: [{ kind: 'get', key }]
      })
      if (result.isErr()) {
        if (result.error.kind === 'ambiguous') this._runInBackground(this._withdraw(key, record, lease))
        return refuseUnavailable()
      }
      if (result.value.succeeded) return { kind: 'granted', claim: { key, record, lease, modRevision: result.value.revision } }
      const entry = result.value.entries[0]
      const decision = decideOnClaim(entry && parseClaim(entry.value), request.requestDigest, this._clock.now())
      if (decision.kind === 'replay') return decision
      if (decision.kind === 'refuse') return { kind: 'refused', error: decision.error }
      expectedRevision = entry?.modRevision ?? 0
    }
    return refuseUnavailable()
  }

  private _createRecord (request: ClaimRequest): ClaimRecord {
    return {
      token: this._tokens.next(),
      holder: this._holder,
      requestId: request.requestId,
      requestDigest: request.requestDigest,
      state: 'claimed',
      dispatchDeadline: request.dispatchDeadline,
      answerDeadline: request.answerDeadline
    }
  }

  /** Returns a lease that retains claims for at least a day. One lease is used for all claims made within an hour. */
  private async _obtainLease (context: CallContext): Promise<bigint | undefined> {
    if (this._lease && this._clock.now() < this._lease.useUntil) return this._lease.lease.id
    const granted = await this._service.grantLease(context, RETENTION_SECONDS)
    if (granted.isErr()) return undefined
    this._lease = { lease: granted.value, useUntil: this._clock.now() + LEASE_USE_MILLISECONDS }
    return granted.value.id
  }

  /** Writes the outcome of a claim, with retries. Ends without writing if the claim has changed since it was granted. */
  private async _writeOutcome (claim: HeldClaim, record: ClaimRecord): Promise<void> {
    await this._retryUntilDone(`claim-${record.state}`, record.requestId, async context => {
      const result = await this._service.transact(context, {
        conditions: [{ kind: 'mod-revision', key: claim.key, revision: claim.modRevision }],
        onSuccess: [{ kind: 'put', key: claim.key, value: formatClaim(record), lease: claim.lease }],
        onFailure: []
      })
      return result.isOk()
    })
  }

  /**
   * Settles a claim whose write got no response and whose caller was told that the request was not executed. Creates the
   * claim as released if it does not exist, and overwrites it as released if it is this claim or was released before. In
   * both cases the original write, should it arrive late, finds another revision and fails.
   */
  private async _withdraw (key: string, record: ClaimRecord, lease: bigint): Promise<void> {
    const released = formatClaim({ ...record, state: 'released' })
    await this._retryUntilDone('claim-withdrawn', record.requestId, async context => {
      const result = await this._service.transact(context, {
        conditions: [{ kind: 'create-revision', key, revision: 0 }],
        onSuccess: [{ kind: 'put', key, value: released, lease }],
        onFailure: [{ kind: 'get', key }]
      })
      if (result.isErr()) return false
      const entry = result.value.entries[0]
      const found = entry && parseClaim(entry.value)
      if (result.value.succeeded || !found || (found.token !== record.token && found.state !== 'released')) return true
      const release = await this._service.transact(context, {
        conditions: [{ kind: 'mod-revision', key, revision: entry.modRevision }],
        onSuccess: [{ kind: 'put', key, value: released, lease }],
        onFailure: []
      })
      return release.isOk()
    })
  }

  private async _retryUntilDone (event: string, requestId: string, action: (context: CallContext) => Promise<boolean>): Promise<void> {
    const context = CallContext.create(this._clock, this._clock.now() + SETTLE_TIMEOUT_MILLISECONDS)
    let delay = INITIAL_RETRY_DELAY_MILLISECONDS
    while (!context.cancelled) {
      if (await action(context)) {
        context.finish()
        return this._instrumentation.emit(event, undefined, requestId)
      }
      await context.sleepUntil(this._clock.now() + delay)
      delay = Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, delay * 2)
    }
    this._instrumentation.emit('claim-not-settled', undefined, requestId)
  }

  private _runInBackground (work: Promise<void>): void {
    this._background.add(work)
    void work.finally(() => this._background.delete(work))
  }
}

function refuseUnavailable (): ClaimAcquisition {
  return {
    kind: 'refused',
    error: CallerError.create('claims_unavailable', 'The gateway could not ensure that the request is executed at most once, because the key-value service did not respond. The request was not executed; retry it with the same idempotency key.', { outcome: 'not-run', retryAfterSeconds: UNAVAILABLE_RETRY_AFTER_SECONDS })
  }
}
