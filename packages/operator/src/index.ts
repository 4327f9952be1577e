/**
 * The operators' command line.
 *
 * @module
 */
export * from './changePlan.js'
export * from './commands/operatorCommands.js'
export * from './inForceWaiter.js'
export * from './gatewayClient.js'
export * from './operatorErrors.js'
export * from './recordFiles.js'
export * from './recordStore.js'
