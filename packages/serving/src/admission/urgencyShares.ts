/**
 * Divides the room of a service among the ranks of its requests when they ask for more than there is.
 *
 * @module
 */

/** Part of the measured prefill rate that is given to requests while room is divided. */
const USABLE_SHARE = 0.95
/** Room is divided from the demand that is this multiple of the measured rate, while prompts wait, until it is below the other. */
const BEGIN_AT_DEMAND = 1.2
const END_AT_DEMAND = 1
/** Part of the critical wait that remains while the room is divided; a longer backlog is worked off. */
const TOLERABLE_WAIT_SHARE = 0.5
/** Time in which a backlog is worked off beside new requests. */
const BACKLOG_SECONDS = 1
/** Part of the room that remains in any case while a backlog is worked off. */
const MINIMUM_ROOM_SHARE = 0.3
/** Part of the room that a rank gets at least. */
const MINIMUM_RANK_SHARE = 0.2

/** What requests of one rank ask for, at all gateways. */
export interface RankDemand {
  /** 0 is the most urgent. */
  rank: number
  promptTokensPerSecond: number
}

/** The demand for a service, and its room. */
export interface ServiceLoad {
  demands: readonly RankDemand[]
  /** Upstreams that may get requests. */
  upstreams: number
  /** Prompt tokens that one upstream prefills in a second. */
  tokensPerSecond: number
  /** Prompt tokens that wait at all upstreams. */
  waitingTokens: number
  /** Mean wait at the upstreams by which the most urgent miss their aim. Room is divided from there on. */
  criticalWaitSeconds: number
}

/** Divides the room of one service. It goes on while the demand is too high, also when nothing waits because it was divided. */
export class RoomDivision {
  private _isDividing = false

  static create (): RoomDivision {
    return new RoomDivision()
  }

  /** Returns the share of the requests of each rank that may start; undefined while there is room for all. */
  divide ({ demands, upstreams, tokensPerSecond, waitingTokens, criticalWaitSeconds }: ServiceLoad): ReadonlyMap<number, number> | undefined {
    const capacity = upstreams * tokensPerSecond
    const asked = demands.filter(demand => demand.promptTokensPerSecond > 0).sort((left, right) => left.rank - right.rank)
    const total = asked.reduce((sum, demand) => sum + demand.promptTokensPerSecond, 0)
    const begins = total > capacity * BEGIN_AT_DEMAND && waitingTokens >= capacity * criticalWaitSeconds
    this._isDividing = capacity > 0 && asked.length > 1 && (begins || (this._isDividing && total > capacity * END_AT_DEMAND))
    if (!this._isDividing) return undefined
    const backlog = Math.max(0, waitingTokens - capacity * criticalWaitSeconds * TOLERABLE_WAIT_SHARE)
    const room = Math.max(capacity * MINIMUM_ROOM_SHARE, capacity * USABLE_SHARE - backlog / BACKLOG_SECONDS)
    return grantInOrder(asked, room)
  }
}

/** Gives each rank what it asks for, in order, but leaves the minimum of the ranks after it. */
function grantInOrder (asked: readonly RankDemand[], room: number): Map<number, number> {
  const minimumOf = ({ promptTokensPerSecond }: RankDemand): number => Math.min(promptTokensPerSecond, room * MINIMUM_RANK_SHARE)
  let left = room
  let reserved = asked.reduce((sum, demand) => sum + minimumOf(demand), 0)
  const shares = new Map<number, number>()
  for (const demand of asked) {
    reserved -= minimumOf(demand)
    const granted = Math.min(demand.promptTokensPerSecond, Math.max(minimumOf(demand), left - reserved))
    left -= granted
    shares.set(demand.rank, granted / demand.promptTokensPerSecond)
  }
  return shares
}
