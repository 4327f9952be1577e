/**
 * Answers the platform's question whether the gateway is ready. It is part of the start, so it loads nothing further.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'

const OK = 200
const NOT_FOUND = 404
const UNAVAILABLE = 503

/** Creates the server; only `path` is served. */
export function createReadinessServer (path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const status = isReady() ? OK : UNAVAILABLE
    response.writeHead(request.url === path ? status : NOT_FOUND, { 'content-length': '0' })
    response.end()
  })
}
