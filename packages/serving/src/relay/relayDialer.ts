/**
 * Opens tunnels to upstreams through other gateways.
 *
 * @module
 */
import { request as createRequest } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { describeError, resetWhenDestroyed, splitAddress } from '@plumstage/common'
import type { Clock, ConnectionResets } from '@plumstage/common'
import { RelayError } from './relayError.js'
import type { RelayErrorKind } from './relayError.js'
import { REFUSAL_HEADER, TUNNEL_OPEN_STATUS, encodeTunnelTarget, isTunnelRefusal } from './relayProtocol.js'
import type { TunnelRefusal } from './relayProtocol.js'
import { TunnelConnection } from './tunnelConnection.js'

const DIAL_TIMEOUT_MILLISECONDS = 700
const KEEP_ALIVE_DELAY_MILLISECONDS = 10_000

const ERROR_KINDS: Record<TunnelRefusal, RelayErrorKind> = {
  'sender-unknown': 'peer-refused',
  'links-lost': 'peer-refused',
  stopping: 'peer-refused',
  'too-many-tunnels': 'peer-refused',
  'upstream-unlisted': 'upstream-unlisted',
  'upstream-leaving': 'upstream-unlisted',
  'upstream-refused': 'upstream-refused',
  'upstream-timeout': 'upstream-unreachable'
}

/** Dependencies of the dialer. */
export interface RelayDialerOptions {
  /** IP address of this gateway that its peers know, from which it connects to them. */
  localHost: string
  clock: Clock
  /** Counts the connections to peers that this gateway resets. */
  connectionResets: ConnectionResets
}

/** Opens tunnels for one gateway. */
export class RelayDialer {
  private readonly _options: RelayDialerOptions

  private constructor (options: RelayDialerOptions) {
    this._options = options
  }

  static create (options: RelayDialerOptions): RelayDialer {
    return new RelayDialer(options)
  }

  /** Opens a tunnel through the peer at an address to an upstream of its list. Nothing is sent to the upstream yet. */
  async open (peerAddress: string, upstreamId: string): Promise<Result<TunnelConnection, RelayError>> {
    try {
      return await this._send(peerAddress, this._createRequest(peerAddress, upstreamId))
    } catch (error) {
      return err(createUnavailable(peerAddress, describeError(error)))
    }
  }

  private async _send (peerAddress: string, request: ClientRequest): Promise<Result<TunnelConnection, RelayError>> {
    const { clock, connectionResets } = this._options
    return await new Promise(resolve => {
      const timer = clock.schedule(clock.now() + DIAL_TIMEOUT_MILLISECONDS, () => request.destroy(new Error('It did not answer in time.')))
      const finish = (outcome: Result<TunnelConnection, RelayError>): void => {
        timer.cancel()
        resolve(outcome)
      }
      // A tunnel that is given up must not bring the upstream what it was given before.
      request.once('socket', socket => resetWhenDestroyed(socket, () => connectionResets.record('peer')))
      request.once('connect', (response, socket, head) => finish(readAnswer(peerAddress, response, socket, head)))
      request.on('error', error => finish(err(createUnavailable(peerAddress, error.message))))
      request.end()
    })
  }

  private _createRequest (peerAddress: string, upstreamId: string): ClientRequest {
    const { localHost: localAddress } = this._options
    const { host, port } = splitAddress(peerAddress)
    return createRequest({ method: 'CONNECT', host, port, path: encodeTunnelTarget(upstreamId), localAddress, agent: false })
  }
}

function createUnavailable (peerAddress: string, reason: string): RelayError {
  return RelayError.create('peer-unavailable', `No tunnel could be opened through ${peerAddress}: ${reason}`)
}

function readAnswer (peerAddress: string, { statusCode, headers }: IncomingMessage, socket: Socket, head: Buffer): Result<TunnelConnection, RelayError> {
  socket.on('error', () => {})
  if (statusCode === TUNNEL_OPEN_STATUS) return ok(createConnection(socket, head))
  socket.destroy()
  const refusal = headers[REFUSAL_HEADER]
  if (!isTunnelRefusal(refusal)) return err(RelayError.create('peer-unavailable', `${peerAddress} opens no tunnels: it answered ${statusCode}.`))
  return err(RelayError.create(ERROR_KINDS[refusal], `${peerAddress} opened no tunnel: ${refusal}.`))
}

function createConnection (socket: Socket, head: Buffer): TunnelConnection {
  socket.setNoDelay(true)
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MILLISECONDS)
  return TunnelConnection.create(socket, head)
}
