/**
 * Makes and ends claims in the key-value service, so that of all gateways only one dispatches a non-idempotent request.
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

/** What became of the attempt to make a claim. */
export type ClaimAcquisition =
  | { kind: 'granted', claim: HeldClaim }
  | { kind: 'replay', response: StoredResponse }
  | { kind: 'refused', error: CallerError }

/** Where claims are made. */
export interface ClaimRegistry {
  acquire (request: ClaimRequest): Promise<ClaimAcquisition>
  /** Stores the answer of a claimed request, if it is at hand, in the background. */
  complete (claim: HeldClaim, answer: StoredResponse | undefined): void
  /** Notes that the outcome of a claimed request is not known, in the background. */
  markUnknown (claim: HeldClaim): void
  /** Gives a claim back whose request has not run, in the background. */
  release (claim: HeldClaim): void
  /** Resolves when everything in the background is written. */
  flush (): Promise<void>
}

/** Writes each claim by itself, by compare-and-swap. */
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

  complete (claim: HeldClaim, answer: StoredResponse | undefined): void {
    this._runInBackground(this._writeOutcome(claim, completeClaim(claim.record, answer)))
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

  /** Returns a lease that keeps claims for at least a day; one lease serves all claims of an hour. */
  private async _obtainLease (context: CallContext): Promise<bigint | undefined> {
    if (this._lease && this._clock.now() < this._lease.useUntil) return this._lease.lease.id
    const granted = await this._service.grantLease(context, RETENTION_SECONDS)
    if (granted.isErr()) return undefined
    this._lease = { lease: granted.value, useUntil: this._clock.now() + LEASE_USE_MILLISECONDS }
    return granted.value.id
  }

  /** Writes the end of a claim until it is known to be written, or to be no longer this gateway's. */
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
   * Settles a claim whose write was not answered and that the caller was told is not held: creates it as released if
   * it does not exist, and writes over it as released if it is its own or was released before. Either way a write
   * that arrives late finds another revision and fails.
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
    error: CallerError.create('claims_unavailable', 'The request may run only once, and this could not be made sure of because the key-value service did not answer. It was not run; send it again with the same idempotency key.', { outcome: 'not-run', retryAfterSeconds: UNAVAILABLE_RETRY_AFTER_SECONDS })
  }
}
