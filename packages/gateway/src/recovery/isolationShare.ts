/**
 * Divides the upstreams of a service among the gateways for running suspects, so that no two gateways run suspects on
 * the same one.
 *
 * @module
 */

/** Returns the addresses on which the gateway `self` may run suspects. */
export function isolationShareOf (gateways: readonly string[], self: string, addresses: readonly string[]): Set<string> {
  const sortedGateways = [...gateways].sort()
  const sortedAddresses = [...addresses].sort()
  const position = sortedGateways.indexOf(self)
  if (sortedAddresses.length === 0) return new Set()
  if (sortedGateways.length > sortedAddresses.length) return new Set([sortedAddresses[position % sortedAddresses.length]])
  return new Set(sortedAddresses.filter((_address, index) => index % sortedGateways.length === position))
}
