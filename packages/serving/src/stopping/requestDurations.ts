/**
 * How long the requests of each route have taken, from which it follows how long a new one will probably take.
 *
 * @module
 */
import type { AcceptedRequest } from '../attempts/acceptedRequest.js'
import { DurationEstimate } from './durationEstimate.js'

/** What the duration of a request depends on. */
export interface RequestKind extends Pick<AcceptedRequest, 'route' | 'generation'> {
  /** Whether the caller has received a part of the response before. */
  isResumed: boolean
}

/** Of more kinds of requests, those that were met first are forgotten. */
const MAXIMUM_KINDS = 5000

/** The durations of the requests that one gateway has served. */
export class RequestDurations {
  private readonly _estimates = new Map<string, DurationEstimate>()

  static create (): RequestDurations {
    return new RequestDurations()
  }

  /** Records how long a request took whose response is complete. */
  record (kind: RequestKind, milliseconds: number): void {
    if (!kind.isResumed) this._estimateOf(keyOf(kind)).record(tokensOf(kind), milliseconds)
  }

  /** Returns how many milliseconds a request will probably take; undefined if that is not known. */
  expect (kind: RequestKind): number | undefined {
    return kind.isResumed ? undefined : this._estimates.get(keyOf(kind))?.expect(tokensOf(kind))
  }

  private _estimateOf (key: string): DurationEstimate {
    const known = this._estimates.get(key)
    if (known) return known
    const estimate = DurationEstimate.create()
    this._estimates.set(key, estimate)
    if (this._estimates.size > MAXIMUM_KINDS) this._estimates.delete(this._estimates.keys().next().value!)
    return estimate
  }
}

/** A generation takes the longer the longer its output is; other requests of a route are alike. */
function tokensOf ({ generation }: RequestKind): number {
  return generation?.expectedOutputTokens ?? generation?.maximumOutputTokens ?? 0
}

function keyOf ({ route, generation }: RequestKind): string {
  return `${generation ? 'generation' : 'plain'} ${route.name}`
}
