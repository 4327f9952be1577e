/**
 * Creates pools of connections to one upstream. Each connection carries one request at a time and is reused while the
 * upstream keeps it open.
 *
 * @module
 */
import { Pool } from 'undici'
import type { buildConnector } from 'undici'

/** Used when an upstream does not state how long it keeps an idle connection open. */
const KEEP_ALIVE_MILLISECONDS = 4000
const MAXIMUM_KEEP_ALIVE_MILLISECONDS = 60_000
/** A connection is no longer reused from this long before the upstream closes it. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 400

/** A client for one request; `release` closes it once that has ended. */
export interface SeparateClient {
  client: Pool
  release: () => void
}

/** Creates a pool for the upstream at `address`, whose connections `connect` opens. */
export function createUpstreamPool (address: string, connect: buildConnector.connector): Pool {
  return new Pool(`http://${address}`, {
    connections: null,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    keepAliveMaxTimeout: MAXIMUM_KEEP_ALIVE_MILLISECONDS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect
  })
}
