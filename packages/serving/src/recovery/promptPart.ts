/**
 * Parts of prompts, and crashes of upstreams, in the form in which gateways count them and tell each other of them.
 *
 * @module
 */
import type { GenerationDemand } from '../callers/callerProtocol.js'
import { rendezvousWeight } from '../routing/rendezvousHash.js'
import { serviceSoftwareOf } from '../streams/software.js'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'

/** Parts beyond this number are not looked at, so that one request can't fill the tables. */
const MAXIMUM_PARTS = 16
const LOG_RADIX = 16

/** 32-bit hash of a part of a prompt and of the software that processes it. */
export type PartKey = number

/** 32-bit hash of an incarnation of an upstream that crashed. */
export type CrashId = number

/** Returns the parts of a prompt that other requests may share: all but the last. */
export function sharedPartIdsOf (generation: GenerationDemand | undefined): readonly string[] {
  return generation?.segments.slice(0, -1).slice(0, MAXIMUM_PARTS).map(({ id }) => id) ?? []
}

/** Returns the keys of parts at the software of an upstream: another version may process the same part without a crash. */
export function partKeysOf (partIds: readonly string[], upstream: ListedUpstream): PartKey[] {
  const software = serviceSoftwareOf(upstream)
  return partIds.map(id => rendezvousWeight(`${software}/`, id))
}

export function crashIdOf ({ id, incarnation }: ListedUpstream): CrashId {
  return rendezvousWeight(`${id}/`, incarnation)
}

/** Returns the key of a part as it appears in logs. */
export function formatPart (part: PartKey): string {
  return part.toString(LOG_RADIX)
}
