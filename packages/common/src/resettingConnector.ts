/**
 * Opens connections for the HTTP client, which closes those of calls that are given up in the ordinary way.
 *
 * @module
 */
import { Socket } from 'node:net'
import { buildConnector } from 'undici'
import { resetWhenDestroyed } from './connectionReset.js'
import type { ConnectionResets, ConnectionTarget } from './connectionResets.js'

/** Limits and observers of the connections. */
export interface ResettingConnectorOptions {
  target: ConnectionTarget
  resets: ConnectionResets
  /** Time limit for establishing a connection, in milliseconds. */
  timeout: number
  /** Called with each connection before the HTTP client receives it. */
  onConnection?: (socket: Socket) => void
}

/** Returns a connector for an undici pool; when the pool ends one of its connections, the connection is reset. */
export function createResettingConnector ({ target, resets, timeout, onConnection = () => {} }: ResettingConnectorOptions): buildConnector.connector {
  const connect = buildConnector({ timeout })
  return (options, callback) => connect(options, (...outcome) => {
    const [, socket] = outcome
    if (socket instanceof Socket) {
      resetWhenDestroyed(socket, () => resets.record(target))
      onConnection(socket)
    }
    callback(...outcome)
  })
}
