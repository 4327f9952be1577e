/**
 * Identity of the software that an upstream runs. What two versions write does not fit together, so a stream that has
 * begun may go on only at upstreams of the same identity.
 *
 * @module
 */
import type { ListedUpstream } from '../upstreams/listedUpstream.js'

/** Service and version of an upstream's software, as text. */
export type SoftwareId = string

/**
 * Returns the identity of an upstream's software. Without a stated version nothing is known to be equal, so the identity
 * is that of this one run of the upstream.
 */
export function softwareOf ({ service, softwareVersion, id, incarnation }: ListedUpstream): SoftwareId {
  return softwareVersion === undefined ? `${service}@instance ${id}/${incarnation}` : `${service}@${softwareVersion}`
}
