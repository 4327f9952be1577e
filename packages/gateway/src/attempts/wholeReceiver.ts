/**
 * Receives an answer that is not an event stream. Small answers are held until they are whole, so that a broken one
 * can be fetched again; larger ones are passed on as they arrive.
 *
 * @module
 */
import type { AttemptEnding } from './dispatchBoundary.js'
import { CONTINUE_RECEIVING, PAUSE_RECEIVING } from './upstreamAttempt.js'
import type { AnswerHeaders, AnswerReceiver, BytesVerdict, HeadVerdict } from './upstreamAttempt.js'

const HELD_BYTES = 256 * 1024
const FIRST_SERVER_ERROR_STATUS = 500

/** A whole answer. */
export interface WholeAnswer {
  status: number
  headers: AnswerHeaders
  body: Buffer
}

/** Where the answer goes. */
export interface WholeDestination {
  /** Takes a whole answer. */
  deliverWhole (answer: WholeAnswer): void
  /** Starts an answer that is too large to be held. */
  startLarge (status: number, headers: AnswerHeaders): void
  /** Takes bytes of a started answer; false when the caller does not keep up. */
  deliver (bytes: Buffer): boolean
  onceDrained (callback: () => void): void
  /** Returns what is wrong with a whole answer; undefined when it is this request's. */
  check (answer: WholeAnswer): string | undefined
}

/** What the receiver has to know about its attempt. */
export interface WholeReceiverOptions {
  destination: WholeDestination
  serverErrorsAreFinal: boolean
  notRunStatuses: readonly number[]
}

/** Receives one answer as a whole. */
export class WholeReceiver implements AnswerReceiver {
  readonly position = 0
  private readonly _options: WholeReceiverOptions
  private _status = 0
  private _headers: AnswerHeaders = {}
  private _held: Buffer[] = []
  private _heldBytes = 0
  private _started = false

  private constructor (options: WholeReceiverOptions) {
    this._options = options
  }

  static create (options: WholeReceiverOptions): WholeReceiver {
    return new WholeReceiver(options)
  }

  get answerStarted (): boolean {
    return this._started
  }

  receiveHead (status: number, headers: AnswerHeaders): HeadVerdict {
    const refused = this._options.notRunStatuses.includes(status)
    const retried = status >= FIRST_SERVER_ERROR_STATUS && !this._options.serverErrorsAreFinal
    if (refused || retried) return { kind: 'end', ending: 'refused', detail: `the upstream answered with status ${status}` }
    this._status = status
    this._headers = headers
    return { kind: 'accept' }
  }

  receiveBytes (chunk: Buffer, resume: () => void): BytesVerdict {
    if (!this._started && this._heldBytes + chunk.length <= HELD_BYTES) {
      this._held.push(chunk)
      this._heldBytes += chunk.length
      return CONTINUE_RECEIVING
    }
    if (!this._started) this._start()
    if (this._options.destination.deliver(chunk)) return CONTINUE_RECEIVING
    this._options.destination.onceDrained(resume)
    return PAUSE_RECEIVING
  }

  receiveEnd (): { ending: AttemptEnding, detail: string } {
    if (this._started) return { ending: 'complete', detail: '' }
    const answer = { status: this._status, headers: this._headers, body: Buffer.concat(this._held) }
    const problem = this._options.destination.check(answer)
    if (problem !== undefined) return { ending: 'invalid', detail: problem }
    this._options.destination.deliverWhole(answer)
    return { ending: 'complete', detail: '' }
  }

  private _start (): void {
    this._started = true
    this._options.destination.startLarge(this._status, this._headers)
    for (const bytes of this._held) this._options.destination.deliver(bytes)
    this._held = []
  }
}
