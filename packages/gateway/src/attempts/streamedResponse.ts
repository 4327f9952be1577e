/**
 * The answer of one request as it grows over all of its attempts. It keeps the events that the caller has, so that
 * another upstream can continue after the last one, and reads them only when that is needed.
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

/** The part of a completion event that is read. */
interface CompletionEvent {
  id?: string
  created?: number
  model?: string
  choices?: Array<{ delta?: { content?: string }, text?: string, finish_reason?: string | null }>
  usage?: unknown
}

/** What an answer says so far. */
export interface ResponseText {
  text: string
  /** Why the engine ended the answer; undefined while it goes on. */
  finishReason?: string
}

/** Which endpoint of the OpenAI-compatible interface the answer is for. */
export type CompletionEndpoint = 'chat' | 'text'

/** Events of one answer. */
export class StreamedResponse {
  /** Position of the last token that was delivered. */
  position = 0
  /** Holds the events in its first bytes. Chunks are copied, because each one kept would hold a buffer of the socket. */
  private _buffer = Buffer.alloc(0)
  private _byteLength = 0

  /** Creates an answer that goes on from the given events, of which the last is at `position`. */
  static create (position = 0, events: Buffer = Buffer.alloc(0)): StreamedResponse {
    const answer = new StreamedResponse()
    answer.position = position
    if (events.length > 0) answer.append(events)
    return answer
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

  /** Returns the text of the answer so far. */
  readText (): ResponseText {
    const answer: ResponseText = { text: '' }
    for (const event of this._parse()) {
      const choice = event.choices?.[0]
      answer.text += choice?.delta?.content ?? choice?.text ?? ''
      answer.finishReason = choice?.finish_reason ?? answer.finishReason
    }
    return answer
  }

  /** Adds the event that ends the answer, unless it has it; returns what was added. */
  appendDoneEvent (): Buffer | undefined {
    if (this.readEvents().endsWith(DONE_EVENT.toString())) return undefined
    this.append(DONE_EVENT)
    return DONE_EVENT
  }

  /** Returns all events delivered so far as one text. */
  readEvents (): string {
    return this._buffer.toString('utf8', 0, this._byteLength)
  }

  /** Returns the events after the one at `position`, as one text. */
  readEventsAfter (position: number): string {
    const events = this.readEvents().split(EVENT_END).filter(event => event !== '')
    const first = events.findIndex(event => {
      const id = POSITION_LINE.exec(event)
      return id === null ? event.startsWith(DONE_LINE) : Number(id[1]) > position
    })
    return first === -1 ? '' : events.slice(first).map(event => event + EVENT_END).join('')
  }

  /** Returns the answer as one JSON object, as for a call without streaming. */
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
