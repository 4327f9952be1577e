/**
 * One completion that the engine stand-in generates and writes to the HTTP response.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import type { Sequence } from './batchScheduler.js'
import type { CompletionFormat, CompletionUsage } from './completionFormat.js'
import type { EngineFaultSettings } from './engineFaults.js'
import type { EngineCounts } from './engineCounts.js'
import type { TokenSource } from './tokenSource.js'

/** A validated completion request. */
export interface EngineRequest {
  requestId: string
  format: CompletionFormat
  stream: boolean
  priority: number
  prompt: string
  /** The text of the first message, or the prompt. */
  content: string
  promptTokens: number
  /** Position of the last token that other engines have already generated; 0 for a new response. */
  startPosition: number
  /** Length of the complete response in tokens, including those up to `startPosition`. */
  responseTokens: number
}

/** Fault settings and counters of the engine that a sequence belongs to. */
export interface SequenceOwner {
  faults: EngineFaultSettings
  counts: EngineCounts
}

/** A sequence that writes its tokens to an HTTP response. */
export class EngineSequence implements Sequence {
  readonly priority: number
  prefillTokens: number
  private readonly _request: EngineRequest
  private readonly _source: TokenSource
  private readonly _response: ServerResponse
  private readonly _owner: SequenceOwner
  private readonly _cachedTokens: number
  private _position: number
  private _text = ''
  private _ended = false

  private constructor (request: EngineRequest, source: TokenSource, response: ServerResponse, owner: SequenceOwner, cachedTokens: number) {
    this.priority = request.priority
    this.prefillTokens = Math.max(0, request.promptTokens + request.startPosition - cachedTokens)
    this._request = request
    this._source = source
    this._response = response
    this._owner = owner
    this._cachedTokens = cachedTokens
    this._position = request.startPosition
    owner.counts.prefilledTokens += this.prefillTokens
    if (request.startPosition > 0) owner.counts.recomputedTokens += this.prefillTokens
  }

  static create (request: EngineRequest, source: TokenSource, response: ServerResponse, owner: SequenceOwner, cachedTokens: number): EngineSequence {
    return new EngineSequence(request, source, response, owner, cachedTokens)
  }

  get position (): number {
    return this._position
  }

  get ended (): boolean {
    return this._ended
  }

  step (): boolean {
    if (this._position === this._request.startPosition && this._request.stream) this._response.writeHead(200, { 'content-type': 'text/event-stream' })
    if (this._position >= this._request.responseTokens) return this._end()
    this._position++
    this._owner.counts.generatedTokens++
    const token = this._source.tokenAt(this._position)
    if (this._request.stream) this._response.write(this._request.format.tokenEvent(this._position, token))
    else this._text += token
    return this._applyStreamFaults()
  }

  private _applyStreamFaults (): boolean {
    const generated = this._position - this._request.startPosition
    const faults = this._owner.faults
    if (faults.cutAfterTokens > 0 && generated >= faults.cutAfterTokens) {
      this._ended = true
      this._response.destroy()
      return false
    }
    if (faults.endAfterTokens > 0 && generated >= faults.endAfterTokens) {
      this._ended = true
      this._response.end()
      return false
    }
    return true
  }

  private _end (): boolean {
    this._ended = true
    if (this._request.stream) this._response.end(this._request.format.lastEvents(this._position + 1, this._usage))
    else this._response.writeHead(200, { 'content-type': 'application/json' }).end(this._request.format.completeResponse(this._text, this._usage))
    return false
  }

  private get _usage (): CompletionUsage {
    return { promptTokens: this._request.promptTokens, cachedTokens: this._cachedTokens, completionTokens: this._position }
  }
}
