/**
 * Keys under which gateways keep what must outlive them.
 *
 * @module
 */
const PREFIX = 'plumstage/'

/** Keys of one deployment. */
export class StoreKeys {
  static create (): StoreKeys {
    return new StoreKeys()
  }

  /** The duty of calling the cloud. */
  get dutyKey (): string {
    return `${PREFIX}duties/cloud`
  }

  gatewayKey (name: string): string {
    return `${PREFIX}gateways/${name}`
  }

  isGatewayKey (key: string): boolean {
    return key.startsWith(this.gatewayKey(''))
  }

  usageKey (window: number): string {
    return `${PREFIX}usage/${window}`
  }
}
