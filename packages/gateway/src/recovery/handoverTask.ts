/**
 * Gives requests to peers before this gateway is taken away, and takes requests from peers.
 *
 * @module
 */
import { getLogger, describeError } from '@plumstage/common'
import type { CallContext, Clock, Instrumentation, Timestamp } from '@plumstage/common'
import type { Configuration } from '@plumstage/records'
import type { InboundRequest } from '../attempts/inboundRequest.js'
import { createHandedOverRequest } from '../attempts/inboundRequest.js'
import { StreamedResponse } from '../attempts/streamedResponse.js'
import type { RequestRegistry } from '../attempts/requestRegistry.js'
import type { RequestTask } from '../attempts/requestTask.js'
import type { CallerResponse } from '../callers/callerResponse.js'
import type { MembershipTable } from '../membership/membershipTable.js'
import type { PeerLink } from '../membership/peerLink.js'
import { DetachedResponse } from './detachedResponse.js'
import type { HandedRequest } from './handedRequest.js'

const RETENTION_MILLISECONDS = 5 * 60_000
const HANDOVER_TIMEOUT_MILLISECONDS = 1000

/** What the task shares with the rest of the gateway. */
export interface HandoverServices {
  clock: Clock
  instrumentation: Instrumentation
  link: PeerLink
  membership: MembershipTable
  requests: RequestRegistry
  configuration (): Configuration
  /** Takes a call into service that goes on from an answer. */
  accept (call: InboundRequest, response: CallerResponse, answer: StreamedResponse): RequestTask
}

interface TakenOverRequest {
  workspace: string
  response: DetachedResponse
  task: RequestTask | undefined
  handed: HandedRequest
}

/** Holds requests whose callers are away. */
export class HandoverTask {
  private readonly _services: HandoverServices
  private readonly _takenOver = new Map<string, TakenOverRequest>()
  private readonly _log = getLogger('recovery')

  private constructor (services: HandoverServices) {
    this._services = services
  }

  static create (services: HandoverServices): HandoverTask {
    return new HandoverTask(services)
  }

  /** Gives everything that can be continued elsewhere to peers, in turn, and tells the callers where to go on. */
  async handOverAll (context: CallContext): Promise<void> {
    const { clock, membership, requests } = this._services
    const peers = membership.listPresent(clock.now()).filter(known => !known.suspect && known.member.state === 'alive').map(known => known.member.address)
    const tasks = requests.list().filter(task => task.mayBeHandedOver)
    for (const task of requests.list()) if (!task.mayBeHandedOver) task.refuseUnlessStarted()
    if (peers.length === 0 || tasks.length === 0) return
    await Promise.all(peers.map(async (address, index) => await this._handOver(context, address, tasks.filter((_task, number) => number % peers.length === index))))
  }

  /** Takes requests from a peer that is leaving. Returns the ids of those that were taken. */
  receive (requests: readonly HandedRequest[]): string[] {
    return requests.filter(request => this._takeOver(request)).map(request => request.requestId)
  }

  /** Gives up a held request to the peer to which its caller has come. */
  releaseToPeer (requestId: string, workspace: string): HandedRequest | undefined {
    const held = this._takenOver.get(requestId)
    if (!held || held.workspace !== workspace) return undefined
    this._takenOver.delete(requestId)
    if (held.response.ended && held.task) return held.task.describeHandover(true)
    return held.task?.releaseForHandover() ?? held.handed
  }

  /** Gives the response of a held request, here or on a peer, to a caller. False when nobody holds it. */
  async attach (context: CallContext, requestId: string, workspace: string, response: CallerResponse, lastPosition: number): Promise<boolean> {
    const held = this._takenOver.get(requestId) ?? await this._fetchFromPeers(context, requestId, workspace)
    if (!held || held.workspace !== workspace) return false
    this._services.instrumentation.emit('request-resumed', { lastPosition }, requestId)
    held.response.attach(response, lastPosition)
    return true
  }

  private async _handOver (context: CallContext, address: string, tasks: readonly RequestTask[]): Promise<void> {
    if (tasks.length === 0) return
    const call = context.createChild(this._services.clock.now() + HANDOVER_TIMEOUT_MILLISECONDS)
    const handed = tasks.map(task => task.releaseForHandover()).filter((request): request is HandedRequest => request !== undefined)
    let accepted: readonly string[] = []
    try {
      accepted = await this._services.link.handOver(call, address, handed)
    } catch (error) {
      this._log.warn(`The gateway at ${address} did not take ${handed.length} requests: ${describeError(error)}`)
    } finally {
      call.finish()
    }
    for (const task of tasks) task.endAfterHandover(accepted.includes(task.request.requestId))
  }

  private async _fetchFromPeers (context: CallContext, requestId: string, workspace: string): Promise<TakenOverRequest | undefined> {
    const { clock, link, membership } = this._services
    const addresses = membership.listPresent(clock.now()).map(known => known.member.address)
    const call = context.createChild(clock.now() + HANDOVER_TIMEOUT_MILLISECONDS)
    const answers = await Promise.all(addresses.map(async address => await link.takeRequest(call, address, requestId, workspace).catch(() => undefined)))
    call.finish()
    const handed = answers.find(answer => answer !== undefined)
    return handed && this._takeOver(handed) ? this._takenOver.get(requestId) : undefined
  }

  /** Goes on with a request, and keeps its answer for its caller. */
  private _takeOver (handed: HandedRequest): boolean {
    const call = createHandedOverRequest(handed, this._services.configuration())
    if (!call) return false
    const answer = StreamedResponse.create(handed.position, handed.events)
    const response = DetachedResponse.create(handed.requestId, answer, call.completion?.stream === true)
    const held: TakenOverRequest = { workspace: handed.workspace, response, task: undefined, handed }
    this._takenOver.set(handed.requestId, held)
    this._services.instrumentation.emit('request-taken-over', { position: handed.position }, handed.requestId)
    held.task = this._services.accept(call, response, answer)
    this._scheduleRemoval(handed.requestId, this._services.clock.now() + RETENTION_MILLISECONDS + call.priority.answerWithinMilliseconds)
    return true
  }

  private _scheduleRemoval (requestId: string, deadline: Timestamp): void {
    this._services.clock.schedule(deadline, () => this._takenOver.delete(requestId))
  }
}
