/**
 * Counts the answers of both versions of a service during a roll-out, at this gateway and, from what peers report, at all.
 *
 * @module
 */
import { hashName } from '../aggregation/aggregate.js'
import type { NameHash } from '../aggregation/aggregate.js'
import type { AnswerCount, RouteEvidence } from './rolloutJudge.js'

/** An answer that takes this multiple of the usual time of its route is slow. */
const SLOW_FACTOR = 3
/** Answers that are this much later than usual at the most are never slow. */
const TOLERATED_DELAY_MILLISECONDS = 100
/** Weight of a new answer in the usual time of its route. */
const TIME_WEIGHT = 0.05
/** Before so many answers, the usual time of a route is not known. */
const SUFFICIENT_TIMES = 10
const MAXIMUM_ROUTES = 2000

/** Which of the versions of a service gave an answer. */
export type RolloutArm = 'old' | 'new'

/** Result of one attempt that the upstream has begun to answer, or should have. */
export interface AnswerOutcome {
  failed: boolean
  /** Time to the first event, or to the complete response. */
  milliseconds: number
}

interface UsualTime {
  logarithm: number
  answers: number
}

/** Counts of one gateway. */
export class RolloutEvidence {
  /** Moving average of the logarithm of the time that the old version takes on a route. */
  private readonly _usual = new Map<string, UsualTime>()
  private readonly _counts = new Map<NameHash, AnswerCount>()
  private readonly _names = new Map<string, NameHash>()

  static create (): RolloutEvidence {
    return new RolloutEvidence()
  }

  /** Counts of this gateway, by hash. */
  get counts (): ReadonlyMap<NameHash, AnswerCount> {
    return this._counts
  }

  /** Learns how long a route usually takes. */
  recordUsual (route: string, milliseconds: number): void {
    const logarithm = Math.log(Math.max(1, milliseconds))
    const known = this._usual.get(route)
    if (!known && this._usual.size >= MAXIMUM_ROUTES) return
    if (!known) return void this._usual.set(route, { logarithm, answers: 1 })
    known.answers++
    known.logarithm += Math.max(TIME_WEIGHT, 1 / known.answers) * (logarithm - known.logarithm)
  }

  /** Counts an answer during the roll-out that an order began. */
  record (order: string, arm: RolloutArm, route: string, outcome: AnswerOutcome): void {
    const name = this._nameOf(order, arm, route)
    const count = this._counts.get(name) ?? { answers: 0, bad: 0 }
    this._counts.set(name, count)
    count.answers++
    if (outcome.failed || this._isSlow(route, outcome.milliseconds)) count.bad++
  }

  /** Forgets all counts, when no roll-out is in progress. */
  clear (): void {
    this._counts.clear()
    this._names.clear()
  }

  /** Returns the evidence for each route; `othersOf` returns what the other gateways have counted. */
  list (order: string, routes: readonly string[], othersOf: (name: NameHash) => AnswerCount | undefined): RouteEvidence[] {
    const countOf = (arm: RolloutArm, route: string): AnswerCount => {
      const name = this._nameOf(order, arm, route)
      const own = this._counts.get(name)
      const others = othersOf(name)
      return { answers: (own?.answers ?? 0) + (others?.answers ?? 0), bad: (own?.bad ?? 0) + (others?.bad ?? 0) }
    }
    return routes.map(route => ({ oldVersion: countOf('old', route), newVersion: countOf('new', route) }))
  }

  private _isSlow (route: string, milliseconds: number): boolean {
    const usual = this._usual.get(route)
    if (!usual || usual.answers < SUFFICIENT_TIMES) return false
    const usualMilliseconds = Math.exp(usual.logarithm)
    return milliseconds > Math.max(usualMilliseconds * SLOW_FACTOR, usualMilliseconds + TOLERATED_DELAY_MILLISECONDS)
  }

  private _nameOf (order: string, arm: RolloutArm, route: string): NameHash {
    const text = `${order}/${arm}/${route}`
    const known = this._names.get(text)
    if (known !== undefined) return known
    const name = hashName(text)
    this._names.set(text, name)
    return name
  }
}
