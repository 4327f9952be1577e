/**
 * Probes whether an upstream can be reached over a new connection.
 *
 * @module
 */
import { request } from 'node:http'
import { splitAddress } from '@plumstage/common'
import type { Clock, NetworkAddress } from '@plumstage/common'
import type { Upstream } from '../upstreams/upstreamTable.js'
import type { ProbeOutcome } from './upstreamLinks.js'

const PROBE_TIMEOUT_MILLISECONDS = 400
/** Codes of errors for bytes that are not a response begin with this; the bytes have crossed the link. */
const PARSE_ERROR_PREFIX = 'HPE_'
const TIMEOUT_CODE = 'ETIMEDOUT'

/** Sends probes to upstreams. */
export interface UpstreamProbe {
  /** Probes a path of an upstream; does not reject. */
  probe (upstream: Upstream, path: string): Promise<ProbeOutcome>
}

/** Sends a complete HTTP request, because a link that carries no data may still accept connections. Any status counts as a response. */
export class HttpUpstreamProbe implements UpstreamProbe {
  private readonly _clock: Clock

  private constructor (clock: Clock) {
    this._clock = clock
  }

  static create (clock: Clock): HttpUpstreamProbe {
    return new HttpUpstreamProbe(clock)
  }

  async probe (upstream: Upstream, path: string): Promise<ProbeOutcome> {
    try {
      return await this._send(splitAddress(upstream.listed.address), path)
    } catch {
      return 'refused'
    }
  }

  private async _send ({ host, port }: NetworkAddress, path: string): Promise<ProbeOutcome> {
    return await new Promise<ProbeOutcome>(resolve => {
      const probe = request({ host, port, path, method: 'GET', agent: false })
      const timer = this._clock.schedule(this._clock.now() + PROBE_TIMEOUT_MILLISECONDS, () => {
        resolve('silent')
        probe.destroy()
      })
      probe.once('response', response => {
        resolve('responded')
        response.on('error', () => probe.destroy())
        response.resume()
      })
      probe.on('error', error => resolve(outcomeOf(error)))
      probe.once('close', () => timer.cancel())
      probe.end()
    })
  }
}

function outcomeOf ({ code }: NodeJS.ErrnoException): ProbeOutcome {
  if (code?.startsWith(PARSE_ERROR_PREFIX)) return 'responded'
  return code === TIMEOUT_CODE ? 'silent' : 'refused'
}
