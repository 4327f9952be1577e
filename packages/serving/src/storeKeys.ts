/**
 * Keys of the entries that gateways write to the store.
 *
 * @module
 */
const PREFIX = 'plumstage/'
const ARCHIVE_PREFIX = 'plumstage-streams/'

/** Builds the store keys of one deployment. */
export class StoreKeys {
  static create (): StoreKeys {
    return new StoreKeys()
  }

  /** Whether a key is one of those that gateways follow; the archive is read only when it is needed. */
  isFollowed (key: string): boolean {
    return key.startsWith(PREFIX)
  }

  /** Key of the cloud duty: calling the cloud for the deployment. */
  get dutyKey (): string {
    return `${PREFIX}duties/cloud`
  }

  /** Key of a gateway's registration. */
  gatewayKey (name: string): string {
    return `${PREFIX}gateways/${name}`
  }

  /** Returns the name of the gateway whose registration has this key; undefined for other keys. */
  gatewayNameOf (key: string): string | undefined {
    const prefix = this.gatewayKey('')
    return key.startsWith(prefix) ? key.slice(prefix.length) : undefined
  }

  /** Key of the software that may have begun streams. */
  get softwareHistoryKey (): string {
    return `${PREFIX}software`
  }

  /** Key of the progress of a service's roll-out. */
  rolloutKey (service: string): string {
    return `${PREFIX}rollouts/${service}`
  }

  /** Returns the service whose roll-out has this key; undefined for other keys. */
  rolloutServiceOf (key: string): string | undefined {
    const prefix = this.rolloutKey('')
    return key.startsWith(prefix) ? key.slice(prefix.length) : undefined
  }

  /** Prefix of the entries of a shard of the archive of stream origins, and of those that it was divided into. */
  archivePrefix (shard: string): string {
    return `${ARCHIVE_PREFIX}${shard}`
  }

  /** Key of one batch of the archive. */
  archiveKey (shard: string, writer: string, number: number): string {
    return `${this.archivePrefix(shard)}/${writer}/${number}`
  }

  /** Key of the first usage window of the store's era. */
  get usageEraKey (): string {
    return `${PREFIX}usage-era`
  }

  /** Key of the usage counts of a reporting window. */
  usageKey (window: number): string {
    return `${PREFIX}usage/${window}`
  }

  /** Returns the window whose usage counts have this key; undefined for other keys. */
  usageWindowOf (key: string): number | undefined {
    const prefix = `${PREFIX}usage/`
    const window = Number(key.slice(prefix.length))
    return key.startsWith(prefix) && Number.isSafeInteger(window) ? window : undefined
  }
}
