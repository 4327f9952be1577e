/**
 * Modules shared by all programs: time, randomness, ids, errors, settings, logging and instrumentation.
 *
 * @module
 */
export * from './backgroundTasks.js'
export * from './boundedText.js'
export * from './boundedEventLog.js'
export * from './byteCollector.js'
export * from './callContext.js'
export * from './clock.js'
export * from './connectionReset.js'
export * from './connectionResets.js'
export * from './guardedClock.js'
export * from './hopByHopHeaders.js'
export * from './errors.js'
export * from './eventLog.js'
export * from './identifiers.js'
export * from './instrumentation.js'
export * from './jsonText.js'
export * from './listener.js'
export * from './logging.js'
export * from './networkAddress.js'
export * from './random.js'
export * from './settings.js'
export * from './monotonicClock.js'
export * from './periodicLog.js'
export * from './timeOfDayMonitor.js'
