/**
 * Test fixture: the nodes of aggregation rounds on a simulated clock, with messages that take time and may be lost.
 *
 * @module
 */
import { SeededRandom } from '@plumstage/common'
import { AggregationNode, AggregationTree, decodeReport, emptyAggregate, encodeReport, hashName } from '@plumstage/serving'
import type { Aggregate, AggregationAction, AggregationStep, GatewayReport } from '@plumstage/serving'

const STEP_MILLISECONDS = 5
const MINIMUM_DELAY_MILLISECONDS = 1
const DELAY_SPREAD_MILLISECONDS = 9
const STRONG_GATEWAYS = 15
/** Header of a datagram of IP and UDP. */
const HEADER_BYTES = 28

/** Size of the state that is summed. */
export interface AggregatedState {
  upstreams: number
  workspaces: number
}

/** What a simulated gateway does with its messages. */
export type GatewayCondition = 'running' | 'killed' | 'cut off' | 'frozen'

/** One simulated gateway. */
export interface AggregatingGateway {
  address: string
  condition: GatewayCondition
  node: AggregationNode
  /** Requests that it has at the first upstream. */
  requests: number
  /** The last sums that it applied, and when. */
  others: Aggregate
  gateways: number
  appliedAt: number
  sentBytes: number
  receivedBytes: number
}

interface Delivery {
  step: AggregationStep
  sender: AggregatingGateway
  recipient: AggregatingGateway
  bytes: number
}

/** Gateways that take part in aggregation rounds. */
export class AggregationNetwork {
  readonly gateways: AggregatingGateway[] = []
  now = 0
  lossShare = 0
  startsRounds = true
  private readonly _state: AggregatedState
  private readonly _random = SeededRandom.create(5)
  private readonly _byAddress = new Map<string, AggregatingGateway>()
  private readonly _deliveries = new Map<number, Delivery[]>()
  private _runs = 0

  private constructor (count: number, state: AggregatedState) {
    this._state = state
    const members = Array.from({ length: count }, (_, index) => ({ address: addressOf(index), processorCores: index < STRONG_GATEWAYS ? 1.35 : 0.3 }))
    const tree = AggregationTree.create(members)
    for (const { address } of members) {
      const gateway: AggregatingGateway = { address, condition: 'running', node: undefined!, requests: 0, others: emptyAggregate(), gateways: 0, appliedAt: -Infinity, sentBytes: 0, receivedBytes: 0 }
      this.gateways.push(gateway)
      this._byAddress.set(address, gateway)
      this._start(gateway, tree)
    }
  }

  static create (count: number, state: AggregatedState = { upstreams: 1, workspaces: 0 }): AggregationNetwork {
    return new AggregationNetwork(count, state)
  }

  get running (): AggregatingGateway[] {
    return this.gateways.filter(({ condition }) => condition === 'running')
  }

  /** Gateways by their rank, the root of the tree first. */
  get ranked (): AggregatingGateway[] {
    const tree = this._tree
    return [...this.gateways].sort((left, right) => tree.positionOf(left.address) - tree.positionOf(right.address))
  }

  /** Starts a gateway again as a new process. */
  restart (gateway: AggregatingGateway): void {
    gateway.condition = 'running'
    this._start(gateway, this._tree)
  }

  /** Requests at the first upstream as a gateway knows them. */
  knownRequests ({ others, requests }: AggregatingGateway): number {
    return requests + (others.loads.get(hashName('i-0'))?.requests ?? 0)
  }

  run (milliseconds: number, onStep?: () => void): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += STEP_MILLISECONDS) {
      this._deliverDue()
      for (const gateway of this.gateways) {
        if (isActive(gateway) && gateway.node.nextActionAt <= this.now) this._execute(gateway, gateway.node.advance(this.now))
      }
      onStep?.()
    }
  }

  private get _tree (): AggregationTree {
    return AggregationTree.create(this.gateways.map(({ address }, index) => ({ address, processorCores: index < STRONG_GATEWAYS ? 1.35 : 0.3 })))
  }

  private _start (gateway: AggregatingGateway, tree: AggregationTree): void {
    const run = `run-${++this._runs}`
    gateway.node = AggregationNode.create({ address: gateway.address, run, tree: () => tree, startsRounds: () => this.startsRounds, createOwn: () => this._createOwn(gateway, run) }, this.now)
  }

  private _createOwn ({ requests }: AggregatingGateway, run: string): Aggregate {
    const own = { ...emptyAggregate(), gateways: 1, fingerprint: hashName(run) }
    own.loads.set(hashName('i-0'), { requests, waitingTokens: 0 })
    for (let index = 1; index < this._state.upstreams; index++) own.loads.set(hashName(`i-${index}`), { requests: 2, waitingTokens: 300 })
    for (let index = 0; index < this._state.workspaces; index++) own.usage.set(hashName(`workspace-${index}`), { admittedUnits: 100_000 + this.now, admittedUnitsPerSecond: 400, offeredUnitsPerSecond: 500 })
    own.demands.set(hashName('model'), { promptTokensPerSecond: 9000, outputTokensPerSecond: 800, prefillSamples: 40, weightedPrefillRate: 40 * 42_800 })
    return own
  }

  private _execute (gateway: AggregatingGateway, actions: readonly AggregationAction[]): void {
    for (const action of actions) {
      if (action.kind === 'send') this._send(gateway, action.address, action.step)
      else Object.assign(gateway, { others: action.others, gateways: action.gateways, appliedAt: this.now })
    }
  }

  private _send (sender: AggregatingGateway, address: string, step: AggregationStep): void {
    const recipient = this._byAddress.get(address)
    const encoded = encodeReport(createCarrier(sender.address, step))
    const bytes = encoded.length + HEADER_BYTES
    sender.sentBytes += bytes
    if (!recipient || this._random.nextFraction() < this.lossShare) return
    const delay = MINIMUM_DELAY_MILLISECONDS + this._random.nextFraction() * DELAY_SPREAD_MILLISECONDS
    const at = Math.ceil((this.now + delay) / STEP_MILLISECONDS) * STEP_MILLISECONDS
    const decoded = decodeReport(encoded)._unsafeUnwrap().aggregation!
    const due = this._deliveries.get(at) ?? []
    this._deliveries.set(at, due)
    due.push({ step: decoded, sender, recipient, bytes })
  }

  private _deliverDue (): void {
    const due = this._deliveries.get(this.now) ?? []
    this._deliveries.delete(this.now)
    for (const { step, sender, recipient, bytes } of due) {
      if (!isReachable(sender) || !isReachable(recipient)) continue
      recipient.receivedBytes += bytes
      this._execute(recipient, recipient.node.receive(step, sender.address, this.now))
    }
  }
}

function addressOf (index: number): string {
  return `10.1.${Math.floor(index / 200)}.${index % 200}:7600`
}

function isActive ({ condition }: AggregatingGateway): boolean {
  return condition === 'running' || condition === 'cut off'
}

function isReachable ({ condition }: AggregatingGateway): boolean {
  return condition === 'running'
}

function createCarrier (name: string, aggregation: AggregationStep): GatewayReport {
  return {
    name,
    incarnation: 'a1b2c3d4e5f6',
    sequence: 400,
    failureDomain: 'zona-10',
    leaving: false,
    configuration: { version: 12, era: 2, revision: 44_000 },
    upstreams: { era: 2, revision: 68_000 },
    loads: [],
    uses: [],
    windows: [],
    suspicions: [],
    partSuspicions: [],
    demands: [],
    knownAddresses: [],
    limits: [],
    links: 'working',
    requestsReports: false,
    aggregation
  }
}
