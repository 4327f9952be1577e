/**
 * A worker that streams, as a process of its own, so that it can be killed. It tells its parent what it registers in the
 * store and which requests it runs.
 *
 * @module
 */
import { Worker } from './worker.mjs'

const { host, service, slots, prefillMilliseconds, eventMilliseconds, unframedShare } = JSON.parse(process.argv[2])
const tell = message => process.send(message)

/** Number of events of a stream; the same at every worker. */
function countEvents (request) {
  return Number(request.headers.get('plumstage-token-count').split(',')[1])
}

/**
 * Streams the events after the last one that the caller has. Each write ends with the beginning of the next event, as its
 * id is known before its text.
 */
function stream (request, worker) {
  const last = countEvents(request)
  const first = Number(request.headers.get('last-event-id') ?? 0) + 1
  const isUnframed = Math.random() < unframedShare
  const write = text => request.write(isUnframed ? text : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`)
  let id = first
  const produce = () => {
    if (request.socket.destroyed) return
    if (id > last) return end()
    write(`${id === first ? `id: ${id}\n` : ''}data: text ${id} of ${last}\n\n${id < last ? `id: ${id + 1}\n` : ''}`)
    id++
    setTimeout(produce, eventMilliseconds)
  }
  const end = () => {
    if (isUnframed) return request.socket.end(() => request.finish())
    request.write('0\r\n\r\n')
    request.finish()
  }
  tell({ kind: 'stream', attempt: request.attempt, worker: worker.id, first, isUnframed })
  request.write(`${worker.headOf(request)}Content-Type: text/event-stream\r\n${isUnframed ? 'Connection: close' : 'Transfer-Encoding: chunked'}\r\n\r\n`)
  setTimeout(produce, prefillMilliseconds * (0.8 + 0.4 * Math.random()))
}

const worker = new Worker({ service, slots, serve: stream, record: (kind, fields) => { if (kind !== 'run') tell({ kind, ...fields }) }, store: { write: (key, value) => tell({ kind: 'entry', key, value }) } })
await worker.start(host)
