/**
 * Answers that upstreams should not give to a request that begins or continues a stream, and sound ones that resemble them.
 *
 * @module
 */
import { formatResponseHead, formatServerSentEvent } from './upstreamStandin.js'
import type { ResponseScript } from './upstreamStandin.js'

const EVENT_STREAM = 'Content-Type: text/event-stream\r\n'
const FOREIGN_HEAD = 'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nno room'

/** How the end of an answer is known. */
export type Framing = 'chunks' | 'length' | 'connection end'

/** An answer to one request. */
export interface Answer {
  name: string
  script: ResponseScript
}

/** Answers with a body; head, body and end are written at once. `headers` replaces the content type of an event stream. */
export function answer (body: string, framing: Framing = 'chunks', status = '200 OK', headers = EVENT_STREAM): ResponseScript {
  return (request, upstream) => {
    const head = formatResponseHead(request, upstream, status, headers)
    if (framing === 'connection end') return void request.socket.end(`${head}\r\n${body}`)
    if (framing === 'length') return void request.socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`)
    const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`
    request.socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`)
  }
}

/** Sends events up to `last`, then the connection ends within the response. */
export function breakOffAfter (last: number): ResponseScript {
  return breakOffWith(formatEvents(1, last))
}

/** Sends text, then the connection ends within the response. */
export function breakOffWith (text: string, headers = EVENT_STREAM): ResponseScript {
  return (request, upstream) => request.socket.end(`${formatResponseHead(request, upstream, '200 OK', headers)}Transfer-Encoding: chunked\r\n\r\n${text.length.toString(16)}\r\n${text}\r\n`)
}

export function formatEvents (first: number, last: number): string {
  let text = ''
  for (let id = first; id <= last; id++) text += formatServerSentEvent(id)
  return text
}

/** Answers of 200 that add no event to a stream after event 4. */
export const WITHOUT_NEW_EVENT: readonly Answer[] = [
  { name: 'chunks without any event', script: answer('') },
  { name: 'no bytes', script: answer('', 'length') },
  { name: 'no bytes until the connection ends', script: answer('', 'connection end') },
  { name: 'comments only', script: answer(': working\n\n: working\n\n') },
  { name: 'an empty line', script: answer('\n\n') },
  { name: 'an event that the caller has', script: answer(formatServerSentEvent(4)) },
  { name: 'all events that the caller has', script: answer(formatEvents(1, 4), 'connection end') }
]

/** Answers that are no event stream with status 200, but below 300. */
export const OTHER_SUCCESSES: readonly Answer[] = [
  { name: '204', script: (request, upstream) => request.socket.write(`${formatResponseHead(request, upstream, '204 No Content')}\r\n`) },
  { name: '202 with an event', script: answer(formatServerSentEvent(5), 'chunks', '202 Accepted') },
  { name: '206 with an event that the caller has', script: answer(formatServerSentEvent(4), 'chunks', '206 Partial Content') },
  { name: '206 with an event', script: answer(formatServerSentEvent(5), 'length', '206 Partial Content') },
  { name: '200 with text', script: answer('no room', 'length', '200 OK', 'Content-Type: text/plain\r\n') }
]

/** Answers whose bytes belong to no event with an id. */
export const WITHOUT_ID: readonly Answer[] = [
  { name: 'the text of an error as an event', script: answer('data: no room\n\n') },
  { name: 'the text of an error as an event of another type', script: answer('event: error\ndata: no room\n\n', 'connection end') },
  { name: 'the text of an error after an event', script: answer(`${formatServerSentEvent(5)}data: no room\n\n`, 'length') },
  { name: 'the text of an error alone', script: answer('no room\n\n') },
  { name: 'the head of an error', script: answer(FOREIGN_HEAD, 'connection end') },
  { name: 'the head of an error, in a chunk', script: answer(FOREIGN_HEAD) },
  { name: 'the head of an error after an event', script: answer(formatServerSentEvent(5) + FOREIGN_HEAD, 'connection end') }
]

/** The head of an error in the middle of an event; the empty line after the head ends that event. */
export const WITHIN_EVENT: readonly Answer[] = [
  { name: 'within a value', script: answer(`id: 5\ndata: tok${FOREIGN_HEAD}`, 'connection end') },
  { name: 'within a name', script: answer(`id: 5\nda${FOREIGN_HEAD}`, 'connection end') },
  { name: 'after a line', script: answer(`id: 5\n${FOREIGN_HEAD}`, 'connection end') }
]

/** Answers that continue a stream after event 4 up to event 6 in an unusual, but sound way. */
export const SOUND: readonly Answer[] = [
  { name: 'comments between events', script: answer(`: working\n\n${formatServerSentEvent(5)}: working\n\n${formatServerSentEvent(6)}`) },
  { name: 'events that the caller has', script: answer(formatEvents(1, 6), 'connection end') },
  { name: 'a change of weights', script: answer(`${formatServerSentEvent(5)}plumstage-weight-versions: 7\n${formatServerSentEvent(6)}`) },
  { name: 'further fields', script: answer('event: token\nid: 5\nretry: 100\ndata: a\ndata\n\nid:6\n: working\ndata:b\n\n', 'length') },
  { name: 'lines that end with two characters', script: answer('id: 5\r\ndata: a\r\n\r\nid: 6\r\ndata: b\r\n\r\n') },
  { name: 'no type', script: answer(formatEvents(5, 6), 'chunks', '200 OK', '') },
  { name: 'text that looks like a head', script: answer(`id: 5\ndata: HTTP/1.1 500 Internal Server Error\ndata: Content-Type: text/plain\n\n${formatServerSentEvent(6)}`) }
]
