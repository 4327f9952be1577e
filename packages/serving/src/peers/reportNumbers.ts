/**
 * Numbers in the form in which gateways send them to each other. Sums may grow beyond a field, so they are bounded; a report
 * is sent whatever has been counted.
 *
 * @module
 */

const MAXIMUM_UINT32 = 2 ** 32 - 1

/** Returns the nearest number that fits into an unsigned field of 32 bits; 0 for what is not a number. */
export function toUint32 (value: number): number {
  return toBounded(value, MAXIMUM_UINT32)
}

/** Returns the nearest number that fits into an unsigned field of 64 bits and can be read as a number again. */
export function toUint64 (value: number): bigint {
  return BigInt(toBounded(value, Number.MAX_SAFE_INTEGER))
}

function toBounded (value: number, maximum: number): number {
  return Number.isNaN(value) ? 0 : Math.round(Math.max(0, Math.min(maximum, value)))
}
