/**
 * A request whose head was admitted and whose body is still arriving. It is decided again whenever the configuration
 * changes, so that it is served by the one that is in force when it is complete, and rejected at once if that one rejects it.
 *
 * @module
 */
import type { Clock, Timer, Timestamp } from '@plumstage/common'
import type { CallerHead } from './callerProtocol.js'
import { createRejection } from './rejection.js'
import type { Rejection } from './rejection.js'
import type { Admission, RequestAdmission } from './requestAdmission.js'

/** The request, and what decides about it. */
export interface IncompleteRequestOptions {
  head: CallerHead
  /** When the head was complete; deadlines count from then. */
  acceptedAt: Timestamp
  /** The decision about the head. */
  admitted: Admission
  admission: RequestAdmission
  clock: Clock
  /** Sends the rejection to the caller; called once at most. */
  reject: (rejection: Rejection) => void
}

/** One request until its body is complete, or it is rejected or abandoned. */
export class IncompleteRequest {
  private readonly _options: IncompleteRequestOptions
  private _admitted: Admission
  private _timer: Timer
  private _hasEnded = false

  private constructor (options: IncompleteRequestOptions) {
    this._options = options
    this._admitted = options.admitted
    this._timer = this._startTimer()
  }

  static create (options: IncompleteRequestOptions): IncompleteRequest {
    return new IncompleteRequest(options)
  }

  /** The decision by the configuration in force. */
  get admitted (): Admission {
    return this._admitted
  }

  /** Decides again by the configuration that has come into force. */
  reconsider (): void {
    const { admission, head, acceptedAt, clock } = this._options
    const admitted = admission.admit(head, acceptedAt, clock.now())
    if (admitted.isErr()) return this.reject(admitted.error)
    this._admitted = admitted.value
    this._timer.cancel()
    this._timer = this._startTimer()
  }

  /** Rejects the request, unless it has ended. */
  reject (rejection: Rejection): void {
    if (this._hasEnded) return
    this.end()
    this._options.reject(rejection)
  }

  /** Ends the wait for the body: it is complete, or can't become so. */
  end (): void {
    this._hasEnded = true
    this._timer.cancel()
  }

  private _startTimer (): Timer {
    return this._options.clock.schedule(this._admitted.deadline, () => this.reject(createRejection('body-too-slow', 'The body did not arrive before the deadline, and the request was not executed. Send it again.')))
  }
}
