/**
 * Sums the state of all gateways in rounds over a tree. The root asks its children for the sums over their parts of the
 * tree, they ask theirs, the sums come back, and the root sends the total down the same way. A gateway that does not
 * acknowledge is bypassed: its children are asked in its place. When the root falls silent, the gateway that ranks next
 * starts the rounds.
 *
 * A gateway answers one parent in each round, so that nothing is counted twice even while gateways disagree about the
 * members.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { addAggregate, emptyAggregate, subtractAggregate } from './aggregate.js'
import type { Aggregate } from './aggregate.js'
import { AggregationRound } from './aggregationRound.js'
import type { FinishedRound, PartialSum } from './aggregationRound.js'
import type { AggregationStep, RoundId } from './aggregationStep.js'
import type { AggregationTree } from './aggregationTree.js'
import { RootElection } from './rootElection.js'

/** Time between the starts of two rounds. */
export const ROUND_MILLISECONDS = 750
/** Most time that a level of the tree has for asking and answering. */
const MAXIMUM_LEVEL_MILLISECONDS = 80
/** All levels together have this share of the time between two rounds. */
const COLLECTING_SHARE = 0.8
/** A gateway that has not acknowledged within this share of the time of a level is bypassed. */
const ACKNOWLEDGE_SHARE = 0.6
/** A partial sum that is late is used in the next round in place of the one that is missing there. */
const MAXIMUM_REUSED_ROUNDS = 1
/** Number of past rounds whose own contribution is remembered. */
const REMEMBERED_ROUNDS = 4

/** What the task of a gateway has to do. */
export type AggregationAction =
  | { kind: 'send', address: string, step: AggregationStep }
  /** The sums over all other gateways have changed. `gateways` includes this one. */
  | { kind: 'apply', others: Aggregate, gateways: number }

/** What a node needs to know of its gateway. */
export interface AggregationNodeOptions {
  address: string
  /** Identity of this run of the process. */
  run: string
  /** The tree of the gateways that are known now. */
  tree: () => AggregationTree
  /** Whether rounds are wanted: false while all gateways report to each other. */
  startsRounds: () => boolean
  /** Returns the state of this gateway alone. */
  createOwn: (now: Timestamp) => Aggregate
}

interface Child {
  /** Whether it did not acknowledge when it was last asked. */
  isSilent: boolean
  lastAnswer?: PartialSum
}

/** Takes part in the rounds of one gateway. */
export class AggregationNode {
  private readonly _options: AggregationNodeOptions
  private readonly _children = new Map<string, Child>()
  private readonly _election: RootElection
  /** The gateway that asked this one in the last round. */
  private _parent: string | undefined
  private _round: AggregationRound | undefined
  private _finished: FinishedRound[] = []
  private _nextRoundAt: Timestamp
  private _roundNumber = 0
  private _actions: AggregationAction[] = []

  private constructor (options: AggregationNodeOptions, now: Timestamp) {
    this._options = options
    this._election = RootElection.create(options, now)
    this._nextRoundAt = now
  }

  static create (options: AggregationNodeOptions, now: Timestamp): AggregationNode {
    return new AggregationNode(options, now)
  }

  /** Identity of the gateway whose rounds this one follows, and of its run; empty before the first round. */
  get root (): string {
    return this._election.root
  }

  /** When `advance` has to be called next, if nothing is received before. */
  get nextActionAt (): Timestamp {
    const startsAt = this._nextStartAt
    return this._round ? Math.min(this._round.bypassAt, this._round.deadline, startsAt) : startsAt
  }

  /** Does what is due. */
  advance (now: Timestamp): AggregationAction[] {
    if (now >= this._nextStartAt) this._startRound(now)
    if (this._round && now >= this._round.bypassAt) this._bypassSilent(this._round, now)
    if (this._round && now >= this._round.deadline) this._finish(this._round)
    return this._takeActions()
  }

  /** Applies a step that another gateway has sent. */
  receive (step: AggregationStep, sender: string, now: Timestamp): AggregationAction[] {
    if (step.kind === 'collect') this._receiveCollect(step.round, step.budgetMilliseconds, sender, now)
    if (step.kind === 'acknowledge') this._receiveAcknowledgement(step.round, sender)
    if (step.kind === 'decline') this._receiveDecline(step.round, sender)
    if (step.kind === 'partial') this._receivePartial(step.round, step.aggregate, sender)
    if (step.kind === 'total') this._receiveTotal(step.round, step.aggregate, step.includedNumber, now)
    return this._takeActions()
  }

  private get _levelMilliseconds (): number {
    return Math.min(MAXIMUM_LEVEL_MILLISECONDS, COLLECTING_SHARE * ROUND_MILLISECONDS / Math.max(1, this._options.tree().height))
  }

  private get _acknowledgeMilliseconds (): number {
    return ACKNOWLEDGE_SHARE * this._levelMilliseconds
  }

  /** While no rounds are wanted, the time of the next one comes all the same, so that the silence of a root does not count. */
  private get _nextStartAt (): Timestamp {
    return this._options.startsRounds() ? Math.max(this._nextRoundAt, this._election.takeoverAt) : this._nextRoundAt
  }

  private _startRound (now: Timestamp): void {
    this._nextRoundAt = now + ROUND_MILLISECONDS
    if (!this._options.startsRounds()) return this._election.recordHeard(now)
    if (this._election.takeOver(now)) this._forgetRounds()
    const id = { root: this._election.self, number: ++this._roundNumber }
    this._begin(id, undefined, this._options.tree().height * this._levelMilliseconds, now)
  }

  private _receiveCollect (id: RoundId, budgetMilliseconds: number, sender: string, now: Timestamp): void {
    if (this._election.hasJoined(id)) return this._send(sender, { kind: sender === this._parent ? 'acknowledge' : 'decline', round: id })
    const outcome = this._election.join(id, now)
    if (outcome === 'ignored') return
    if (outcome === 'root-changed') this._forgetRounds()
    this._parent = sender
    this._send(sender, { kind: 'acknowledge', round: id })
    this._begin(id, sender, budgetMilliseconds, now)
  }

  /** Rounds of another root have other numbers. */
  private _forgetRounds (): void {
    this._finished = []
    this._round = undefined
    for (const child of this._children.values()) child.lastAnswer = undefined
  }

  private _begin (id: RoundId, parent: string | undefined, budgetMilliseconds: number, now: Timestamp): void {
    const round = AggregationRound.create({ id, parent, own: this._options.createOwn(now), bypassAt: now + this._acknowledgeMilliseconds, deadline: now + budgetMilliseconds })
    this._round = round
    const { address, tree } = this._options
    this._ask(round, parent === undefined ? tree().childrenOfActingRoot(address) : tree().childrenOf(address), now)
    this._removeFormerChildren(round)
    if (round.isComplete) this._finish(round)
  }

  /** Asks gateways for their sums; also the children of those that were silent before, without waiting for these. */
  private _ask (round: AggregationRound, addresses: readonly string[], now: Timestamp): void {
    for (const address of addresses) {
      if (!round.mayAsk(address)) continue
      const { isSilent } = this._childAt(address)
      round.recordAsked(address, isSilent)
      this._send(address, { kind: 'collect', round: round.id, budgetMilliseconds: round.deadline - now - this._levelMilliseconds })
      if (isSilent) this._askInPlaceOf(round, address, now)
    }
  }

  private _askInPlaceOf (round: AggregationRound, silent: string, now: Timestamp): void {
    const children = this._options.tree().childrenOf(silent)
    round.recordBypass(silent, children)
    this._ask(round, children, now)
  }

  private _bypassSilent (round: AggregationRound, now: Timestamp): void {
    const silent = round.takeSilent()
    round.bypassAt = silent.length > 0 ? now + this._acknowledgeMilliseconds : Number.POSITIVE_INFINITY
    for (const address of silent) {
      this._childAt(address).isSilent = true
      this._askInPlaceOf(round, address, now)
    }
    if (round.isComplete) this._finish(round)
  }

  private _receiveAcknowledgement (id: RoundId, sender: string): void {
    const round = this._round
    if (!this._children.has(sender) || !round?.matches(id)) return
    this._recordAlive(round, sender)
  }

  private _recordAlive (round: AggregationRound, address: string): void {
    this._childAt(address).isSilent = false
    round.recordAlive(address)
  }

  private _receiveDecline (id: RoundId, sender: string): void {
    const round = this._round
    if (!round?.matches(id) || !round.hasAsked(sender)) return
    this._recordAlive(round, sender)
    const bypassed = round.recordDeclined(sender)
    if (bypassed !== undefined) this._recordAlive(round, bypassed)
    if (round.isComplete) this._finish(round)
  }

  private _receivePartial (id: RoundId, aggregate: Aggregate, sender: string): void {
    const child = this._children.get(sender)
    if (!child || id.root !== this.root) return
    const answer = { number: id.number, aggregate }
    child.isSilent = false
    child.lastAnswer = answer
    const round = this._round
    if (!round?.matches(id) || !round.hasAsked(sender)) return
    round.recordAnswer(sender, answer, this._options.tree().childrenOf(sender))
    if (round.isComplete) this._finish(round)
  }

  private _finish (round: AggregationRound): void {
    this._round = undefined
    round.reuseLateAnswers(address => this._findReusable(address, round.id.number))
    const sum = round.sum()
    this._finished.push(round.summarize())
    this._finished = this._finished.slice(-REMEMBERED_ROUNDS)
    if (round.parent === undefined) this._deliverTotal(round.id, sum, round.id.number)
    else this._send(round.parent, { kind: 'partial', round: round.id, aggregate: sum })
  }

  /** Returns the last answer of a child if it is recent enough for the round with a number. */
  private _findReusable (address: string, number: number): PartialSum | undefined {
    const answer = this._children.get(address)?.lastAnswer
    return answer && answer.number >= number - MAXIMUM_REUSED_ROUNDS ? answer : undefined
  }

  private _receiveTotal (id: RoundId, aggregate: Aggregate, includedNumber: number | undefined, now: Timestamp): void {
    if (!this._election.acceptTotal(id, now)) return
    this._deliverTotal(id, aggregate, includedNumber)
  }

  /** Applies the sums over all gateways, and passes them on to those that take part in the round. */
  private _deliverTotal (id: RoundId, aggregate: Aggregate, includedNumber: number | undefined): void {
    const included = this._finished.find(({ number }) => number === includedNumber)
    const recipients = this._finished.find(({ number }) => number === id.number)?.recipients ?? []
    for (const address of recipients) this._send(address, { kind: 'total', round: id, aggregate, includedNumber: included?.includedNumbers.get(address) })
    const others = emptyAggregate()
    addAggregate(others, aggregate)
    if (included) subtractAggregate(others, included.own)
    this._actions.push({ kind: 'apply', others, gateways: aggregate.gateways })
  }

  private _childAt (address: string): Child {
    const known = this._children.get(address)
    if (known) return known
    const child: Child = { isSilent: false }
    this._children.set(address, child)
    return child
  }

  private _removeFormerChildren (round: AggregationRound): void {
    for (const address of this._children.keys()) if (!round.hasAsked(address)) this._children.delete(address)
  }

  private _send (address: string, step: AggregationStep): void {
    this._actions.push({ kind: 'send', address, step })
  }

  private _takeActions (): AggregationAction[] {
    const actions = this._actions
    this._actions = []
    return actions
  }
}
