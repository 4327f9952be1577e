/**
 * Configuration records: kinds, schema versions, conversion to one internal model, and validation.
 *
 * @module
 */
export * from './configuration.js'
export * from './model.js'
export * from './recordFile.js'
export * from './recordReader.js'
export * from './recordSetValidation.js'
export * from './tombstone.js'
export { API_VERSION_V1 } from './schemaV1.js'
export { API_VERSION_V1BETA1 } from './schemaV1beta1.js'
