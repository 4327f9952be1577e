/**
 * Shortens the values of upstreams' entries to what gateways keep and pass on to peers.
 *
 * @module
 */
import type { DeploymentDecoder } from './deploymentDecoder.js'

/** Values up to this length are kept as they are, also with fields that only other releases read. */
const SHORT_VALUE_CHARACTERS = 1024

/** Returns a value of bounded length that decodes to the same upstream; an empty one if it names none. */
export function shortenUpstreamValue (decoder: DeploymentDecoder, id: string, value: string): string {
  if (value.length <= SHORT_VALUE_CHARACTERS) return value
  return decoder.decodeUpstream(id, value).match(upstream => decoder.encodeUpstream(upstream), () => '')
}
