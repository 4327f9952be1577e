/**
 * Interfaces to the platform and the adapters that speak its protocols.
 *
 * @module
 */
export * from './duties/dutyLease.js'
export * from './duties/dutyTask.js'
export * from './instances/instanceList.js'
export * from './keyValue/etcdKeyValueService.js'
export * from './keyValue/keySpace.js'
export * from './keyValue/keyValueService.js'
export * from './keyValue/conditionalWriter.js'
