/**
 * The response of a request whose caller is disconnected. The request continues, and a caller that reconnects first
 * receives the events that it has missed and then those that follow.
 *
 * @module
 */
import type { Outcome } from '../attempts/attemptOutcome.js'
import type { StreamedResponse } from '../attempts/streamedResponse.js'
import type { CallerError } from '../callers/callerError.js'
import type { CallerResponse, ResponseHeaders } from '../callers/callerResponse.js'

type Ending =
  | { kind: 'stream', outcome: Outcome }
  | { kind: 'buffered', status: number, headers: ResponseHeaders, body: Buffer | string, outcome: Outcome }
  | { kind: 'error', error: CallerError }

/** Accepts the response of a request while no caller is attached, and forwards it to the one that attaches. */
export class DetachedResponse implements CallerResponse {
  readonly requestId: string
  private readonly _streamedResponse: StreamedResponse
  private readonly _isStream: boolean
  private _target: CallerResponse | undefined
  private _ending: Ending | undefined
  private _started = false

  private constructor (requestId: string, streamedResponse: StreamedResponse, stream: boolean) {
    this.requestId = requestId
    this._streamedResponse = streamedResponse
    this._isStream = stream
  }

  /** `stream` is whether the caller requested a stream of events. */
  static create (requestId: string, streamedResponse: StreamedResponse, stream: boolean): DetachedResponse {
    return new DetachedResponse(requestId, streamedResponse, stream)
  }

  get started (): boolean {
    return this._started
  }

  get ended (): boolean {
    return this._ending !== undefined
  }

  /** Attaches a caller that has received all events up to `lastPosition`, and disconnects the previous one. */
  attach (target: CallerResponse, lastPosition: number): void {
    this._target?.abort()
    this._target = target
    target.onCallerDisconnected(() => { if (this._target === target) this._target = undefined })
    if (this._isStream && this._ending?.kind !== 'error') this._replay(target, lastPosition)
    if (this._ending) this._end(this._ending)
  }

  onCallerDisconnected (): void {}

  onceDrained (callback: () => void): void {
    if (this._target) this._target.onceDrained(callback)
    else callback()
  }

  startEventStream (): void {
    this._started = true
    if (this._target && !this._target.started) this._target.startEventStream()
  }

  startByteStream (status: number, headers: ResponseHeaders): void {
    this._started = true
    this._target?.startByteStream(status, headers)
  }

  write (bytes: Buffer): boolean {
    return this._target?.write(bytes) ?? true
  }

  endStream (outcome: Outcome): void {
    this._end({ kind: 'stream', outcome })
  }

  sendComplete (status: number, headers: ResponseHeaders, body: Buffer | string, outcome: Outcome): void {
    this._end({ kind: 'buffered', status, headers, body, outcome })
  }

  sendError (error: CallerError): void {
    this._end({ kind: 'error', error })
  }

  sendRedirect (location: string): void {
    this._target?.sendRedirect(location)
  }

  abort (): void {
    this._target?.abort()
  }

  private _replay (target: CallerResponse, lastPosition: number): void {
    const missed = this._streamedResponse.readEventsAfter(lastPosition)
    target.startEventStream()
    if (missed.length > 0) target.write(Buffer.from(missed))
  }

  private _end (ending: Ending): void {
    this._ending = ending
    if (!this._target) return
    switch (ending.kind) {
      case 'stream': return this._target.endStream(ending.outcome)
      case 'buffered': return this._target.sendComplete(ending.status, { ...ending.headers }, ending.body, ending.outcome)
      case 'error': return this._target.sendError(ending.error)
    }
  }
}
