/**
 * Timeline of the events of all processes.
 *
 * @module
 */
export * from './eventReader.js'
export * from './quotaReplay.js'
export * from './requestOutcomes.js'
export * from './timeline.js'
export * from './timelineFormat.js'
