/**
 * The configuration of a small deployment.
 *
 * @module
 */

export const KEY = 'i9n73hh2b9wu3fexd9dn'
const UNLIMITED = 0
/** What clients may send. */
export const LIMITS = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }

/** Returns a route of the common host. */
export function route ({ name, prefix, type, service, timeout, attempts = 1, ...rest }) {
  return { name, host: 'site.example', prefix, route_type: type, timeout_ms: timeout, objective_ms: 400, priority: 1, service, max_attempts: attempts, anonymous: false, sticky: type === 'streaming', ...rest }
}

/** Returns a configuration with one tenant without a quota. */
export function configuration ({ version = 7, routes, services }) {
  return {
    version,
    routes,
    services: services.map(service => ({ health_path: '/health', max_conns: 370, protocol: 'h1', tls: false, ...service })),
    limits: LIMITS,
    tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1, unit: 'tokens', uncached_tokens: 200, rate_per_s: UNLIMITED, burst: UNLIMITED }]
  }
}

export const AUTHORIZATION = { authorization: `Bearer ${KEY}` }
