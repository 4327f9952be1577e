/**
 * Stand-in for a client: sends requests over plain connections and reads the answers.
 *
 * @module
 */
import { randomBytes } from 'node:crypto'
import { Agent, request as createRequest } from 'node:http'

export function createAttemptId () {
  return randomBytes(8).toString('hex')
}

/** Returns an agent whose connections are kept open and reused. */
export function createAgent (maximumConnections) {
  return new Agent({ keepAlive: true, maxSockets: maximumConnections })
}

/**
 * Sends one attempt and resolves with what the client saw: the status, the headers, the body and whether the answer was
 * complete; `status` is 0 when there was none.
 */
export async function send ({ host, port, method = 'POST', path, headers = {}, body = '', attempt = createAttemptId(), deadline, agent, onChunk = () => {} }) {
  return await new Promise(resolve => {
    const chunks = []
    const request = createRequest({ host, port, method, path, agent, headers: { host: 'site.example', 'plumstage-attempt-id': attempt, 'plumstage-deadline-ms': String(deadline), 'content-length': Buffer.byteLength(body), ...headers } })
    let answer
    const finish = outcome => {
      clearTimeout(timer)
      const text = Buffer.concat(chunks)
      resolve({ attempt, status: answer?.statusCode ?? 0, headers: answer?.headers ?? {}, body: text, isComplete: answer?.complete === true, outcome })
    }
    const timer = setTimeout(() => {
      finish('gave-up')
      request.destroy()
    }, deadline)
    request.on('response', response => {
      answer = response
      response.on('data', chunk => {
        chunks.push(chunk)
        onChunk(chunk, response)
      })
      response.on('end', () => finish('answered'))
      response.on('error', () => {})
      response.on('close', () => finish('closed'))
    })
    request.on('error', () => finish('closed'))
    request.end(body)
  })
}
