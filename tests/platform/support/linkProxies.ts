/**
 * Proxies between the gateways and the upstreams of one deployment, so that the links of each gateway can be cut.
 *
 * @module
 */
import { fileURLToPath } from 'node:url'
import { LinkProxy } from './linkProxy.js'
import type { LinkMode } from './linkProxy.js'
import { pickLoopbackNetwork } from './loopbackNetwork.js'

const REDIRECTION = fileURLToPath(new URL('redirectLinks.mjs', import.meta.url))
/** Last octet of the address that entries of upstreams name, where nothing listens. */
const COMMON_OCTET = 254

/** How the process of a gateway has to be started. */
export interface GatewayLaunch {
  /** Arguments of the runtime. */
  arguments: readonly string[]
  environment: Readonly<Record<string, string>>
}

/**
 * The proxies of gateways with the numbers from 1. Entries name one address of each upstream for all gateways, since
 * gateways pass entries on to each other; each gateway's connections to it are redirected to the gateway's own proxy.
 */
export class LinkProxies {
  /** The proxies of each gateway. */
  private readonly _proxies = new Map<number, LinkProxy[]>()
  private readonly _network = pickLoopbackNetwork()
  /** Ports of the proxies, by the address of the upstream. */
  private readonly _ports = new Map<string, number>()

  private constructor (gatewayCount: number) {
    for (let gateway = 1; gateway <= gatewayCount; gateway++) this._proxies.set(gateway, [])
  }

  static create (gatewayCount: number): LinkProxies {
    return new LinkProxies(gatewayCount)
  }

  /** Starts the proxies of an upstream, before its entry is written; all have the same port. */
  async addUpstream (address: string): Promise<void> {
    for (const [gateway, proxies] of this._proxies) {
      const proxy = await LinkProxy.create(`${this._network}.${gateway}`, address, this._ports.get(address))
      this._ports.set(address, proxy.port)
      proxies.push(proxy)
    }
  }

  /** Returns the address of an upstream that its entry has to name. */
  addressOf (address: string): string {
    const port = this._ports.get(address)
    return port === undefined ? address : `${this._commonHost}:${port}`
  }

  /** Returns how a gateway has to be started. */
  launchOf (gateway: number): GatewayLaunch {
    if (!this._proxies.has(gateway)) return { arguments: [], environment: {} }
    return { arguments: ['--import', REDIRECTION], environment: { LINK_COMMON_HOST: this._commonHost, LINK_OWN_HOST: `${this._network}.${gateway}` } }
  }

  /** Sets the mode of the links of some gateways to all upstreams. */
  async setMode (gateways: readonly number[], mode: LinkMode): Promise<void> {
    const proxies = gateways.flatMap(gateway => this._proxies.get(gateway)!)
    await Promise.all(proxies.map(async proxy => await proxy.setMode(mode)))
  }

  stop (): void {
    for (const proxy of [...this._proxies.values()].flat()) proxy.stop()
  }

  private get _commonHost (): string {
    return `${this._network}.${COMMON_OCTET}`
  }
}
