/**
 * Closed-loop load and the processes of a measurement.
 *
 * @module
 */
export * from './measurements/closedLoop.js'
export * from './measurements/processGroup.js'
