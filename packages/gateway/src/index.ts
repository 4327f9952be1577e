/**
 * The gateway between callers and upstreams.
 *
 * @module
 */
export * from './gateway.js'
export * from './gatewaySettings.js'
