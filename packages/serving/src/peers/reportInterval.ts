/**
 * Intervals between the reports of gateways. In a small deployment every gateway reports to all its peers. In a larger
 * one it reports to a few relays, which send aggregates, so that the number of reports that a gateway sends and receives
 * stays bounded as the deployment grows.
 *
 * @module
 */

/** Maximum number of gateways, this one included, that report to each other without relays. */
export const MAXIMUM_MESH_GATEWAYS = 16
const MINIMUM_INTERVAL_MILLISECONDS = 500
const MESH_INTERVAL_PER_GATEWAY_MILLISECONDS = 55
const MEMBER_INTERVAL_PER_GATEWAY_MILLISECONDS = 7
/** Longer than for other gateways, because a relay sends each report to all gateways and computes an aggregate for each. */
const RELAY_INTERVAL_PER_GATEWAY_MILLISECONDS = 12
const MINIMUM_UNRESPONSIVE_MILLISECONDS = 2000
/** Number of consecutive missing reports after which a gateway counts as unresponsive. */
const MISSED_REPORTS = 4

/** Time between the reports of a gateway, in milliseconds. */
export function reportIntervalMilliseconds (gateways: number, isRelay: boolean): number {
  return Math.max(MINIMUM_INTERVAL_MILLISECONDS, gateways * intervalPerGateway(gateways, isRelay))
}

/** Time without a report after which a gateway counts as unresponsive, in milliseconds. */
export function unresponsiveAfterMilliseconds (gateways: number): number {
  return Math.max(MINIMUM_UNRESPONSIVE_MILLISECONDS, MISSED_REPORTS * reportIntervalMilliseconds(gateways, gateways > MAXIMUM_MESH_GATEWAYS))
}

function intervalPerGateway (gateways: number, isRelay: boolean): number {
  if (gateways <= MAXIMUM_MESH_GATEWAYS) return MESH_INTERVAL_PER_GATEWAY_MILLISECONDS
  return isRelay ? RELAY_INTERVAL_PER_GATEWAY_MILLISECONDS : MEMBER_INTERVAL_PER_GATEWAY_MILLISECONDS
}
