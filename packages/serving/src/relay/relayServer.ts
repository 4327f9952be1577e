/**
 * Opens tunnels to upstreams for other gateways that have lost their own connections to them. It carries bytes only:
 * quotas, routing, retries and limits stay with the gateway that accepted the request.
 *
 * @module
 */
import { STATUS_CODES } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, Instrumentation, Timestamp } from '@plumstage/common'
import { remoteHostOf } from '../upstreams/socketReset.js'
import { REFUSAL_HEADER, REFUSAL_STATUSES, TUNNEL_OPEN_STATUS, decodeTunnelTarget } from './relayProtocol.js'
import type { TunnelRefusal } from './relayProtocol.js'
import { RelayTunnel } from './relayTunnel.js'

/** Number of tunnels that a gateway carries at the same time, for all others together. */
export const MAXIMUM_TUNNELS = 512
/** Number of tunnels that a gateway carries at the same time for one other. */
export const MAXIMUM_TUNNELS_PER_GATEWAY = 256

/** What a gateway knows about an upstream that a tunnel is asked for. */
export type RelayTarget =
  | { kind: 'listed', address: string }
  | { kind: 'leaving' }
  | { kind: 'unlisted' }

/** Whether a gateway opens tunnels now. */
export type TunnelAcceptance = 'accepted' | 'links-lost' | 'stopping'

/** Dependencies of the server. */
export interface RelayServerOptions {
  /** Finds an upstream by its id in the gateway's own list. */
  findUpstream: (id: string) => RelayTarget
  /** Whether an IP address is that of a gateway of the deployment. */
  isGateway: (host: string) => boolean
  acceptsTunnels: () => TunnelAcceptance
  clock: Clock
  instrumentation: Instrumentation
}

/** A request for a tunnel. */
interface TunnelRequest {
  /** Connection that the request came on. */
  gateway: Socket
  /** IP address of the sender; undefined when its connection is already closed. */
  host: string | undefined
  upstreamId: string | undefined
  /** Bytes that came behind the request. */
  head: Buffer
}

/** Where an accepted tunnel leads. */
interface AcceptedTunnel {
  host: string
  upstreamId: string
  upstreamAddress: string
}

/** Answers the requests for tunnels that arrive at HTTP servers, and keeps the tunnels. */
export class RelayServer {
  private readonly _options: RelayServerOptions
  private readonly _tunnels = new Set<RelayTunnel>()
  private _bytesToUpstreams = 0
  private _bytesToGateways = 0

  private constructor (options: RelayServerOptions) {
    this._options = options
  }

  static create (options: RelayServerOptions): RelayServer {
    return new RelayServer(options)
  }

  /** Number of tunnels that are being opened or are open. */
  get openTunnels (): number {
    return this._tunnels.size
  }

  /** Bytes that were carried from gateways to upstreams. */
  get bytesToUpstreams (): number {
    return this._bytesToUpstreams
  }

  /** Bytes that were carried from upstreams to gateways. */
  get bytesToGateways (): number {
    return this._bytesToGateways
  }

  /** Bytes that were received and not yet passed on. */
  get bufferedBytes (): number {
    return [...this._tunnels].reduce((sum, tunnel) => sum + tunnel.bufferedBytes, 0)
  }

  /** Number of tunnels of the gateway with an IP address. */
  tunnelsOf (host: string): number {
    return [...this._tunnels].filter(tunnel => tunnel.gatewayHost === host).length
  }

  /** Answers the requests for tunnels that arrive at a server. */
  attach (server: Server): void {
    server.on('connect', (request: IncomingMessage, stream, head: Buffer) => {
      const gateway = stream as Socket
      gateway.on('error', () => {})
      void this._answer({ gateway, host: remoteHostOf(gateway), upstreamId: decodeTunnelTarget(request.url), head })
    })
  }

  /** Closes all tunnels immediately. */
  stop (): void {
    for (const tunnel of this._tunnels) tunnel.close()
  }

  private async _answer (request: TunnelRequest): Promise<void> {
    const accepted = this._accept(request)
    if (accepted.isErr()) return this._refuse(request, accepted.error)
    const tunnel = this._createTunnel(request.gateway, accepted.value)
    const opened = await tunnel.waitForUpstream()
    if (opened.isErr()) {
      tunnel.abandonUpstream()
      if (request.gateway.destroyed) return
      return this._refuse(request, opened.error)
    }
    request.gateway.write(formatHead(TUNNEL_OPEN_STATUS))
    tunnel.join(request.head)
    this._options.instrumentation.emit('tunnel-opened', { gateway: tunnel.gatewayHost, upstream: tunnel.upstreamId, tunnels: this.openTunnels })
  }

  private _accept ({ host, upstreamId }: TunnelRequest): Result<AcceptedTunnel, TunnelRefusal> {
    if (host === undefined || !this._options.isGateway(host)) return err('sender-unknown')
    const acceptance = this._options.acceptsTunnels()
    if (acceptance !== 'accepted') return err(acceptance)
    if (this.openTunnels >= MAXIMUM_TUNNELS || this.tunnelsOf(host) >= MAXIMUM_TUNNELS_PER_GATEWAY) return err('too-many-tunnels')
    if (upstreamId === undefined) return err('upstream-unlisted')
    const target = this._options.findUpstream(upstreamId)
    if (target.kind === 'unlisted') return err('upstream-unlisted')
    if (target.kind === 'leaving') return err('upstream-leaving')
    return ok({ host, upstreamId, upstreamAddress: target.address })
  }

  private _createTunnel (gateway: Socket, { host, upstreamId, upstreamAddress }: AcceptedTunnel): RelayTunnel {
    const { clock } = this._options
    const startedAt = clock.now()
    const tunnel: RelayTunnel = RelayTunnel.create({
      gateway,
      gatewayHost: host,
      upstreamId,
      upstreamAddress,
      clock,
      onBytesToUpstream: count => { this._bytesToUpstreams += count },
      onBytesToGateway: count => { this._bytesToGateways += count },
      onClosed: () => this._remove(tunnel, startedAt)
    })
    this._tunnels.add(tunnel)
    return tunnel
  }

  private _remove (tunnel: RelayTunnel, startedAt: Timestamp): void {
    const { clock, instrumentation } = this._options
    this._tunnels.delete(tunnel)
    instrumentation.emit('tunnel-closed', { gateway: tunnel.gatewayHost, upstream: tunnel.upstreamId, milliseconds: Math.round(clock.now() - startedAt), tunnels: this.openTunnels })
  }

  private _refuse ({ gateway, host, upstreamId }: TunnelRequest, refusal: TunnelRefusal): void {
    this._options.instrumentation.emit('tunnel-refused', { gateway: host, upstream: upstreamId, reason: refusal })
    gateway.end(formatHead(REFUSAL_STATUSES[refusal], refusal), () => gateway.destroy())
  }
}

function formatHead (status: number, refusal?: TunnelRefusal): string {
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`]
  if (refusal) lines.push(`${REFUSAL_HEADER}: ${refusal}`, 'connection: close', 'content-length: 0')
  return `${lines.join('\r\n')}\r\n\r\n`
}
