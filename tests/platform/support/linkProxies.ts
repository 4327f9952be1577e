/**
 * Proxies between the gateways and the upstreams of one deployment, so that each gateway reaches each upstream at an
 * address of its own.
 *
 * @module
 */
import { LinkProxy } from './linkProxy.js'
import type { LinkMode } from './linkProxy.js'
import { pickLoopbackNetwork } from './loopbackNetwork.js'
import type { ValueTransform } from './storeStandin.js'

const ENTRY_PREFIX = 'servers/'

/** The proxies of gateways with the numbers from 1. */
export class LinkProxies {
  /** For each gateway, its proxies by the address of the upstream. */
  private readonly _proxies = new Map<number, Map<string, LinkProxy>>()
  private readonly _network = pickLoopbackNetwork()

  private constructor (gatewayCount: number) {
    for (let gateway = 1; gateway <= gatewayCount; gateway++) this._proxies.set(gateway, new Map())
  }

  static create (gatewayCount: number): LinkProxies {
    return new LinkProxies(gatewayCount)
  }

  /** Starts the proxies of an upstream, before its entry is written. */
  async addUpstream (address: string): Promise<void> {
    await Promise.all([...this._proxies].map(async ([gateway, proxies]) => {
      proxies.set(address, await LinkProxy.create(`${this._network}.${gateway}`, address))
    }))
  }

  /** Returns the transform of the store's values for a gateway: entries of upstreams name its own proxies. */
  transformOf (gateway: number): ValueTransform {
    return (key, value) => {
      if (!key.startsWith(ENTRY_PREFIX)) return value
      const entry = JSON.parse(value) as { address: string }
      const proxy = this._proxies.get(gateway)?.get(entry.address)
      return proxy ? JSON.stringify({ ...entry, address: proxy.address }) : value
    }
  }

  /** Sets the mode of the links of some gateways to all upstreams. */
  async setMode (gateways: readonly number[], mode: LinkMode): Promise<void> {
    const proxies = gateways.flatMap(gateway => [...this._proxies.get(gateway)!.values()])
    await Promise.all(proxies.map(async proxy => await proxy.setMode(mode)))
  }

  stop (): void {
    for (const proxies of this._proxies.values()) for (const proxy of proxies.values()) proxy.stop()
  }
}
