/**
 * How often gateways report to one another. Up to a bound every gateway reports to all; beyond it, to a few that relay
 * sums, so that the reports that one gateway sends and receives stay bounded while the deployment grows.
 *
 * @module
 */

/** Most gateways, this one included, that all report to one another. */
export const MAXIMUM_MESH_GATEWAYS = 16
const MINIMUM_INTERVAL_MILLISECONDS = 500
const MESH_INTERVAL_PER_GATEWAY_MILLISECONDS = 55
const MEMBER_INTERVAL_PER_GATEWAY_MILLISECONDS = 7
/** A relay sends each report to all gateways, with sums of its own for each. */
const RELAY_INTERVAL_PER_GATEWAY_MILLISECONDS = 12
const MINIMUM_UNRESPONSIVE_MILLISECONDS = 2000
/** Reports in a row that are missing when a gateway counts as absent. */
const MISSED_REPORTS = 4

/** Time between the reports of a gateway, in milliseconds. */
export function reportIntervalMilliseconds (gateways: number, isRelay: boolean): number {
  return Math.max(MINIMUM_INTERVAL_MILLISECONDS, gateways * intervalPerGateway(gateways, isRelay))
}

/** Time without a report after which a gateway counts as absent, in milliseconds. */
export function unresponsiveAfterMilliseconds (gateways: number): number {
  return Math.max(MINIMUM_UNRESPONSIVE_MILLISECONDS, MISSED_REPORTS * reportIntervalMilliseconds(gateways, gateways > MAXIMUM_MESH_GATEWAYS))
}

function intervalPerGateway (gateways: number, isRelay: boolean): number {
  if (gateways <= MAXIMUM_MESH_GATEWAYS) return MESH_INTERVAL_PER_GATEWAY_MILLISECONDS
  return isRelay ? RELAY_INTERVAL_PER_GATEWAY_MILLISECONDS : MEMBER_INTERVAL_PER_GATEWAY_MILLISECONDS
}
