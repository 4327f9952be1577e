/**
 * Responses of an upstream that works on each request for as long as the request's path says, in milliseconds.
 *
 * @module
 */
import { formatResponseHead, formatServerSentEvent } from './upstreamStandin.js'
import type { ReceivedRequest, ResponseScript } from './upstreamStandin.js'

export { HOST, TOKEN } from './platformDeployment.js'

const EVENT_MILLISECONDS = 250
const STREAM_PATH = '/summary/'

/** Returns the events of a stream that takes the given time. */
export function formatServerSentEvents (milliseconds: number): string[] {
  return Array.from({ length: Math.max(1, Math.floor(milliseconds / EVENT_MILLISECONDS)) }, (_, index) => formatServerSentEvent(index + 1))
}

/** Works on each request for the time that its path names: a stream sends events meanwhile, others their id in the end. */
export function workAsAsked (): ResponseScript {
  return (request, upstream) => {
    const milliseconds = Number(request.target.split('/')[2])
    const extra = request.target.startsWith(STREAM_PATH) ? 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n' : `Content-Length: ${request.requestId.length}\r\n`
    const head = `${formatResponseHead(request, upstream, '200 OK', extra)}\r\n`
    if (request.target.startsWith(STREAM_PATH)) return stream(request, head, milliseconds)
    setTimeout(() => request.socket.write(`${head}${request.requestId}`), milliseconds)
  }
}

function stream ({ socket }: ReceivedRequest, head: string, milliseconds: number): void {
  const events = formatServerSentEvents(milliseconds)
  const startedAt = Date.now()
  socket.write(head)
  const timer = setInterval(() => {
    if (socket.destroyed) return clearInterval(timer)
    const event = events.shift()
    if (event !== undefined) socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
    if (Date.now() < startedAt + milliseconds || events.length > 0) return
    clearInterval(timer)
    socket.write('0\r\n\r\n')
  }, EVENT_MILLISECONDS)
}
