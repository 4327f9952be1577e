/**
 * Identity of the software that an upstream runs. What two versions write does not fit together, so a stream that has
 * begun may go on only at upstreams of the same identity, also when its route has moved to another service meanwhile.
 *
 * @module
 */
import type { ListedUpstream } from '../upstreams/listedUpstream.js'

/** Stands for all upstreams of a service that do not state a version. */
export const UNSTATED = 'unstated'

/** A service and the version of its software, as text. */
export type ServiceSoftware = string

/** Version of an upstream's software, or one run of an upstream that does not state a version. */
export type SoftwareId = string

/**
 * Returns the identity of an upstream's software. Without a stated version nothing is known to be equal, so the identity
 * is that of this one run of the upstream.
 */
export function softwareOf ({ softwareVersion, id, incarnation }: ListedUpstream): SoftwareId {
  return softwareVersion ?? `instance ${id}/${incarnation}`
}

export function serviceSoftwareOf ({ service, softwareVersion }: ListedUpstream): ServiceSoftware {
  return `${service}@${softwareVersion ?? UNSTATED}`
}
