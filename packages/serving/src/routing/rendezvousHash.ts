/**
 * Rendezvous hashing: every gateway ranks the same upstreams first for the same key, without talking to the others.
 *
 * @module
 */

const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193
const FINAL_SHIFT = 15
const FINAL_MULTIPLIER = 0x2c1b3c6d

/** Returns the weight of an owner for a key; the owner with the highest weight comes first. */
export function rendezvousWeight (key: string, owner: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < key.length; index++) hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME)
  for (let index = 0; index < owner.length; index++) hash = Math.imul(hash ^ owner.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> FINAL_SHIFT), FINAL_MULTIPLIER)
  return (hash ^ (hash >>> FINAL_SHIFT)) >>> 0
}
