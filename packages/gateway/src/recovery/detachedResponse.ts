/**
 * The response of a request whose caller is away. It lets the request go on, and gives the caller who comes back what
 * it has missed and then what follows.
 *
 * @module
 */
import type { Outcome } from '../attempts/attemptOutcome.js'
import type { StreamedResponse } from '../attempts/streamedResponse.js'
import type { CallerError } from '../callers/callerError.js'
import type { CallerResponse, ResponseHeaders } from '../callers/callerResponse.js'

type Ending =
  | { kind: 'stream', outcome: Outcome }
  | { kind: 'whole', status: number, headers: ResponseHeaders, body: Buffer | string, outcome: Outcome }
  | { kind: 'error', error: CallerError }

/** Stands in for a caller until there is one. */
export class DetachedResponse implements CallerResponse {
  readonly requestId: string
  private readonly _streamedResponse: StreamedResponse
  private readonly _stream: boolean
  private _target: CallerResponse | undefined
  private _ending: Ending | undefined
  private _started = false

  private constructor (requestId: string, answer: StreamedResponse, stream: boolean) {
    this.requestId = requestId
    this._streamedResponse = answer
    this._stream = stream
  }

  /** `stream` says whether the caller asked for a stream of events. */
  static create (requestId: string, answer: StreamedResponse, stream: boolean): DetachedResponse {
    return new DetachedResponse(requestId, answer, stream)
  }

  get started (): boolean {
    return this._started
  }

  get ended (): boolean {
    return this._ending !== undefined
  }

  /** Gives the response to a caller who has all events up to `lastPosition`. A caller before it is cut off. */
  attach (target: CallerResponse, lastPosition: number): void {
    this._target?.abort()
    this._target = target
    target.onCallerDisconnected(() => { if (this._target === target) this._target = undefined })
    if (this._stream && this._ending?.kind !== 'error') this._replay(target, lastPosition)
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
    this._end({ kind: 'whole', status, headers, body, outcome })
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
      case 'whole': return this._target.sendComplete(ending.status, { ...ending.headers }, ending.body, ending.outcome)
      case 'error': return this._target.sendError(ending.error)
    }
  }
}
