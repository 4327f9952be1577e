/**
 * How a platform's store holds the configuration and the list of upstreams; each platform has an adapter that reads
 * them.
 *
 * @module
 */
import type { Result } from 'neverthrow'
import type { Configuration } from '@plumstage/records'
import type { ListedUpstream } from '../upstreams/listedUpstream.js'

/** What a key of the store holds. */
export type DeploymentKey =
  | { kind: 'configuration' }
  | { kind: 'upstream', id: string }
  | { kind: 'other' }

/** Reads what the platform and its operators write to the store. */
export interface DeploymentDecoder {
  classify (key: string): DeploymentKey
  /** Reads the configuration; `revision` is that of its key in the store. */
  readConfiguration (value: string, revision: number): Result<Configuration, Error>
  readUpstream (id: string, value: string): Result<ListedUpstream, Error>
}
