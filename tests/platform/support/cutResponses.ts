/**
 * Responses of upstreams that are cut at one byte, in the head or in the body.
 *
 * @module
 */
import type { SeededRandom } from '@plumstage/common'
import { formatServerSentEvent } from './upstreamStandin.js'
import type { ReceivedRequest, UpstreamStandin } from './upstreamStandin.js'

/** How the connection ends behind the last byte; `reset-later` once that byte has been read. */
export type CutEnding = 'closed' | 'reset' | 'reset-later'

/** How the whole response would state its length; `connection` is one that ends with its connection. */
export type ResponseFraming = 'length' | 'chunks' | 'connection'

/** Kind of request, each with a route of its own; `large` responses are passed on before they are complete. */
export type CutKind = 'idempotent' | 'large' | 'non-idempotent' | 'stream' | 'resumable'

/** Where a response is cut: a line of the head, or the body. */
export type CutPart = 'head' | 'body'

/** One response that is cut. */
export interface CutResponse {
  kind: CutKind
  framing: ResponseFraming
  ending: CutEnding
  part: CutPart
  /** Interim responses that precede it. */
  interim: string
  /** Further header lines. */
  extra: string
  /** Position of the cut among the interesting ones of its part, from 0 (inclusive) to 1 (exclusive). */
  position: number
}

const HEAD_END = '\r\n\r\n'
const LINE_END = '\r\n'
const EVENT_COUNT = 4
const LARGE_BODY_LENGTH = 300_000
const TRAILERS = 'Checksum: 7\r\nNote: none\r\n'
const KINDS: readonly CutKind[] = ['idempotent', 'non-idempotent', 'stream', 'resumable']
const FRAMINGS: readonly ResponseFraming[] = ['length', 'chunks', 'connection']
const ENDINGS: readonly CutEnding[] = ['closed', 'reset', 'reset-later']
const EXTRAS = ['', 'Connection: close\r\n', 'Keep-Alive: timeout=5\r\n']
const INTERIMS = [100, 102, 103].flatMap(status => ['', 'Link: </style>\r\n', 'Connection: close\r\n'].map(lines => `HTTP/1.1 ${status} Interim\r\n${lines}\r\n`))

/** Returns responses that are cut in the head, drawn at random. */
export function drawCutHeads (random: SeededRandom, count: number, kinds = KINDS): CutResponse[] {
  return Array.from({ length: count }, () => draw(random, 'head', kinds, FRAMINGS, ENDINGS))
}

/** Returns responses that are cut in the head, behind interim responses. */
export function drawCutHeadsAfterInterim (random: SeededRandom, count: number): CutResponse[] {
  return drawCutHeads(random, count).map(response => ({ ...response, interim: random.pick(INTERIMS)!.repeat(random.nextInteger(1, 2)) }))
}

/** Returns responses that are cut in the body. One that ends with its connection and is closed is complete, so it is only reset. */
export function drawCutBodies (random: SeededRandom, count: number, kinds = [...KINDS, 'large'] as readonly CutKind[]): CutResponse[] {
  return Array.from({ length: count }, () => {
    const framing = random.pick(FRAMINGS)!
    return draw(random, 'body', kinds, [framing], framing === 'connection' ? ['reset', 'reset-later'] : ENDINGS)
  })
}

/** Returns the whole body of the response to a request. */
export function formatWholeBody (kind: CutKind, lastEventId = 0): string {
  if (kind === 'large') return 'x'.repeat(LARGE_BODY_LENGTH)
  if (kind === 'idempotent' || kind === 'non-idempotent') return 'a body that is complete.'
  return Array.from({ length: EVENT_COUNT - lastEventId }, (_, index) => formatServerSentEvent(lastEventId + index + 1)).join('')
}

/** Formats the whole response to a request. */
export function formatWholeResponse (request: ReceivedRequest, upstream: UpstreamStandin, kind: CutKind, framing: ResponseFraming, extra = ''): string {
  const body = formatWholeBody(kind, Number(request.headers.get('last-event-id') ?? 0))
  const type = kind === 'stream' || kind === 'resumable' ? 'text/event-stream' : 'text/plain'
  const head = `HTTP/1.1 200 OK\r\nPlumstage-Attempt-Id: ${request.requestId}\r\nPlumstage-Server-Stamp: signed-by-${upstream.id}\r\n${extra}Content-Type: ${type}\r\n`
  if (framing === 'length') return `${head}Content-Length: ${body.length}${HEAD_END}${body}`
  if (framing === 'connection') return `${head}\r\n${body}`
  return `${head}Transfer-Encoding: chunked${HEAD_END}${formatChunks(body)}0${LINE_END}${TRAILERS}${LINE_END}`
}

/** Returns what an upstream sends of a response that it cuts. */
export function cut (whole: string, { part, position, interim }: CutResponse): string {
  const headLength = whole.indexOf(HEAD_END) + HEAD_END.length
  const positions = part === 'head' ? listHeadPositions(whole.slice(0, headLength)) : listBodyPositions(whole, headLength)
  return interim + whole.slice(0, positions[Math.floor(position * positions.length)])
}

function draw (random: SeededRandom, part: CutPart, kinds: readonly CutKind[], framings: readonly ResponseFraming[], endings: readonly CutEnding[]): CutResponse {
  return { part, kind: random.pick(kinds)!, framing: random.pick(framings)!, ending: random.pick(endings)!, interim: '', extra: random.pick(EXTRAS)!, position: random.nextFraction() }
}

/** In each line: in the name, behind the colon, in the value, before and between the characters of its end, and behind it. */
function listHeadPositions (head: string): number[] {
  const positions = [0]
  let start = 0
  for (const line of head.slice(0, -HEAD_END.length).split(LINE_END)) {
    const end = start + line.length
    positions.push(start + 3, start + line.indexOf(':') + 1, end - 1, end, end + 1, end + 2)
    start = end + LINE_END.length
  }
  return [...positions, head.length - 1]
}

/** Before the first byte, in the middle, and around each of the last bytes. */
function listBodyPositions (whole: string, bodyStart: number): number[] {
  const lengths = [0, 1, 2, 3, 12].filter(length => bodyStart + length < whole.length)
  const positions = [...lengths.map(length => bodyStart + length), Math.floor((bodyStart + whole.length) / 2)]
  const tail = TRAILERS.length + HEAD_END.length + 3
  for (let length = 1; length <= tail && whole.length - length >= bodyStart; length++) positions.push(whole.length - length)
  return positions
}

function formatChunks (body: string): string {
  const middle = Math.ceil(body.length / 2)
  return [body.slice(0, middle), body.slice(middle)].filter(chunk => chunk.length > 0).map(chunk => `${chunk.length.toString(16)}${LINE_END}${chunk}${LINE_END}`).join('')
}
