/**
 * Tells connections that were reset from those that were closed properly.
 *
 * @module
 */
import type { Socket } from 'node:net'

/**
 * Returns the IP address at the other end of a connection; undefined when there is none any more. Node caches the
 * address in the object on which it is read; reading it on a derived object keeps the socket itself without it, which
 * `wasReset` depends on.
 */
export function remoteHostOf (socket: Socket): string | undefined {
  const derived: Socket = Object.create(socket)
  return derived.remoteAddress
}

/**
 * Whether a connection that has ended was reset. Node reports a reset that arrives together with data as an ordinary
 * end; but a socket that was reset has no remote address any more, while one that was closed properly still has one.
 * Nothing may read the remote address of the socket itself earlier, because Node caches it at the first read. A socket
 * whose own end was sent before has no remote address in either case; it counts as closed properly.
 */
export function wasReset (socket: Socket): boolean {
  return !socket.writableFinished && remoteHostOf(socket) === undefined
}
