/**
 * How long the requests of each route have taken, from which it follows how long a new one will probably take.
 *
 * @module
 */
import type { AcceptedRequest } from '../attempts/acceptedRequest.js'

/** What the duration of a request depends on. */
export interface RequestKind extends Pick<AcceptedRequest, 'route' | 'generation'> {
  /** Whether the caller has received a part of the response before. */
  isResumed: boolean
}

/** A moving average. */
interface Average {
  mean: number
  count: number
}

/** The average is about that of as many requests. */
const AVERAGED_REQUESTS = 30
/** Fewer requests say nothing. */
const MINIMUM_REQUESTS = 5
/** Of more kinds of requests, those that were met first are forgotten. */
const MAXIMUM_KINDS = 5000

/** The durations of the requests that one gateway has served. */
export class RequestDurations {
  private readonly _averages = new Map<string, Average>()

  static create (): RequestDurations {
    return new RequestDurations()
  }

  /** Records how long a request took whose response is complete. */
  record (kind: RequestKind, milliseconds: number): void {
    if (kind.isResumed) return
    const average = this._averageOf(keyOf(kind))
    average.count = Math.min(AVERAGED_REQUESTS, average.count + 1)
    average.mean += (milliseconds / unitsOf(kind) - average.mean) / average.count
  }

  /** Returns how many milliseconds a request will probably take; undefined if that is not known. */
  expect (kind: RequestKind): number | undefined {
    const average = this._averages.get(keyOf(kind))
    if (kind.isResumed || average === undefined || average.count < MINIMUM_REQUESTS) return undefined
    return average.mean * unitsOf(kind)
  }

  private _averageOf (key: string): Average {
    const known = this._averages.get(key)
    if (known) return known
    const average = { mean: 0, count: 0 }
    this._averages.set(key, average)
    if (this._averages.size > MAXIMUM_KINDS) this._averages.delete(this._averages.keys().next().value!)
    return average
  }
}

/** A generation takes as long as its output is long; other requests of a route are alike. */
function unitsOf ({ generation }: RequestKind): number {
  return Math.max(1, generation?.expectedOutputTokens ?? generation?.maximumOutputTokens ?? 1)
}

function keyOf ({ route, generation }: RequestKind): string {
  return `${generation ? 'generation' : 'plain'} ${route.name}`
}
