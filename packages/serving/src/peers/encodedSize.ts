/**
 * Estimates how long what gateways tell each other becomes when it is encoded, without encoding it.
 *
 * @module
 */

/** Tag and length of a field, at most. */
const FIELD_BYTES = 5
/** A number with its tag, at most: of 64 bits, since no count is larger than a safe integer. */
const NUMBER_BYTES = 10
const BOOLEAN_BYTES = 2

/** Returns at least as many bytes as a value takes as a field of a message. */
export function estimateEncodedBytes (value: unknown): number {
  if (typeof value === 'string') return FIELD_BYTES + Buffer.byteLength(value)
  if (typeof value === 'number' || typeof value === 'bigint') return NUMBER_BYTES
  if (typeof value === 'boolean') return BOOLEAN_BYTES
  if (typeof value !== 'object' || value === null) return 0
  return Object.values(value).reduce<number>((sum, field) => sum + estimateEncodedBytes(field), FIELD_BYTES)
}
