/**
 * The gateway between callers and upstreams: the gateway itself, and the decisions that it is made of.
 *
 * @module
 */
export * from './admission/dispatcher.js'
export * from './admission/fairQueue.js'
export * from './admission/retryBudget.js'
export * from './attempts/dispatchBoundary.js'
export * from './attempts/eventScanner.js'
export * from './attempts/requestLifecycle.js'
export * from './claims/claimPolicy.js'
export * from './claims/claimRecord.js'
export * from './claims/claimRegistry.js'
export * from './configuration/configurationState.js'
export * from './gateway.js'
export * from './gatewaySettings.js'
export * from './membership/member.js'
export * from './membership/membershipTable.js'
export * from './recovery/reclaimPlanner.js'
export * from './routing/prefixIndex.js'
export * from './routing/router.js'
export * from './upstreams/upstream.js'
export * from './upstreams/upstreamTable.js'
