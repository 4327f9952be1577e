/**
 * Parts shared by all programs: time, randomness, identities, errors, settings, logging and instrumentation.
 *
 * @module
 */
export * from './boundedEventLog.js'
export * from './callContext.js'
export * from './clock.js'
export * from './connectionHeaders.js'
export * from './errors.js'
export * from './eventLog.js'
export * from './identities.js'
export * from './instrumentation.js'
export * from './listener.js'
export * from './logging.js'
export * from './networkAddress.js'
export * from './random.js'
export * from './settings.js'
export * from './steadyClock.js'
