/**
 * Finds out whether an upstream has crashed after a connection to it was lost: the port of one that has crashed refuses
 * connections, while one that has only cut an answer accepts them. A refusal shows a crash only while other upstreams accept
 * connections, because a gateway whose links are lost may be refused by all of them.
 *
 * @module
 */
import { connect } from 'node:net'
import { splitAddress } from '@plumstage/common'
import { chooseDiverse } from '../links/diverseChoice.js'
import type { Upstream } from './upstreamTable.js'

const TIMEOUT_MILLISECONDS = 200
const REFUSED = 'ECONNREFUSED'
/** Numbers of other upstreams that are tried together, one group after the other, until one of them accepts. */
const OTHER_GROUP_SIZES = [1, 2, 3]

/** How a connection to an upstream ended. */
type ConnectionOutcome = 'accepted' | 'refused' | 'unknown'

/** Tells crashes of upstreams from failures of single connections. */
export interface CrashProbe {
  /** Whether an upstream is known to have crashed. A connection that neither opens nor is refused shows no crash, nor does one that is refused as all others are. */
  hasCrashed (upstream: Upstream): Promise<boolean>
}

/** Opens one connection to an upstream for all requests that ask at the same time, and further ones to others if it is refused. */
export class ConnectionCrashProbe implements CrashProbe {
  private readonly _running = new Map<Upstream, Promise<boolean>>()
  private readonly _listOthers: (upstream: Upstream) => readonly Upstream[]

  private constructor (listOthers: (upstream: Upstream) => readonly Upstream[]) {
    this._listOthers = listOthers
  }

  /** `listOthers` returns the upstreams that show whether the links of this gateway work; without any, a refusal counts as a crash. */
  static create (listOthers: (upstream: Upstream) => readonly Upstream[] = () => []): ConnectionCrashProbe {
    return new ConnectionCrashProbe(listOthers)
  }

  async hasCrashed (upstream: Upstream): Promise<boolean> {
    const running = this._running.get(upstream)
    if (running) return await running
    const started = this._check(upstream).finally(() => this._running.delete(upstream))
    this._running.set(upstream, started)
    return await started
  }

  private async _check (upstream: Upstream): Promise<boolean> {
    if (await tryConnection(upstream.listed.address) !== 'refused') return false
    const others = this._listOthers(upstream).filter(other => other.listed.address !== upstream.listed.address && !other.isLeaving)
    return others.length === 0 || await isAnyAccepting(chooseDiverse(others, sumOf(OTHER_GROUP_SIZES), [upstream]))
  }
}

async function isAnyAccepting (upstreams: readonly Upstream[]): Promise<boolean> {
  let begin = 0
  for (const size of OTHER_GROUP_SIZES) {
    const group = upstreams.slice(begin, begin + size)
    const outcomes = await Promise.all(group.map(async upstream => await tryConnection(upstream.listed.address)))
    if (outcomes.includes('accepted')) return true
    begin += size
  }
  return false
}

async function tryConnection (address: string): Promise<ConnectionOutcome> {
  const { host, port } = splitAddress(address)
  return await new Promise<ConnectionOutcome>(resolve => {
    const socket = connect({ host, port, timeout: TIMEOUT_MILLISECONDS })
    const finish = (outcome: ConnectionOutcome): void => {
      resolve(outcome)
      socket.destroy()
    }
    socket.once('connect', () => finish('accepted'))
    socket.once('timeout', () => finish('unknown'))
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === REFUSED ? 'refused' : 'unknown'))
  })
}

function sumOf (numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0)
}
