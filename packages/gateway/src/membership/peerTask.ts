/**
 * Talks to the other gateways: a few of them in every round, and whoever calls.
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

/** What the peer task shares with the rest of the gateway. */
export interface PeerServices {
  clock: Clock
  random: SeededRandom
  instrumentation: Instrumentation
  link: PeerLink
  membership: MembershipTable
  configuration: ConfigurationTask
  quarantine: QuarantineTable
  listDepartures (): UpstreamDeparture[]
  /** Called when gateways have joined or left. */
  onMembershipChanged (): void
  onDepartures (departures: readonly UpstreamDeparture[]): void
}

/** Keeps membership, departures and configuration in step with the other gateways. */
export class PeerTask {
  private readonly _services: PeerServices
  private readonly _log = getLogger('membership')

  private constructor (services: PeerServices) {
    this._services = services
  }

  static create (services: PeerServices): PeerTask {
    return new PeerTask(services)
  }

  /** Talks to a few peers in every round until the context ends. */
  async run (context: CallContext): Promise<void> {
    while (!context.cancelled) {
      await this.runRound(context)
      await context.sleepUntil(this._services.clock.now() + GOSSIP_INTERVAL_MILLISECONDS)
    }
  }

  /** Makes one round: tells a few peers what this gateway knows and takes what they know. */
  async runRound (context: CallContext): Promise<void> {
    const { clock, membership, random } = this._services
    this._publishChanges(membership.beginRound(clock.now()))
    const targets = membership.chooseTargets(GOSSIP_FAN_OUT, random, clock.now())
    await Promise.all(targets.map(async address => await this._exchange(context, address)))
  }

  /** Tells every present peer at once, because of news that must not wait for the next round. */
  async exchangeWithAll (context: CallContext): Promise<void> {
    const present = this._services.membership.listPresent(this._services.clock.now())
    await Promise.all(present.map(async known => await this._exchange(context, known.member.address)))
  }

  handleExchange (message: PeerMessage): PeerMessage {
    this._merge(message)
    return this._createMessage()
  }

  handleFetch (knownRevision: number): PeerConfiguration | undefined {
    const state = this._services.configuration.state
    return state.revision > knownRevision ? { revision: state.revision, records: state.exportState() } : undefined
  }

  private async _exchange (context: CallContext, address: string): Promise<void> {
    const call = context.createChild()
    try {
      const answer = await this._services.link.exchange(call, address, this._createMessage())
      this._merge(answer)
      await this._fetchNewerConfiguration(call, address, answer)
    } catch (error) {
      if (!context.cancelled) this._log.debug(`The gateway at ${address} did not answer: ${describeError(error)}`)
    } finally {
      call.finish()
    }
  }

  /** Fetches the configuration of a peer that says it is ahead. */
  private async _fetchNewerConfiguration (context: CallContext, address: string, answer: PeerMessage): Promise<void> {
    const own = this._services.configuration.state.revision
    const speaker = answer.members[0]
    if (!speaker || speaker.configurationRevision <= own) return
    const offered = await this._services.link.fetchConfiguration(context, address, own)
    if (offered) this._services.configuration.adoptFromPeer(offered.revision, offered.records)
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
