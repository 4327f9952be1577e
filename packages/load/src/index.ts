/**
 * Measurements and load.
 *
 * @module
 */
export * from './measurements/closedLoop.js'
export * from './measurements/processGroup.js'
