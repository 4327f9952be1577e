/**
 * Serves the platform's readiness probe. It is loaded during startup, so it imports nothing beyond `node:http`.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'

const OK = 200
const NOT_FOUND = 404
const UNAVAILABLE = 503

/** Creates the server; other paths than `path` get status 404. */
export function createReadinessServer (path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const status = isReady() ? OK : UNAVAILABLE
    response.writeHead(request.url === path ? status : NOT_FOUND, { 'content-length': '0' })
    response.end()
  })
}
