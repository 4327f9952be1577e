/**
 * Interface for decoding the configuration and the list of upstreams from the store. Each platform has an adapter that
 * implements it for its own format.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { Configuration } from '@plumstage/records'
import type { RolloutOrder } from '../rollouts/rolloutOrder.js'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'

/** Kind of entry that a key of the store identifies. */
export type DeploymentKey =
  | { kind: 'configuration' }
  | { kind: 'upstream', id: string }
  | { kind: 'other' }

/** A configuration, and the number that its operators gave it. */
export interface DecodedConfiguration {
  configuration: Configuration
  /** Undefined when it is not a number. */
  version?: number
}

/** What operators read of a roll-out. */
export type RolloutStatus = 'in-progress' | 'completed' | 'rolled-back'

/** Decodes the entries that the platform and its operators write to the store. */
export interface DeploymentDecoder {
  classify (key: string): DeploymentKey
  /** Decodes the configuration; `revision` is the revision of its key in the store. */
  decodeConfiguration (value: string, revision: number): Result<DecodedConfiguration, Error>
  decodeUpstream (id: string, value: string): Result<ListedUpstream, Error>
  /** Returns the shortest value that decodes to an upstream. */
  encodeUpstream (upstream: ListedUpstream): string
  /** Whether a key holds an order to roll a service out. */
  isRolloutOrder (key: string): boolean
  /** Service of the order that a key holds. */
  rolloutServiceOf (key: string): string
  decodeRolloutOrder (key: string, value: string): Result<RolloutOrder, Error>
  /** Returns the entry that tells operators how far an order was carried out. */
  encodeRolloutStatus (order: RolloutOrder, status: RolloutStatus): { key: string, value: string }
}
