/**
 * Stand-ins for the platform and the upstreams. They serve only tests, measurements and the embedded mode.
 *
 * @module
 */
export * from './engine/completionFormat.js'
export * from './engine/engineCounts.js'
export * from './engine/engineFaults.js'
export * from './engine/engineStandin.js'
export * from './engine/tokenSource.js'
export * from './instances/instanceListStandin.js'
export * from './instances/instanceListState.js'
export * from './keyValue/keyValueFaults.js'
export * from './keyValue/keyValueStandin.js'
export * from './keyValue/keyValueStore.js'
export * from './plain/plainServiceStandin.js'
export * from './executionLog.js'
