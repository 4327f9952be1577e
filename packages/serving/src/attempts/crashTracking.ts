/**
 * What one request has to do with crashes of upstreams: where it may be sent although parts of its prompt are
 * quarantined, and what its attempts tell about its parts and about itself.
 *
 * @module
 */
import type { Clock, Instrumentation, Timestamp } from '@plumstage/common'
import { createRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'
import { crashIdOf, formatPart, partKeysOf, sharedPartIdsOf } from '../recovery/promptPart.js'
import type { PartKey } from '../recovery/promptPart.js'
import type { PartVerdict } from '../recovery/partQuarantine.js'
import type { ServingState } from '../servingState.js'
import { serviceSoftwareOf } from '../streams/software.js'
import type { ServiceSoftware, SoftwareId } from '../streams/software.js'
import type { CrashProbe } from '../upstreams/crashProbe.js'
import { RequestSuspicion } from './requestSuspicion.js'
import type { AttemptProgress } from './requestSuspicion.js'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import type { AttemptOutcome } from './upstreamAttempt.js'

const MAXIMUM_RETRY_AFTER_MILLISECONDS = 30_000

/** Dependencies of the tracking. */
export interface CrashTrackingServices {
  clock: Clock
  instrumentation: Instrumentation
  state: ServingState
  crashProbe: CrashProbe
}

/** Tracks one request. */
export class CrashTracking {
  private readonly _services: CrashTrackingServices
  private readonly _request: AcceptedRequest
  private readonly _partIds: readonly string[]
  /** Parts of the running attempt, at the software of its upstream. */
  private _parts: readonly PartKey[] = []
  private _isTrial = false
  /** The suspicion against the request as a whole. */
  readonly request: RequestSuspicion

  private constructor (services: CrashTrackingServices, request: AcceptedRequest) {
    this.request = RequestSuspicion.create(services, request.digest)
    this._services = services
    this._request = request
    this._partIds = sharedPartIdsOf(request.generation)
  }

  static create (services: CrashTrackingServices, request: AcceptedRequest): CrashTracking {
    return new CrashTracking(services, request)
  }

  /** Upstreams to which the request may be sent now; those where it would be a trial only if there are no others. */
  listUsable (software: SoftwareId | undefined, now: Timestamp): readonly Upstream[] {
    const usable = this._listAccepted(software, now)
    return this.request.isTrial ? chooseLeastBusy(usable) : usable
  }

  private _listAccepted (software: SoftwareId | undefined, now: Timestamp): readonly Upstream[] {
    const { state } = this._services
    const service = this._request.service.name
    if (!this._mayBeRefused) return state.listUsable(service, software, now)
    const verdicts = this._createVerdicts(now)
    const accepted = state.listUsable(service, software, now, upstream => verdicts(upstream).kind === 'accepted')
    return accepted.length > 0 ? accepted : state.listUsable(service, software, now, upstream => verdicts(upstream).kind === 'trial')
  }

  /** Returns the rejection if upstreams are usable, but all of them refuse a part of the prompt. */
  rejectionOf (software: SoftwareId | undefined, now: Timestamp): Rejection | undefined {
    if (!this._mayBeRefused) return undefined
    const usable = this._services.state.listUsable(this._request.service.name, software, now)
    const verdicts = this._createVerdicts(now)
    const refused = usable.map(verdicts).filter(verdict => verdict.kind === 'refused')
    if (usable.length === 0 || refused.length < usable.length) return undefined
    const retryAt = Math.min(...refused.map(verdict => verdict.retryAt))
    return createRejection('quarantined', 'Upstreams crashed when they began to respond to prompts with a part of this one, and the request was not executed. Leave that part out, or send it again after the indicated delay.', Math.min(MAXIMUM_RETRY_AFTER_MILLISECONDS, retryAt - now))
  }

  /** Records that an attempt starts. */
  beginAttempt (upstream: Upstream, now: Timestamp): void {
    if (this._partIds.length === 0) return
    const { partQuarantine } = this._services.state
    this._parts = partKeysOf(this._partIds, upstream.listed)
    this._isTrial = partQuarantine.decide(this._parts, now).kind === 'trial'
    if (this._isTrial) partQuarantine.beginTrial(this._parts)
  }

  /** Records that the upstream of the attempt has begun to respond. */
  recordBegin (): void {
    this._services.state.partQuarantine.recordBegin(this._parts, this._services.clock.now())
  }

  /** Records that the attempt has ended, whatever its result. */
  endAttempt (): void {
    if (this._isTrial) this._services.state.partQuarantine.endTrial(this._parts)
    this._isTrial = false
  }

  /**
   * Finds out whether the upstream of a failed attempt has crashed, and records it. Returns a promise if the next
   * attempt has to wait for that, because the request itself may be the cause.
   */
  checkForCrash (outcome: AttemptOutcome, upstream: Upstream, progress: AttemptProgress): Promise<void> | undefined {
    const { hasBegun } = progress
    const isPossible = outcome.kind === 'failed' && outcome.failure === 'broken' && (outcome.connectionLost || !hasBegun) && !this._hasLeft(upstream)
    if (!isPossible) return void this.endAttempt()
    const suspects = hasBegun ? [] : this._parts
    const mayBeCause = suspects.length > 0 || (!hasBegun && (this.request.isTrial || this.request.isSuspected))
    const checked = this._recordIfCrashed(upstream, suspects, progress)
    if (!mayBeCause) return void this.endAttempt()
    return checked.then(() => this.endAttempt())
  }

  private get _mayBeRefused (): boolean {
    return this._partIds.length > 0 && !this._services.state.partQuarantine.isEmpty
  }

  /** Whether an upstream was announced to leave, or is no longer listed. */
  private _hasLeft (upstream: Upstream): boolean {
    return upstream.isLeaving || this._services.state.upstreams.get(upstream.listed.id) !== upstream
  }

  private async _recordIfCrashed (upstream: Upstream, parts: readonly PartKey[], progress: AttemptProgress): Promise<void> {
    const { state, clock, crashProbe, instrumentation } = this._services
    const isTrial = this._isTrial
    const isRequestTrial = this.request.isTrial
    if (!await crashProbe.hasCrashed(upstream)) return
    const { listed } = upstream
    const now = clock.now()
    instrumentation.emit('upstream-crashed', { upstream: listed.id, service: listed.service, softwareVersion: listed.softwareVersion, suspectParts: parts.map(formatPart).join(' '), isTrial }, this._request.head.requestId)
    this.request.recordCrash(listed, progress, isRequestTrial)
    state.partQuarantine.recordCrash({ parts, crash: crashIdOf(listed), isTrial }, now)
  }

  /** Upstreams of one software have the same verdict. */
  private _createVerdicts (now: Timestamp): (upstream: Upstream) => PartVerdict {
    const verdicts = new Map<ServiceSoftware, PartVerdict>()
    return ({ listed }) => {
      const software = serviceSoftwareOf(listed)
      const verdict = verdicts.get(software) ?? this._services.state.partQuarantine.decide(partKeysOf(this._partIds, listed), now)
      verdicts.set(software, verdict)
      return verdict
    }
  }
}

/** A trial may crash its upstream, and take the requests there with it. */
function chooseLeastBusy (upstreams: readonly Upstream[]): Upstream[] {
  const fewest = Math.min(...upstreams.map(({ requests }) => requests))
  return upstreams.filter(({ requests }) => requests === fewest)
}
