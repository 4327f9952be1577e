/**
 * What gateways say to each other when one opens a tunnel to an upstream through another: an HTTP CONNECT request whose
 * target is the id of the upstream. After a response with status 200 the gateway sends the bytes for the upstream as they
 * are, and the peer sends those from the upstream in frames. Another response names the reason in a header.
 *
 * @module
 */

/** Header that names the reason of a refusal. */
export const REFUSAL_HEADER = 'plumstage-tunnel-refusal'

/** Status of the response to a request whose tunnel is open. */
export const TUNNEL_OPEN_STATUS = 200

/** Status of the response for each reason not to open a tunnel. Nothing was sent to the upstream in any of these cases. */
export const REFUSAL_STATUSES = {
  /** The request does not come from a gateway of the deployment. */
  'sender-unknown': 403,
  /** The upstream is not in the list of the peer. */
  'upstream-unlisted': 404,
  /** The upstream is about to be removed. */
  'upstream-leaving': 404,
  /** The peer has lost its own connections to upstreams. */
  'links-lost': 503,
  /** The peer is shutting down. */
  stopping: 503,
  /** The peer has as many tunnels as it allows, in all or for this gateway. */
  'too-many-tunnels': 503,
  /** The peer could not connect to the upstream. */
  'upstream-refused': 502,
  /** The upstream did not accept the connection of the peer in time. */
  'upstream-timeout': 502
} as const

/** Reason why a peer does not open a tunnel. */
export type TunnelRefusal = keyof typeof REFUSAL_STATUSES

/** Returns whether a header's value names a reason that this release knows. */
export function isTunnelRefusal (value: unknown): value is TunnelRefusal {
  return typeof value === 'string' && Object.hasOwn(REFUSAL_STATUSES, value)
}

/** Returns the target of the request for a tunnel to an upstream. */
export function encodeTunnelTarget (upstreamId: string): string {
  return encodeURIComponent(upstreamId)
}

/** Returns the id of the upstream that a request asks for; undefined when its target is malformed. */
export function decodeTunnelTarget (target: string | undefined): string | undefined {
  if (target === undefined) return undefined
  try {
    return decodeURIComponent(target)
  } catch {
    return undefined
  }
}
