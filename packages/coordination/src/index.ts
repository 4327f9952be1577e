/**
 * Interfaces to the platform's key-value service and instance list, their adapters, and leases for duties.
 *
 * @module
 */
export * from './duties/dutyLease.js'
export * from './duties/dutyTask.js'
export * from './instances/instanceList.js'
export * from './keyValue/entrySelection.js'
export * from './keyValue/etcdKeyValueService.js'
export * from './keyValue/keySpace.js'
export * from './keyValue/keyValueService.js'
export * from './keyValue/conditionalWriter.js'
export * from './keyValue/storeEra.js'
export * from './keyValue/storePosition.js'
