/**
 * The streamed response of one request, accumulated over all of its attempts. It stores the events delivered to the
 * caller, so that another upstream can continue after the last one, and parses them only on demand.
 *
 * @module
 */
import { createParser } from 'eventsource-parser'

const INITIAL_BUFFER_BYTES = 4096
const DONE_DATA = '[DONE]'
const DONE_LINE = 'data: [DONE]'
const EVENT_END = '\n\n'
const POSITION_LINE = /^id: (\d+)$/m
const DONE_EVENT = Buffer.from('data: [DONE]\n\n')

/** The fields of a completion event that are used. */
interface CompletionEvent {
  id?: string
  created?: number
  model?: string
  choices?: Array<{ delta?: { content?: string }, text?: string, finish_reason?: string | null }>
  usage?: unknown
}

/** The generated text so far. */
export interface ResponseText {
  text: string
  /** Why the engine ended generation; undefined before the end. */
  finishReason?: string
}

/** Endpoint of the OpenAI-compatible API. */
export type CompletionEndpoint = 'chat' | 'text'

/** The events of one response. */
export class StreamedResponse {
  /** Position of the last token that was delivered. */
  position = 0
  /** Its first `_byteLength` bytes are the events. Chunks are copied, as keeping one would retain a socket buffer. */
  private _buffer = Buffer.alloc(0)
  private _byteLength = 0

  /** Creates a response that continues the given events, the last of which is at `position`. */
  static create (position = 0, events: Buffer = Buffer.alloc(0)): StreamedResponse {
    const response = new StreamedResponse()
    response.position = position
    if (events.length > 0) response.append(events)
    return response
  }

  get byteLength (): number {
    return this._byteLength
  }

  append (bytes: Buffer): void {
    const needed = this._byteLength + bytes.length
    if (needed > this._buffer.length) this._grow(needed)
    bytes.copy(this._buffer, this._byteLength)
    this._byteLength = needed
  }

  /** Parses the events and returns the generated text so far. */
  readText (): ResponseText {
    const result: ResponseText = { text: '' }
    for (const event of this._parse()) {
      const choice = event.choices?.[0]
      result.text += choice?.delta?.content ?? choice?.text ?? ''
      result.finishReason = choice?.finish_reason ?? result.finishReason
    }
    return result
  }

  /** Appends the `[DONE]` event and returns it; undefined if the events already end with it. */
  appendDoneEvent (): Buffer | undefined {
    if (this.readEvents().endsWith(DONE_EVENT.toString())) return undefined
    this.append(DONE_EVENT)
    return DONE_EVENT
  }

  /** Returns all events delivered so far, concatenated. */
  readEvents (): string {
    return this._buffer.toString('utf8', 0, this._byteLength)
  }

  /** Returns the events after the one at `position`, concatenated. */
  readEventsAfter (position: number): string {
    const events = this.readEvents().split(EVENT_END).filter(event => event !== '')
    const first = events.findIndex(event => {
      const id = POSITION_LINE.exec(event)
      return id === null ? event.startsWith(DONE_LINE) : Number(id[1]) > position
    })
    return first === -1 ? '' : events.slice(first).map(event => event + EVENT_END).join('')
  }

  /** Returns the response as one JSON object, as sent to a caller that did not ask for a stream. */
  assemble (endpoint: CompletionEndpoint): string {
    const events = this._parse()
    const last = events[events.length - 1]
    const { text, finishReason } = this.readText()
    const content = endpoint === 'chat' ? { message: { role: 'assistant', content: text } } : { text }
    return JSON.stringify({
      id: last?.id,
      object: endpoint === 'chat' ? 'chat.completion' : 'text_completion',
      created: last?.created,
      model: last?.model,
      choices: [{ index: 0, ...content, finish_reason: finishReason }],
      usage: last?.usage
    })
  }

  private _grow (needed: number): void {
    const grown = Buffer.allocUnsafeSlow(Math.max(INITIAL_BUFFER_BYTES, needed, this._buffer.length * 2))
    this._buffer.copy(grown, 0, 0, this._byteLength)
    this._buffer = grown
  }

  private _parse (): CompletionEvent[] {
    const events: CompletionEvent[] = []
    const parser = createParser({
      onEvent: event => { if (event.data !== DONE_DATA) events.push(JSON.parse(event.data) as CompletionEvent) }
    })
    parser.feed(this.readEvents())
    return events
  }
}
