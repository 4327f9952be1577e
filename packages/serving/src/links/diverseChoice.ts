/**
 * Chooses upstreams that are unlikely to fail for the same reason.
 *
 * @module
 */
import type { Upstream } from '../upstreams/upstreamTable.js'

/** Weight of a service that is among the chosen already, relative to such a failure domain. */
const SERVICE_WEIGHT = 2

/**
 * Chooses up to `count` upstreams: those with the lowest rank first, among them those of other services and failure domains
 * than `others` and the ones chosen before, and among equals the first in the list.
 */
export function chooseDiverse (upstreams: readonly Upstream[], count: number, others: readonly Upstream[] = [], rankOf: (upstream: Upstream) => number = () => 0): Upstream[] {
  const remaining = new Set(upstreams)
  const services = new Set(others.map(upstream => upstream.listed.service))
  const failureDomains = new Set(others.map(upstream => upstream.listed.failureDomain))
  const overlapOf = ({ listed }: Upstream): number => Number(services.has(listed.service)) * SERVICE_WEIGHT + Number(failureDomains.has(listed.failureDomain))
  const chosen: Upstream[] = []
  while (chosen.length < count && remaining.size > 0) {
    const next = [...remaining].reduce((best, upstream) => (rankOf(upstream) - rankOf(best) || overlapOf(upstream) - overlapOf(best)) < 0 ? upstream : best)
    remaining.delete(next)
    chosen.push(next)
    services.add(next.listed.service)
    failureDomains.add(next.listed.failureDomain)
  }
  return chosen
}
