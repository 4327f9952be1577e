/**
 * One round of sums at one gateway: which others it has asked, who has answered, and whose answer is still waited for.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { addAggregate, emptyAggregate } from './aggregate.js'
import type { Aggregate } from './aggregate.js'
import type { RoundId } from './aggregationStep.js'

/** Bounds the messages of a gateway below which many don't acknowledge. */
const MAXIMUM_ASKED = 16

/** The sums over a child's part of the tree, of the round with a number. */
export interface PartialSum {
  number: number
  aggregate: Aggregate
}

/** What is remembered of a round that has ended. */
export interface FinishedRound {
  number: number
  own: Aggregate
  recipients: readonly string[]
  /** Numbers of the rounds whose partial sums of the children are included. */
  includedNumbers: ReadonlyMap<string, number>
}

/** Where a round began and when it has to end. */
export interface AggregationRoundOptions {
  id: RoundId
  /** Undefined at the root. */
  parent: string | undefined
  /** The state of this gateway alone. */
  own: Aggregate
  /** When gateways that did not acknowledge are bypassed. */
  bypassAt: Timestamp
  deadline: Timestamp
}

/** A round that has not ended. */
export class AggregationRound {
  readonly id: RoundId
  readonly parent: string | undefined
  readonly deadline: Timestamp
  bypassAt: Timestamp
  private readonly _own: Aggregate
  private readonly _asked = new Set<string>()
  private readonly _unacknowledged = new Set<string>()
  /** Silent gateways by those that were asked in their place. */
  private readonly _bypassed = new Map<string, string>()
  /** Gateways whose answers are waited for. */
  private readonly _pending = new Set<string>()
  private readonly _answers = new Map<string, PartialSum>()

  private constructor ({ id, parent, own, bypassAt, deadline }: AggregationRoundOptions) {
    this.id = id
    this.parent = parent
    this.deadline = deadline
    this.bypassAt = bypassAt
    this._own = own
  }

  static create (options: AggregationRoundOptions): AggregationRound {
    return new AggregationRound(options)
  }

  /** Whether no answer is waited for. */
  get isComplete (): boolean {
    return this._pending.size === 0
  }

  matches ({ root, number }: RoundId): boolean {
    return this.id.root === root && this.id.number === number
  }

  hasAsked (address: string): boolean {
    return this._asked.has(address)
  }

  /** Whether a gateway may be asked for its sums, which it is once at most. */
  mayAsk (address: string): boolean {
    return !this._asked.has(address) && this._asked.size < MAXIMUM_ASKED && address !== this.parent
  }

  /** Records that a gateway is asked; the answer of one that was silent before is not waited for. */
  recordAsked (address: string, wasSilent: boolean): void {
    this._asked.add(address)
    this._unacknowledged.add(address)
    if (!wasSilent) this._pending.add(address)
  }

  /** Records that gateways are asked in place of one that is silent. */
  recordBypass (silent: string, addresses: readonly string[]): void {
    for (const address of addresses) this._bypassed.set(address, silent)
  }

  /** Returns the gateways that have not acknowledged, and waits for them no longer. */
  takeSilent (): string[] {
    const silent = [...this._unacknowledged].filter(address => this._pending.has(address))
    for (const address of silent) this._pending.delete(address)
    return silent
  }

  /** An asked gateway that is alive will answer, even if others were asked in its place meanwhile. */
  recordAlive (address: string): void {
    this._unacknowledged.delete(address)
    if (this._asked.has(address) && !this._answers.has(address)) this._pending.add(address)
  }

  /** Records that a gateway answers another one in this round; returns the one that was bypassed for it, which is then alive. */
  recordDeclined (address: string): string | undefined {
    const bypassed = this._bypassed.get(address)
    this._asked.delete(address)
    this._pending.delete(address)
    return bypassed !== undefined && this._asked.has(bypassed) ? bypassed : undefined
  }

  /** Records the sums of a gateway. Its children have answered it, and answer nobody else in this round. */
  recordAnswer (address: string, sum: PartialSum, children: readonly string[]): void {
    this._answers.set(address, sum)
    this._unacknowledged.delete(address)
    this._pending.delete(address)
    for (const child of children) this._pending.delete(child)
  }

  /** Uses earlier sums of gateways that are alive and late; `lastAnswerOf` returns those that may still be used. */
  reuseLateAnswers (lastAnswerOf: (address: string) => PartialSum | undefined): void {
    for (const address of this._pending) {
      const answer = this._unacknowledged.has(address) ? undefined : lastAnswerOf(address)
      if (answer) this._answers.set(address, answer)
    }
  }

  /** Returns the sums of this gateway and of all that have answered. */
  sum (): Aggregate {
    const sum = emptyAggregate()
    addAggregate(sum, this._own)
    for (const { aggregate } of this._answers.values()) addAggregate(sum, aggregate)
    return sum
  }

  /** Returns what is remembered of the round. */
  summarize (): FinishedRound {
    return {
      number: this.id.number,
      own: this._own,
      recipients: [...this._asked].filter(address => !this._unacknowledged.has(address)),
      includedNumbers: new Map([...this._answers].map(([address, { number }]) => [address, number]))
    }
  }
}
