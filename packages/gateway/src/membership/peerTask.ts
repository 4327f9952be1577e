/**
 * Exchanges state with other gateways: with a few of them in every round, and with every one that sends a message.
 *
 * @module
 */
import { describeError, getLogger } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, SeededRandom } from '@plumstage/common'
import type { ConfigurationTask } from '../configuration/configurationTask.js'
import type { QuarantineTable } from '@plumstage/serving'
import type { UpstreamDeparture } from '../upstreams/upstream.js'
import type { MembershipChange, MembershipTable } from './membershipTable.js'
import type { PeerConfiguration, PeerLink, PeerMessage } from './peerLink.js'

const GOSSIP_INTERVAL_MILLISECONDS = 1000
const GOSSIP_FAN_OUT = 2

/** Dependencies of the peer task. */
export interface PeerServices {
  clock: Clock
  random: SeededRandom
  instrumentation: Instrumentation
  link: PeerLink
  membership: MembershipTable
  configuration: ConfigurationTask
  quarantine: QuarantineTable
  listDepartures (): UpstreamDeparture[]
  /** Called when gateways have joined, left or died. */
  onMembershipChanged (): void
  onDepartures (departures: readonly UpstreamDeparture[]): void
}

/** Keeps membership, departures, suspicions and configuration in sync with the other gateways. */
export class PeerTask {
  private readonly _services: PeerServices
  private readonly _log = getLogger('membership')

  private constructor (services: PeerServices) {
    this._services = services
  }

  static create (services: PeerServices): PeerTask {
    return new PeerTask(services)
  }

  /** Runs rounds until the context ends. */
  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      await this.runRound(context)
      await context.sleepUntil(this._services.clock.now() + GOSSIP_INTERVAL_MILLISECONDS)
    }
  }

  /** Runs one round: exchanges state with a few peers and merges theirs. */
  async runRound (context: CallContext): Promise<void> {
    const { clock, membership, random } = this._services
    this._publishChanges(membership.beginRound(clock.now()))
    const targets = membership.chooseTargets(GOSSIP_FAN_OUT, random, clock.now())
    await Promise.all(targets.map(async address => await this._exchange(context, address)))
  }

  /** Exchanges state with every present peer at once, for changes that must not wait for the next round. */
  async exchangeWithAll (context: CallContext): Promise<void> {
    const present = this._services.membership.listPresent(this._services.clock.now())
    await Promise.all(present.map(async known => await this._exchange(context, known.member.address)))
  }

  /** Merges the state of a peer and returns that of this gateway. */
  handleExchange (message: PeerMessage): PeerMessage {
    this._merge(message)
    return this._createMessage()
  }

  /** Returns the configuration in force, or undefined if its revision is not higher than `knownRevision`. */
  handleFetch (knownRevision: number): PeerConfiguration | undefined {
    const state = this._services.configuration.state
    return state.revision > knownRevision ? { revision: state.revision, records: state.exportState() } : undefined
  }

  private async _exchange (context: CallContext, address: string): Promise<void> {
    const exchangeContext = context.createChild()
    try {
      const response = await this._services.link.exchange(exchangeContext, address, this._createMessage())
      this._merge(response)
      await this._fetchNewerConfiguration(exchangeContext, address, response)
    } catch (error) {
      if (!context.cancelled) this._log.debug(`The exchange with the gateway at ${address} failed: ${describeError(error)}`)
    } finally {
      exchangeContext.finish()
    }
  }

  /** Fetches the configuration of a peer that has a higher revision in force. */
  private async _fetchNewerConfiguration (context: CallContext, address: string, response: PeerMessage): Promise<void> {
    const localRevision = this._services.configuration.state.revision
    const sender = response.members[0]
    if (!sender || sender.configurationRevision <= localRevision) return
    const fetched = await this._services.link.fetchConfiguration(context, address, localRevision)
    if (fetched) this._services.configuration.adoptFromPeer(fetched.revision, fetched.records)
  }

  private _createMessage (): PeerMessage {
    const { membership, quarantine, clock } = this._services
    return { members: membership.listAll(), departures: this._services.listDepartures(), suspicions: quarantine.list(clock.now()) }
  }

  private _merge (message: PeerMessage): void {
    this._publishChanges(this._services.membership.merge(message.members, this._services.clock.now()))
    if (message.departures.length > 0) this._services.onDepartures(message.departures)
    this._services.quarantine.merge(message.suspicions, this._services.clock.now())
  }

  private _publishChanges (changes: readonly MembershipChange[]): void {
    if (changes.length > 0) this._services.onMembershipChanged()
    for (const change of changes) {
      this._services.instrumentation.emit(`member-${change.kind}`, { name: change.member.name, address: change.member.address })
      this._log.info(`Gateway ${change.member.name} at ${change.member.address} has ${change.kind}.`)
      if (change.kind !== 'joined') this._services.link.disconnect(change.member.address)
    }
  }
}
