/**
 * Finds out whether an upstream has crashed after a connection to it was lost: the port of one that has crashed refuses
 * connections, while one that has only cut an answer accepts them.
 *
 * @module
 */
import { connect } from 'node:net'
import { splitAddress } from '@plumstage/common'
import type { Upstream } from './upstreamTable.js'

const TIMEOUT_MILLISECONDS = 200
const REFUSED = 'ECONNREFUSED'

/** Tells crashes of upstreams from failures of single connections. */
export interface CrashProbe {
  /** Whether an upstream has crashed. A connection that neither opens nor is refused shows no crash. */
  hasCrashed (upstream: Upstream): Promise<boolean>
}

/** Opens one connection to an upstream for all requests that ask at the same time. */
export class ConnectionCrashProbe implements CrashProbe {
  private readonly _running = new Map<Upstream, Promise<boolean>>()

  static create (): ConnectionCrashProbe {
    return new ConnectionCrashProbe()
  }

  async hasCrashed (upstream: Upstream): Promise<boolean> {
    const running = this._running.get(upstream)
    if (running) return await running
    const started = isRefused(upstream.listed.address)
    this._running.set(upstream, started)
    const refused = await started
    this._running.delete(upstream)
    return refused
  }
}

async function isRefused (address: string): Promise<boolean> {
  const { host, port } = splitAddress(address)
  return await new Promise<boolean>(resolve => {
    const socket = connect({ host, port, timeout: TIMEOUT_MILLISECONDS })
    const finish = (refused: boolean): void => {
      resolve(refused)
      socket.destroy()
    }
    socket.once('connect', () => finish(false))
    socket.once('timeout', () => finish(false))
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === REFUSED))
  })
}
