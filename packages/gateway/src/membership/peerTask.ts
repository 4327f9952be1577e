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

const ROUND_MILLISECONDS = 1000
const TARGETS_PER_ROUND = 2

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
  onMembers (): void
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
      await this.tellSome(context)
      await context.sleepUntil(this._services.clock.now() + ROUND_MILLISECONDS)
    }
  }

  /** Makes one round: tells a few peers what this gateway knows and takes what they know. */
  async tellSome (context: CallContext): Promise<void> {
    const { clock, membership, random } = this._services
    this._announce(membership.beginRound(clock.now()))
    const targets = membership.chooseTargets(TARGETS_PER_ROUND, random, clock.now())
    await Promise.all(targets.map(async address => await this._exchange(context, address)))
  }

  /** Tells every present peer at once, because of news that must not wait for the next round. */
  async tellAll (context: CallContext): Promise<void> {
    const present = this._services.membership.listPresent(this._services.clock.now())
    await Promise.all(present.map(async known => await this._exchange(context, known.member.address)))
  }

  answerExchange (message: PeerMessage): PeerMessage {
    this._merge(message)
    return this._describe()
  }

  answerFetch (knownRevision: number): PeerConfiguration | undefined {
    const state = this._services.configuration.state
    return state.revision > knownRevision ? { revision: state.revision, records: state.exportState() } : undefined
  }

  private async _exchange (context: CallContext, address: string): Promise<void> {
    const call = context.createChild()
    try {
      const answer = await this._services.link.exchange(call, address, this._describe())
      this._merge(answer)
      await this._catchUp(call, address, answer)
    } catch (error) {
      if (!context.cancelled) this._log.debug(`The gateway at ${address} did not answer: ${describeError(error)}`)
    } finally {
      call.finish()
    }
  }

  /** Fetches the configuration of a peer that says it is ahead. */
  private async _catchUp (context: CallContext, address: string, answer: PeerMessage): Promise<void> {
    const own = this._services.configuration.state.revision
    const speaker = answer.members[0]
    if (!speaker || speaker.configurationRevision <= own) return
    const offered = await this._services.link.fetchConfiguration(context, address, own)
    if (offered) this._services.configuration.adoptFromPeer(offered.revision, offered.records)
  }

  private _describe (): PeerMessage {
    const { membership, quarantine, clock } = this._services
    return { members: membership.listToTell(), departures: this._services.listDepartures(), suspicions: quarantine.list(clock.now()) }
  }

  private _merge (message: PeerMessage): void {
    this._announce(this._services.membership.merge(message.members, this._services.clock.now()))
    if (message.departures.length > 0) this._services.onDepartures(message.departures)
    this._services.quarantine.merge(message.suspicions, this._services.clock.now())
  }

  private _announce (changes: readonly MembershipChange[]): void {
    if (changes.length > 0) this._services.onMembers()
    for (const change of changes) {
      this._services.instrumentation.emit(`member-${change.kind}`, { name: change.member.name, address: change.member.address })
      this._log.info(`Gateway ${change.member.name} at ${change.member.address} has ${change.kind}.`)
      if (change.kind !== 'joined') this._services.link.forget(change.member.address)
    }
  }
}
