/**
 * Finds out through a peer whether an upstream has crashed, while the links of this gateway are lost.
 *
 * @module
 */
import type { RelayDialer } from '../relay/relayDialer.js'
import type { CrashProbe } from '../upstreams/crashProbe.js'
import type { Upstream } from '../upstreams/upstreamTable.js'

/** Asks the peer that carries attempts to the upstream for a tunnel. A peer whose own links are lost opens none and shows no crash. */
export class RelayedCrashProbe implements CrashProbe {
  private readonly _dialer: RelayDialer
  private readonly _peerOf: (upstream: Upstream) => string | undefined
  private readonly _running = new Map<Upstream, Promise<boolean>>()

  private constructor (dialer: RelayDialer, peerOf: (upstream: Upstream) => string | undefined) {
    this._dialer = dialer
    this._peerOf = peerOf
  }

  /** `peerOf` returns the address of the peer to ask; undefined when there is none. */
  static create (dialer: RelayDialer, peerOf: (upstream: Upstream) => string | undefined): RelayedCrashProbe {
    return new RelayedCrashProbe(dialer, peerOf)
  }

  async hasCrashed (upstream: Upstream): Promise<boolean> {
    const running = this._running.get(upstream)
    if (running) return await running
    const started = this._isRefused(upstream)
    this._running.set(upstream, started)
    const refused = await started
    this._running.delete(upstream)
    return refused
  }

  private async _isRefused (upstream: Upstream): Promise<boolean> {
    const peer = this._peerOf(upstream)
    if (peer === undefined) return false
    const opened = await this._dialer.open(peer, upstream.listed.id)
    if (opened.isOk()) opened.value.destroy()
    return opened.isErr() && opened.error.kind === 'upstream-refused'
  }
}
