/**
 * Parses responses as callers do.
 *
 * @module
 */
import { renderChat } from '@plumstage/common/promptBlocks'
import { TokenSource } from '@plumstage/standins'

/** The content of a streamed response. */
export interface ParsedStream {
  text: string
  positions: number[]
  done: boolean
  error?: { code: string, outcome: string, message: string }
}

/** Parses the complete text of a stream of server-sent events. */
export function parseStream (text: string): ParsedStream {
  const stream: ParsedStream = { text: '', positions: [], done: false }
  for (const event of text.split('\n\n')) parseEvent(event, stream)
  return stream
}

/** Returns the completion that the engine stand-in generates for a chat of one user message. */
export function expectedCompletion (content: string, tokens: number): string {
  return TokenSource.create(renderChat([{ role: 'user', content }])).textUpTo(tokens)
}

function parseEvent (event: string, stream: ParsedStream): void {
  const id = /^id: (\d+)$/m.exec(event)
  const data = /^data: (.*)$/m.exec(event)?.[1]
  if (data === undefined) return
  if (data === '[DONE]') {
    stream.done = true
    return
  }
  const parsed = JSON.parse(data)
  if (parsed.error) {
    stream.error = parsed.error
    return
  }
  if (id) stream.positions.push(Number(id[1]))
  stream.text += parsed.choices[0].delta?.content ?? parsed.choices[0].text ?? ''
}
