/**
 * Hands over requests to peers before the instance of this gateway is reclaimed, and takes over requests from peers.
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

/** Parts of the gateway that the task uses. */
export interface HandoverServices {
  clock: Clock
  instrumentation: Instrumentation
  link: PeerLink
  membership: MembershipTable
  requests: RequestRegistry
  configuration (): Configuration
  /** Starts a request that continues a partial response. */
  accept (request: InboundRequest, response: CallerResponse, streamedResponse: StreamedResponse): RequestTask
}

interface TakenOverRequest {
  workspace: string
  response: DetachedResponse
  task: RequestTask | undefined
  handed: HandedRequest
}

/** Hands over requests of this gateway, and keeps those taken over until their callers reconnect. */
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

  /**
   * Distributes the requests that can be continued elsewhere among the peers, and redirects their callers. Refuses the
   * others unless they have started.
   */
  async handOverAll (context: CallContext): Promise<void> {
    const { clock, membership, requests } = this._services
    const peers = membership.listPresent(clock.now()).filter(known => !known.suspect && known.member.state === 'alive').map(known => known.member.address)
    const tasks = requests.list().filter(task => task.mayBeHandedOver)
    for (const task of requests.list()) if (!task.mayBeHandedOver) task.refuseUnlessRunning()
    if (peers.length === 0 || tasks.length === 0) return
    await Promise.all(peers.map(async (address, index) => await this._handOver(context, address, tasks.filter((_task, number) => number % peers.length === index))))
  }

  /** Takes over requests from a leaving peer. Returns the ids of those that were taken over. */
  receive (requests: readonly HandedRequest[]): string[] {
    return requests.filter(request => this._takeOver(request)).map(request => request.requestId)
  }

  /** Releases a request that was taken over to the peer to which its caller has connected. */
  releaseToPeer (requestId: string, workspace: string): HandedRequest | undefined {
    const takenOver = this._takenOver.get(requestId)
    if (!takenOver || takenOver.workspace !== workspace) return undefined
    this._takenOver.delete(requestId)
    if (takenOver.response.ended && takenOver.task) return takenOver.task.describeHandover(true)
    return takenOver.task?.releaseForHandover() ?? takenOver.handed
  }

  /** Attaches a caller to a request that this gateway or a peer has taken over. Returns false when none has. */
  async attach (context: CallContext, requestId: string, workspace: string, response: CallerResponse, lastPosition: number): Promise<boolean> {
    const takenOver = this._takenOver.get(requestId) ?? await this._fetchFromPeers(context, requestId, workspace)
    if (!takenOver || takenOver.workspace !== workspace) return false
    this._services.instrumentation.emit('request-resumed', { lastPosition }, requestId)
    takenOver.response.attach(response, lastPosition)
    return true
  }

  private async _handOver (context: CallContext, address: string, tasks: readonly RequestTask[]): Promise<void> {
    if (tasks.length === 0) return
    const callContext = context.createChild(this._services.clock.now() + HANDOVER_TIMEOUT_MILLISECONDS)
    const handed = tasks.map(task => task.releaseForHandover()).filter((request): request is HandedRequest => request !== undefined)
    let accepted: readonly string[] = []
    try {
      accepted = await this._services.link.handOver(callContext, address, handed)
    } catch (error) {
      this._log.warn(`The gateway at ${address} did not take over ${handed.length} requests: ${describeError(error)}`)
    } finally {
      callContext.finish()
    }
    for (const task of tasks) task.endAfterHandover(accepted.includes(task.request.requestId))
  }

  private async _fetchFromPeers (context: CallContext, requestId: string, workspace: string): Promise<TakenOverRequest | undefined> {
    const { clock, link, membership } = this._services
    const addresses = membership.listPresent(clock.now()).map(known => known.member.address)
    const callContext = context.createChild(clock.now() + HANDOVER_TIMEOUT_MILLISECONDS)
    const responses = await Promise.all(addresses.map(async address => await link.takeRequest(callContext, address, requestId, workspace).catch(() => undefined)))
    callContext.finish()
    const handed = responses.find(response => response !== undefined)
    return handed && this._takeOver(handed) ? this._takenOver.get(requestId) : undefined
  }

  /** Continues a request from a peer, and keeps its response for the caller. */
  private _takeOver (handed: HandedRequest): boolean {
    const request = createHandedOverRequest(handed, this._services.configuration())
    if (!request) return false
    const streamedResponse = StreamedResponse.create(handed.position, handed.events)
    const response = DetachedResponse.create(handed.requestId, streamedResponse, request.completion?.stream === true)
    const takenOver: TakenOverRequest = { workspace: handed.workspace, response, task: undefined, handed }
    this._takenOver.set(handed.requestId, takenOver)
    this._services.instrumentation.emit('request-taken-over', { position: handed.position }, handed.requestId)
    takenOver.task = this._services.accept(request, response, streamedResponse)
    this._scheduleRemoval(handed.requestId, this._services.clock.now() + RETENTION_MILLISECONDS + request.priority.answerWithinMilliseconds)
    return true
  }

  private _scheduleRemoval (requestId: string, deadline: Timestamp): void {
    this._services.clock.schedule(deadline, () => this._takenOver.delete(requestId))
  }
}
