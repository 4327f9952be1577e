import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@plumstage/common'
import { OverloadGuard } from '@plumstage/serving'
import type { OverloadCall } from '@plumstage/serving'

const CALL: OverloadCall = { rank: 1, objectiveMilliseconds: 1000, patienceMilliseconds: 4000, longestPatienceMilliseconds: 4000, waitMilliseconds: 0 }
const TOKENS_PER_MILLISECOND = 160
const LATE_WORTH = 0.1
const DAY_MILLISECONDS = 20_000
const BURST_FROM_MILLISECONDS = 4000
const BURST_UNTIL_MILLISECONDS = 9000

interface Kind {
  rank: number
  tokens: number
  worth: number
  objectiveMilliseconds: number
  patienceMilliseconds: number
  perMillisecond: number
}

/** Long questions, summaries and chat; together 0.7 of what the upstreams read. */
const KINDS: Kind[] = [
  { rank: 0, tokens: 5000, worth: 5, objectiveMilliseconds: 800, patienceMilliseconds: 6000, perMillisecond: 0.013 },
  { rank: 1, tokens: 1900, worth: 1.1, objectiveMilliseconds: 1200, patienceMilliseconds: 4000, perMillisecond: 0.018 },
  { rank: 2, tokens: 700, worth: 0.5, objectiveMilliseconds: 1500, patienceMilliseconds: 15_000, perMillisecond: 0.015 }
]

interface Arrival {
  kind: Kind
  firstAt: number
  at: number
}

/** Plays a burst of more than the upstreams can read, in order of arrival; returns earned worth by rank as a share of the worth asked for. */
function playBurst (burst: number, seed: number, guard?: OverloadGuard): number[] {
  const random = SeededRandom.create(seed)
  const earned = [0, 0, 0]
  const asked = [0, 0, 0]
  let returning: Arrival[] = []
  let waitingTokens = 0
  for (let now = 0; now < DAY_MILLISECONDS; now++) {
    waitingTokens = Math.max(0, waitingTokens - TOKENS_PER_MILLISECOND)
    const load = now >= BURST_FROM_MILLISECONDS && now < BURST_UNTIL_MILLISECONDS ? burst : 1
    const arrivals = KINDS.filter(kind => random.nextFraction() < kind.perMillisecond * load).map(kind => ({ kind, firstAt: now, at: now }))
    for (const { kind } of arrivals) asked[kind.rank] += kind.worth
    const due = returning.filter(arrival => arrival.at <= now)
    returning = returning.filter(arrival => arrival.at > now)
    for (const arrival of [...arrivals, ...due]) {
      const { kind, firstAt } = arrival
      const patienceMilliseconds = firstAt + kind.patienceMilliseconds - now
      const waitMilliseconds = waitingTokens / TOKENS_PER_MILLISECOND
      const verdict = guard?.decide({ rank: kind.rank, objectiveMilliseconds: KINDS[0].objectiveMilliseconds, patienceMilliseconds, longestPatienceMilliseconds: kind.patienceMilliseconds, waitMilliseconds })
      if (verdict?.kind === 'rejected') {
        if (firstAt === now) returning.push({ kind, firstAt, at: now + verdict.retryAfterMilliseconds })
        continue
      }
      waitingTokens += kind.tokens
      const firstEventAt = now + waitMilliseconds + kind.tokens / TOKENS_PER_MILLISECOND
      if (firstEventAt - now >= patienceMilliseconds) continue
      earned[kind.rank] += firstEventAt - firstAt <= kind.objectiveMilliseconds ? kind.worth : kind.worth * LATE_WORTH
    }
  }
  return earned.map((worth, rank) => worth / asked[rank])
}

describe('overload guard', () => {
  it('rejects nothing while upstreams begin in time', () => {
    const guard = OverloadGuard.create(SeededRandom.create(1))
    for (let wait = 0; wait <= 400; wait += 50) assert.equal(guard.rejectedShare({ ...CALL, rank: 2, waitMilliseconds: wait }), 0)
  })

  it('turns less urgent requests away first, and those that have come back last', () => {
    const guard = OverloadGuard.create(SeededRandom.create(1))
    const share = (change: Partial<OverloadCall>): number => guard.rejectedShare({ ...CALL, waitMilliseconds: 850, ...change })
    assert.ok(share({ rank: 2 }) > share({ rank: 1 }) && share({ rank: 1 }) > share({ rank: 0 }))
    assert.ok(share({ rank: 2, patienceMilliseconds: 3000 }) < share({ rank: 0 }))
    assert.ok(share({ rank: 9, waitMilliseconds: 100_000 }) < 1)
  })

  it('rejects at once what would only begin when the caller has left, and says when to come back', () => {
    const guard = OverloadGuard.create(SeededRandom.create(1))
    const verdict = guard.decide({ ...CALL, waitMilliseconds: 3800 })
    assert.ok(verdict.kind === 'rejected' && verdict.retryAfterMilliseconds > 0 && verdict.retryAfterMilliseconds <= 4000 / 3)
  })

  it('brings more answers in time through a burst than waiting does, and shuts out no kind', () => {
    for (let seed = 1; seed <= 5; seed++) {
      const waiting = playBurst(2, seed)
      const guarded = playBurst(2, seed, OverloadGuard.create(SeededRandom.create(seed)))
      assert.ok(guarded[0] > waiting[0] + 0.1, `seed ${seed}: ${guarded[0]} and ${waiting[0]} of the most urgent`)
      assert.ok(Math.min(...guarded) > 0.5, `seed ${seed}: ${guarded.join(', ')}`)
    }
  })

  it('changes next to nothing without a burst', () => {
    for (let seed = 1; seed <= 5; seed++) {
      const guarded = playBurst(1, seed, OverloadGuard.create(SeededRandom.create(seed)))
      assert.ok(Math.min(...guarded) > 0.97, `seed ${seed}: ${guarded.join(', ')}`)
    }
  })
})
