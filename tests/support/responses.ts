/**
 * Reads answers as callers do.
 *
 * @module
 */
import { renderChat } from '@plumstage/common/promptBlocks'
import { TokenSource } from '@plumstage/standins'

/** What a caller saw of a streamed answer. */
export interface ParsedStream {
  text: string
  positions: number[]
  done: boolean
  error?: { code: string, outcome: string, message: string }
}

/** Reads a stream of events to its end. */
export function parseStream (text: string): ParsedStream {
  const seen: ParsedStream = { text: '', positions: [], done: false }
  for (const event of text.split('\n\n')) parseEvent(event, seen)
  return seen
}

/** The text that an engine stand-in gives to a chat of one user message. */
export function expectedCompletion (content: string, tokens: number): string {
  return TokenSource.create(renderChat([{ role: 'user', content }])).textUpTo(tokens)
}

function parseEvent (event: string, seen: ParsedStream): void {
  const id = /^id: (\d+)$/m.exec(event)
  const data = /^data: (.*)$/m.exec(event)?.[1]
  if (data === undefined) return
  if (data === '[DONE]') {
    seen.done = true
    return
  }
  const parsed = JSON.parse(data)
  if (parsed.error) {
    seen.error = parsed.error
    return
  }
  if (id) seen.positions.push(Number(id[1]))
  seen.text += parsed.choices[0].delta?.content ?? parsed.choices[0].text ?? ''
}
