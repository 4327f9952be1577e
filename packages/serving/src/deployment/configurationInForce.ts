/**
 * Keeps the configuration in force: the latest that could be decoded. It never reverts to an older one, also when the
 * store comes back from a copy that holds an older one.
 *
 * @module
 */
import { getLogger } from '@plumstage/common'
import { UNKNOWN_ERA } from '@plumstage/coordination'
import type { Configuration } from '@plumstage/records'
import { supersedes } from './configurationPosition.js'
import type { ConfigurationPosition } from './configurationPosition.js'
import type { DeploymentDecoder } from './deploymentDecoder.js'
import type { StoredEntry } from './storedEntry.js'

/** Why a configuration that was received did not come into force. */
export type IgnoreReason =
  /** The configuration in force is newer. */
  | 'older'
  /** It can't be decoded. */
  | 'unreadable'

/** A configuration that was received and did not come into force. */
export interface IgnoredConfiguration extends ConfigurationPosition {
  reason: IgnoreReason
}

/** What became of a configuration that was received. */
export type AdoptionOutcome =
  | { kind: 'adopted' }
  /** It is the one in force. */
  | { kind: 'known' }
  | { kind: 'ignored', ignored: IgnoredConfiguration }

/** A configuration with its stored form and its place among all others. */
interface AdoptedConfiguration {
  configuration: Configuration
  entry: StoredEntry
  position: ConfigurationPosition
}

/** The configuration in force at one gateway. */
export class ConfigurationInForce {
  private readonly _decoder: DeploymentDecoder
  private readonly _log = getLogger('deployment')
  private _adopted: AdoptedConfiguration | undefined

  private constructor (decoder: DeploymentDecoder) {
    this._decoder = decoder
  }

  static create (decoder: DeploymentDecoder): ConfigurationInForce {
    return new ConfigurationInForce(decoder)
  }

  /** Undefined before the first was adopted, like the two below. */
  get configuration (): Configuration | undefined {
    return this._adopted?.configuration
  }

  get entry (): StoredEntry | undefined {
    return this._adopted?.entry
  }

  get position (): ConfigurationPosition | undefined {
    return this._adopted?.position
  }

  /** Adopts a configuration unless the one in force is newer. */
  offer (entry: StoredEntry): AdoptionOutcome {
    const { era, revision } = entry
    const current = this.position
    if (current?.era === era && revision <= current.revision && this._isOrderedByRevision(entry)) return this._ignoreOlder(entry, { era, revision })
    const decoded = this._decoder.decodeConfiguration(entry.value, revision)
    if (decoded.isErr()) {
      this._log.error(`The configuration at revision ${revision} is ignored: ${decoded.error.message}`)
      return { kind: 'ignored', ignored: { reason: 'unreadable', era, revision } }
    }
    const { configuration, version } = decoded.value
    const position = { version, era, revision }
    if (!supersedes(position, current)) return this._ignoreOlder(entry, position)
    this._adopted = { configuration, entry, position }
    return { kind: 'adopted' }
  }

  /** Whether a configuration can be compared with the one in force without decoding it. */
  private _isOrderedByRevision ({ era, value }: StoredEntry): boolean {
    return era !== UNKNOWN_ERA || value === this.entry?.value
  }

  private _ignoreOlder ({ value }: StoredEntry, position: ConfigurationPosition): AdoptionOutcome {
    if (value === this.entry?.value) return { kind: 'known' }
    return { kind: 'ignored', ignored: { reason: 'older', ...position } }
  }
}
