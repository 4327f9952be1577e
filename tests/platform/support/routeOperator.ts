/**
 * An operator that writes versions of the configuration in series, each with one more route, and callers that ask every
 * gateway for the routes that are confirmed.
 *
 * @module
 */
import { request } from 'undici'
import { HOST, TOKEN, formatConfiguration } from './platformDeployment.js'
import type { ProcessDeployment } from './processDeployment.js'

const FIRST_VERSION = 10
const VERSION_INTERVAL_MILLISECONDS = 1500
const PROBE_INTERVAL_MILLISECONDS = 40
/** Each gateway is asked for so many of the newest versions in turn. */
const PROBED_VERSIONS = 3
/** A confirmed version has to be in force everywhere after this time. */
const APPLY_MILLISECONDS = 2000
/** A request that is sent this long after an effect of a version was seen may not be handled by an older one. */
const ROLLBACK_SLACK_MILLISECONDS = 250
/**
 * When this process, and with it the store, or a gateway stands still for this long, that counts as a fault like a slow
 * store or a slow machine.
 */
const STANDSTILL_MILLISECONDS = 500
/** Time without trouble that is granted after a fault. */
const CONTACT_MILLISECONDS = 3000
const OK = 200
const NOT_FOUND = 404
const WORKSPACES = [{ name: 'notaries', api_keys: [TOKEN], unit: 'tokens', uncached_tokens: 10, rate_per_s: 0, burst: 0 }]

/** What the callers saw. */
export interface RouteReport {
  probes: number
  /** Requests for a route that had been confirmed for long enough, and got 404. */
  late: number
  /** Requests for a route that got 404, and were sent after the same run of the gateway had served it. */
  reverted: number
  /** A line for each of them. */
  details: string[]
}

/** A version of which an effect was seen. */
interface ServedVersion {
  version: number
  at: number
}

/** Writes configurations and probes the gateways. */
export class RouteOperator {
  readonly report: RouteReport = { probes: 0, late: 0, reverted: 0, details: [] }
  private readonly _deployment: ProcessDeployment
  private readonly _confirmedAt = new Map<number, number>()
  /** What each gateway's run has served, the highest version last. */
  private readonly _served = new Map<number, ServedVersion[]>()
  private readonly _troubledUntil = new Map<number, number>()
  private readonly _down = new Set<number>()
  private _version = FIRST_VERSION
  private _probe = 0
  private _round = 0
  private _writesUntil = 0

  private constructor (deployment: ProcessDeployment) {
    this._deployment = deployment
  }

  static create (deployment: ProcessDeployment): RouteOperator {
    return new RouteOperator(deployment)
  }

  /** Writes new versions and probes for some time. */
  async run (milliseconds: number): Promise<void> {
    const endsAt = Date.now() + milliseconds
    this._writesUntil = endsAt
    await Promise.all([this._writeVersions(endsAt), this._probeGateways(endsAt)])
  }

  /** Writes no further versions. */
  pauseWriting (): void {
    this._writesUntil = 0
  }

  /** Writes the next version at once. */
  writeNext (): void {
    this._write(++this._version)
  }

  /** Writes the newest version again, as the operator does after a return of the store. */
  writeAgain (): void {
    this._write(this._version)
  }

  /** Records that a fault of all gateways or of one has ended. */
  recordFault (gateways: readonly number[] = this._deployment.gateways.numbers): void {
    for (const gateway of gateways) this._troubledUntil.set(gateway, Date.now() + CONTACT_MILLISECONDS)
  }

  /** Kills gateways; they are not asked until `restart`. */
  kill (gateways: readonly number[]): void {
    for (const gateway of gateways) {
      this._down.add(gateway)
      this._served.delete(gateway)
      this._deployment.gateways.signal(gateway, 'SIGKILL')
    }
  }

  async restart (gateways: readonly number[]): Promise<void> {
    await Promise.all(gateways.map(async gateway => await this._deployment.gateways.start(gateway)))
    this.recordFault(gateways)
    for (const gateway of gateways) this._down.delete(gateway)
  }

  private async _writeVersions (endsAt: number): Promise<void> {
    while (Date.now() < endsAt) {
      if (Date.now() < this._writesUntil) this._write(++this._version)
      await new Promise(resolve => setTimeout(resolve, VERSION_INTERVAL_MILLISECONDS))
    }
  }

  private _write (version: number): void {
    const routes = Array.from({ length: version - FIRST_VERSION + 1 }, (_, index) => ({ name: `added-${FIRST_VERSION + index}`, host: HOST, prefix: prefixOf(FIRST_VERSION + index), route_type: 'idempotent', service: 'front', anonymous: true }))
    this._deployment.store.put('op/config', formatConfiguration({ version, tenants: WORKSPACES, routes: routes as never }))
    if (!this._confirmedAt.has(version)) this._confirmedAt.set(version, Date.now())
  }

  private async _probeGateways (endsAt: number): Promise<void> {
    const pending: Array<Promise<void>> = []
    let lastRoundAt = Date.now()
    while (Date.now() < endsAt) {
      if (Date.now() > lastRoundAt + STANDSTILL_MILLISECONDS) this.recordFault()
      lastRoundAt = Date.now()
      this._round++
      for (const gateway of this._deployment.gateways.numbers) if (!this._down.has(gateway)) pending.push(this._probeOne(gateway))
      await new Promise(resolve => setTimeout(resolve, PROBE_INTERVAL_MILLISECONDS))
    }
    await Promise.all(pending)
  }

  private async _probeOne (gateway: number): Promise<void> {
    const sentAt = Date.now()
    const due = [...this._confirmedAt].filter(([, confirmedAt]) => confirmedAt + APPLY_MILLISECONDS < sentAt).map(([version]) => version)
    const version = due.at(-1 - (this._round + gateway) % PROBED_VERSIONS)
    if (version === undefined) return
    const status = await this._ask(gateway, version)
    if (Date.now() > sentAt + STANDSTILL_MILLISECONDS) this.recordFault([gateway])
    const isTroubled = sentAt < (this._troubledUntil.get(gateway) ?? 0)
    if (status === OK) this._recordServed(gateway, version)
    this.report.probes++
    if (status !== NOT_FOUND) return
    if (version <= this._servedBefore(gateway, sentAt)) this.report.reverted++
    if (!isTroubled) this.report.late++
    this.report.details.push(this._describe(gateway, version, sentAt))
  }

  private _recordServed (gateway: number, version: number): void {
    const served = this._served.get(gateway) ?? []
    this._served.set(gateway, served)
    if (version > (served.at(-1)?.version ?? 0)) served.push({ version, at: Date.now() })
  }

  /** Highest version that a gateway had served long enough before a time; answers may overtake each other. */
  private _servedBefore (gateway: number, time: number): number {
    return this._served.get(gateway)?.findLast(({ at }) => at + ROLLBACK_SLACK_MILLISECONDS < time)?.version ?? 0
  }

  private _describe (gateway: number, version: number, sentAt: number): string {
    const applied = this._deployment.gateways.listEvents(gateway, 'configuration-applied').map(({ attributes, time }) => `${attributes?.version} at ${Math.round(time)}`).slice(-3)
    return `gateway ${gateway}, version ${version} confirmed ${sentAt - (this._confirmedAt.get(version) ?? 0)} ms before ${sentAt}, answered after ${Date.now() - sentAt} ms, fault until ${this._troubledUntil.get(gateway) ?? 'never'}, in force: ${applied.join(', ')}`
  }

  private async _ask (gateway: number, version: number): Promise<number> {
    try {
      const response = await request(this._deployment.gateways.callerUrlOf(gateway) + `${prefixOf(version)}x`, { headers: { host: HOST, 'plumstage-attempt-id': `probe-${++this._probe}` } })
      await response.body.text()
      return response.statusCode
    } catch {
      // The gateway was killed meanwhile.
      return 0
    }
  }
}

function prefixOf (version: number): string {
  return `/added-${version}/`
}
