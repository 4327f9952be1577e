/**
 * The order of configurations. Within one era that the store states, its revisions order them. After the store has come
 * back from a copy, an older configuration may have a higher position, so across eras their versions do. A store that states
 * no era may have come back at any time, so there their versions do as well.
 *
 * @module
 */
import { UNKNOWN_ERA, isLater } from '@plumstage/coordination'
import type { StorePosition } from '@plumstage/coordination'

/** Identifies a configuration among all that were ever written. */
export interface ConfigurationPosition extends StorePosition {
  /** Number that the operators increase with each change; undefined when it is not stated or can't be read. */
  version?: number
}

/** Whether a configuration replaces another one; any configuration replaces none. */
export function supersedes (candidate: ConfigurationPosition, current: ConfigurationPosition | undefined): boolean {
  if (!current) return true
  if (candidate.era === current.era && candidate.era !== UNKNOWN_ERA) return candidate.revision > current.revision
  if (candidate.version !== undefined && current.version !== undefined && candidate.version !== current.version) return candidate.version > current.version
  return isLater(candidate, current)
}
