/**
 * What a gateway knew when it decided a request. It tells from the log alone why a request was decided by an old version: the
 * store was not heard, or it was heard and the version did not come into force, or peers knew better.
 *
 * @module
 */
import type { EventAttributes } from '@plumstage/common'
import type { StorePosition } from '@plumstage/coordination'
import type { ConfigurationPosition } from './configurationPosition.js'

/** The knowledge of one gateway at one moment. */
export interface DecisionBasis {
  /** The configuration in force; undefined when there was none. */
  configuration: ConfigurationPosition | undefined
  /** Position of the last answer of the store; undefined before the first. */
  store: StorePosition | undefined
  /** Time from that answer to the decision in milliseconds; undefined before the first. */
  storeSilentMilliseconds: number | undefined
  /** The newest configuration that peers had reported; undefined when none had. */
  peers: ConfigurationPosition | undefined
}

/** Returns the attributes of a log line for a decision. */
export function describeBasis ({ configuration, store, storeSilentMilliseconds, peers }: DecisionBasis): EventAttributes {
  return {
    decidedByVersion: configuration?.version,
    decidedByRevision: configuration?.revision,
    storeRevision: store?.revision,
    storeSilentMilliseconds,
    peersVersion: peers?.version,
    peersRevision: peers?.revision
  }
}
