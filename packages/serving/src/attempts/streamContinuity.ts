/**
 * Keeps a stream at the software that began it, through all attempts of one request and all requests of its caller.
 *
 * @module
 */
import { createRejection } from '../callers/rejection.js'
import type { Rejection } from '../callers/rejection.js'
import type { LookupResult } from '../streams/originLookup.js'
import type { SoftwareId } from '../streams/software.js'
import { streamExpiryOf } from '../streams/streamLifetime.js'
import type { StreamOriginTask } from '../streams/streamOriginTask.js'
import type { AcceptedRequest } from './acceptedRequest.js'

const RETRY_AFTER_UNKNOWN_ORIGIN_MILLISECONDS = 300
const UNKNOWN_ORIGIN_MESSAGE = 'It is not known which software began the stream, so it can\'t be continued, and the request was not executed.'

/** The software that one request has to go to. */
export class StreamContinuity {
  private readonly _origins: StreamOriginTask
  private readonly _request: AcceptedRequest
  private _required: SoftwareId | undefined
  private _isArchived = false
  private _hasBegun = false

  private constructor (origins: StreamOriginTask, request: AcceptedRequest) {
    this._origins = origins
    this._request = request
  }

  static create (origins: StreamOriginTask, request: AcceptedRequest): StreamContinuity {
    return new StreamContinuity(origins, request)
  }

  /** Whether the caller has received events of the stream before. */
  get isResumed (): boolean {
    const { head, route } = this._request
    return route.stream !== undefined && (head.lastEventId !== undefined || head.resumedRequestId !== undefined)
  }

  /** Whether the caller has events of the stream, of this request or an earlier one. */
  get hasBegun (): boolean {
    return this._hasBegun || this.isResumed
  }

  /** The software at which the stream has to go on, or has to begin because that was archived; undefined if any may begin it. */
  get required (): SoftwareId | undefined {
    return this._required
  }

  /** Finds the software that began a resumed stream; returns a rejection if that is not known. */
  async resolve (): Promise<Rejection | undefined> {
    const { head, service } = this._request
    const result = await this._origins.find(service.name, head.resumedRequestId)
    if (result.kind !== 'found') return rejectUnknownOrigin(result)
    this._required = result.origin.software
    return undefined
  }

  /** From its first attempt on, a stream that is archived goes only to the software of that attempt, so that the archive is right. */
  recordDispatch (software: SoftwareId): void {
    const { head, route, service, acceptedAt } = this._request
    if (this._isArchived || route.stream?.resumable !== true) return
    this._isArchived = this._origins.archive(service.name, head.resumedRequestId ?? head.requestId, { software, expiresAt: streamExpiryOf(acceptedAt, head.timeoutMilliseconds) })
    if (this._isArchived) this._required = software
  }

  /** From its first event on, a stream goes on only at the software that wrote it, here and at any other gateway. */
  recordFirstEvent (software: SoftwareId): void {
    this._required = software
    this._hasBegun = true
    const { head, route, acceptedAt } = this._request
    if (route.stream?.resumable !== true) return
    this._origins.record(head.resumedRequestId ?? head.requestId, { software, expiresAt: streamExpiryOf(acceptedAt, head.timeoutMilliseconds) })
  }
}

/** A gateway that did not answer may know the stream, or a gateway that can reach it. */
function rejectUnknownOrigin (result: LookupResult): Rejection {
  if (result.kind === 'unanswered') return createRejection('stream-origin-unknown', `${UNKNOWN_ORIGIN_MESSAGE} Send it again after the indicated delay.`, RETRY_AFTER_UNKNOWN_ORIGIN_MILLISECONDS)
  return createRejection('stream-origin-unknown', `${UNKNOWN_ORIGIN_MESSAGE} Begin a new stream.`)
}
