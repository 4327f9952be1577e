/** The configuration of a small deployment: one model service, one plain service. */
export const HOST = 'ficu95.example'
export const KEY = 'i9n73hh2b9wu3fexd9dn'
export const TENANT = 'hule930'

export function configuration (fields = {}) {
  return JSON.stringify({
    version: 7,
    routes: [
      { name: 'manual-qa', host: HOST, prefix: '/manual/', route_type: 'streaming', timeout_ms: 8000, objective_ms: 800, priority: 0, service: 'model', max_attempts: 2, anonymous: false, sticky: true, resumable: true, gap_objective_ms: 300 },
      { name: 'page-summary', host: HOST, prefix: '/summary/', route_type: 'streaming', timeout_ms: 4000, objective_ms: 1200, priority: 1, service: 'model', max_attempts: 1, anonymous: false, sticky: true, resumable: false, gap_objective_ms: 300 },
      { name: 'page-load', host: HOST, prefix: '/page/', route_type: 'non_idempotent', timeout_ms: 5000, objective_ms: 121, priority: 2, service: 'front', max_attempts: 1, anonymous: false, sticky: false, resumable: false },
      { name: 'search-hit', host: HOST, prefix: '/search/', route_type: 'idempotent', timeout_ms: 5000, objective_ms: 121, priority: 2, service: 'front', max_attempts: 2, anonymous: false, sticky: false, resumable: false }
    ],
    services: [
      { name: 'model', health_path: '/health', max_conns: 370, protocol: 'h1', tls: false, engine: { capacity: 64, kv_capacity: 344095, models: [{ name: 'm' }] } },
      { name: 'front', health_path: '/health', max_conns: 370, protocol: 'h1', tls: false }
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1, unit: 'tokens', uncached_tokens: 200, rate_per_s: 0, burst: 0 }],
    ...fields
  })
}
