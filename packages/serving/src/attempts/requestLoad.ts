/**
 * The load that one request puts on the upstream of its current attempt, and what its attempts tell about the demand
 * and the capacity of its service.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import type { GenerationDemand } from '../callers/callerProtocol.js'
import { sharedPrefixOf } from '../routing/generationRouter.js'
import type { RoutingChoice } from '../routing/router.js'
import type { ServingState } from '../servingState.js'
import type { Upstream } from '../upstreams/upstreamTable.js'

/** Adds a request to the load of its upstream, and removes it again. */
export class RequestLoad {
  private readonly _state: ServingState
  private readonly _service: string
  private readonly _generation: GenerationDemand | undefined
  private _upstream: Upstream | undefined
  /** Prompt tokens that count as waiting at the upstream, until the first event. */
  private _waitingTokens = 0
  private _prefillTokens = 0
  private _backlogTokens = 0
  private _dispatchedAt: Timestamp = 0
  private _demandRecorded = false

  private constructor (state: ServingState, service: string, generation: GenerationDemand | undefined) {
    this._state = state
    this._service = service
    this._generation = generation
  }

  static create (state: ServingState, service: string, generation: GenerationDemand | undefined): RequestLoad {
    return new RequestLoad(state, service, generation)
  }

  /** Prompt tokens of the request that the upstream of the current attempt is expected to prefill. */
  get prefillTokens (): number {
    return this._prefillTokens
  }

  /** Prompt tokens that the upstream had to prefill when the attempt was dispatched, those of the request included. */
  get backlogTokens (): number {
    return this._backlogTokens
  }

  /** Adds the request to the load of the upstream that was chosen for an attempt. */
  add ({ upstream, prefillTokens }: RoutingChoice, now: Timestamp): void {
    this._upstream = upstream
    upstream.localLoad.requests++
    if (!this._generation) return
    this._waitingTokens = prefillTokens
    this._prefillTokens = prefillTokens
    upstream.localLoad.waitingTokens += prefillTokens
    this._backlogTokens = Math.round(upstream.waitingTokens)
    this._dispatchedAt = now
    this._state.prefixCache.recordSent(upstream.listed.id, sharedPrefixOf(this._generation), now)
    this._recordDemand(this._generation, now)
  }

  /** Removes the request from the load of its upstream. */
  remove (): void {
    if (!this._upstream) return
    this._upstream.localLoad.requests--
    this._removeWaitingTokens()
    this._upstream = undefined
  }

  /** Records that the upstream has prefilled the prompt, if there is one. */
  recordFirstEvent (now: Timestamp): void {
    if (!this._generation) return
    this._removeWaitingTokens()
    this._state.capacities.recordFirstEvent(this._service, this._prefillTokens, now - this._dispatchedAt)
  }

  private _removeWaitingTokens (): void {
    if (this._upstream) this._upstream.localLoad.waitingTokens -= this._waitingTokens
    this._waitingTokens = 0
  }

  /** Counts the request only once: counting each attempt would let a wave of retries order additional upstreams. */
  private _recordDemand (generation: GenerationDemand, now: Timestamp): void {
    if (this._demandRecorded) return
    this._demandRecorded = true
    this._state.demand.record(this._service, this._prefillTokens, generation.expectedOutputTokens ?? generation.maximumOutputTokens, now)
  }
}
