/**
 * Stand-in for the platform's key-value service: the etcd v3 API over HTTP/2, with fault injection.
 *
 * @module
 */
import { createServer } from 'node:http2'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { Listener } from '@plumstage/common'
import type { Clock } from '@plumstage/common'
import { EtcdHandlers } from './etcdHandlers.js'
import { KeyValueFaults } from './keyValueFaults.js'
import { KeyValueStore } from './keyValueStore.js'

/** A running key-value stand-in. */
export class KeyValueStandin {
  readonly store: KeyValueStore
  readonly faults: KeyValueFaults
  private readonly _listener: Listener

  private constructor (store: KeyValueStore, faults: KeyValueFaults, listener: Listener) {
    this.store = store
    this.faults = faults
    this._listener = listener
  }

  /** Starts the stand-in. A store that is passed in outlives the server, as the state of the real service does. */
  static async create (clock: Clock, listen: string, store: KeyValueStore = KeyValueStore.create()): Promise<KeyValueStandin> {
    const faults = KeyValueFaults.create(clock)
    const handlers = EtcdHandlers.create(store, faults, clock)
    const server = createServer(connectNodeAdapter({ routes: router => handlers.register(router) }))
    return new KeyValueStandin(store, faults, await Listener.create(server, listen))
  }

  /** URL of the service. */
  get url (): string {
    return `http://${this._listener.address}`
  }

  get address (): string {
    return this._listener.address
  }

  async stop (): Promise<void> {
    await this._listener.destroy()
  }
}
