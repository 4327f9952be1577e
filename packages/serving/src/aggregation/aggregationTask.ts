/**
 * Runs the aggregation rounds of one gateway: sends the steps that its node decides on, and wakes it when it has to act.
 *
 * @module
 */
import type { CallContext, Clock, Instrumentation, Timer } from '@plumstage/common'
import type { PeerTable } from '../peers/peerTable.js'
import { AggregationNode } from './aggregationNode.js'
import type { AggregationAction } from './aggregationNode.js'
import type { AggregationState } from './aggregationState.js'
import type { AggregationStep } from './aggregationStep.js'
import { AggregationTree } from './aggregationTree.js'

/** Dependencies and callbacks of the task. */
export interface AggregationTaskOptions {
  peers: PeerTable
  state: AggregationState
  /** Identity of this run of the process. */
  run: string
  clock: Clock
  instrumentation: Instrumentation
  isStopping: () => boolean
  send: (address: string, step: AggregationStep) => void
}

/** Takes part in the rounds of one gateway until the context is cancelled. */
export class AggregationTask {
  private readonly _options: AggregationTaskOptions
  private readonly _node: AggregationNode
  private _tree = AggregationTree.create([])
  /** Version of the gateways for which the tree was created. */
  private _treeVersion = -1
  private _timer: Timer | undefined
  private _context: CallContext | undefined
  private _loggedRoot = ''

  private constructor (options: AggregationTaskOptions) {
    const { peers, state, run, clock, isStopping } = options
    this._options = options
    this._node = AggregationNode.create({
      address: peers.self.address,
      run,
      tree: () => this._currentTree(),
      startsRounds: () => peers.reportMode === 'rounds',
      createOwn: now => state.createOwn(isStopping(), now)
    }, clock.now())
  }

  static create (options: AggregationTaskOptions): AggregationTask {
    return new AggregationTask(options)
  }

  start (context: CallContext): void {
    this._context = context
    context.signal.addEventListener('abort', () => this._timer?.cancel(), { once: true })
    this._advance()
  }

  /** Handles a step that a peer has sent. */
  receive (step: AggregationStep, sender: string): void {
    this._execute(this._node.receive(step, sender, this._options.clock.now()))
  }

  private _advance (): void {
    const { clock, state, instrumentation, peers } = this._options
    if (state.expire(clock.now())) instrumentation.emit('aggregation-lost', { gateways: peers.listRegistrations().length })
    this._execute(this._node.advance(clock.now()))
  }

  private _execute (actions: readonly AggregationAction[]): void {
    const { send, state, clock } = this._options
    for (const action of actions) {
      if (action.kind === 'send') send(action.address, action.step)
      else state.apply(action.others, action.gateways, clock.now())
    }
    this._logRoot()
    this._schedule()
  }

  private _logRoot (): void {
    const { instrumentation, peers } = this._options
    if (this._node.root === this._loggedRoot) return
    this._loggedRoot = this._node.root
    instrumentation.emit('aggregation-root-changed', { root: this._loggedRoot, gateways: peers.listRegistrations().length })
  }

  private _schedule (): void {
    this._timer?.cancel()
    if (this._context && !this._context.cancelled) this._timer = this._options.clock.schedule(this._node.nextActionAt, () => this._advance())
  }

  private _currentTree (): AggregationTree {
    const { peers } = this._options
    if (this._treeVersion === peers.addressesVersion) return this._tree
    this._treeVersion = peers.addressesVersion
    this._tree = AggregationTree.create(peers.listRegistrations().filter(({ aggregates }) => aggregates))
    return this._tree
  }
}
