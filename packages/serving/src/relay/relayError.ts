/**
 * Errors of tunnels that could not be opened.
 *
 * @module
 */
import { PlumstageError } from '@plumstage/common'

/** Why a tunnel could not be opened. Nothing was sent to the upstream in any of these cases. */
export type RelayErrorKind =
  /** The peer was not reached, closed the connection, did not answer in time, or opens no tunnels. */
  | 'peer-unavailable'
  /** The peer does not accept the tunnel: it has lost its own links, is stopping, has too many, or does not know the sender. */
  | 'peer-refused'
  /** The upstream refused the connection of the peer. */
  | 'upstream-refused'
  /** The upstream did not accept the connection of the peer in time. */
  | 'upstream-unreachable'
  /** The upstream is not in the list of the peer, or is about to be removed from it. */
  | 'upstream-unlisted'

const RelayErrorClass = PlumstageError.subclass('RelayError')

/** A tunnel could not be opened. */
export type RelayError = InstanceType<typeof RelayErrorClass> & { kind: RelayErrorKind }

export const RelayError = {
  create (kind: RelayErrorKind, message: string): RelayError {
    return new RelayErrorClass(message, { props: { kind, code: `relay_${kind}` } }) as RelayError
  },

  /** Whether an attempt failed because no tunnel could be opened for it. */
  is (error: unknown): error is RelayError {
    return error instanceof RelayErrorClass
  }
}
