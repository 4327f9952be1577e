/**
 * Rendezvous hashing: every gateway ranks the candidates for a key in the same order, without coordination.
 *
 * @module
 */

const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193
const FINAL_SHIFT = 15
const FINAL_MULTIPLIER = 0x2c1b3c6d

/** Returns the weight of a candidate for a key; the candidate with the highest weight ranks first. */
export function rendezvousWeight (key: string, candidate: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < key.length; index++) hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME)
  for (let index = 0; index < candidate.length; index++) hash = Math.imul(hash ^ candidate.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> FINAL_SHIFT), FINAL_MULTIPLIER)
  return (hash ^ (hash >>> FINAL_SHIFT)) >>> 0
}
