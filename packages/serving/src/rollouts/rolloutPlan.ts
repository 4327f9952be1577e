/**
 * Decides the next stage of a roll-out.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { sumRoutes, judgeVersion } from './rolloutJudge.js'
import type { RouteEvidence, Verdict } from './rolloutJudge.js'
import type { RolloutProgress, RolloutStage } from './rolloutOrder.js'

/** Share of the duration for which a version is observed at least, since some turn bad late. */
const OBSERVATION_SHARE = 0.5
/** Share of the duration that is left when the roll-out ends in any case. */
const END_MARGIN_SHARE = 1 / 7
/** Without an answer against it, a version with so many answers is completed at the end. */
const MINIMUM_ANSWERS_AT_END = 10
/** The old upstreams are left time to receive and finish what other gateways send until they know of the move. */
const MINIMUM_MOVING_MILLISECONDS = 2500

/** What is known of a roll-out now. */
export interface RolloutObservation {
  evidence: readonly RouteEvidence[]
  /** Upstreams of the new version that may get requests. */
  newUpstreams: number
  /** Requests that the old upstreams run, as far as all gateways know. */
  oldRequests: number
}

/** The next stage, and why. */
export interface RolloutDecision {
  stage: RolloutStage
  verdict: Verdict
  reason: string
}

/** Returns the decision on a roll-out in progress; its stage may be the one that holds. `movingSince` is when the move began. */
export function decideRollout (progress: RolloutProgress, observation: RolloutObservation, movingSince: Timestamp | undefined, now: Timestamp): RolloutDecision {
  const verdict = judgeVersion(observation.evidence)
  const decide = (stage: RolloutStage, reason: string): RolloutDecision => ({ stage, verdict, reason })
  if (verdict === 'bad') return decide('rolled-back', 'its answers are worse than those of the old version')
  const duration = progress.deadlineAt - progress.startedAt
  const isEnding = now >= progress.deadlineAt - duration * END_MARGIN_SHARE
  if (progress.stage === 'moving') return decideMove(observation, movingSince ?? now, isEnding, now, decide)
  if (isEnding) return decideAtEnd(observation, decide)
  if (verdict === 'good' && now >= progress.startedAt + duration * OBSERVATION_SHARE) return decide('moving', 'its answers are as good as those of the old version')
  return decide('observing', 'it is observed')
}

function decideMove ({ oldRequests }: RolloutObservation, movingSince: Timestamp, isEnding: boolean, now: Timestamp, decide: (stage: RolloutStage, reason: string) => RolloutDecision): RolloutDecision {
  if (isEnding) return decide('completed', 'its time is over')
  if (oldRequests === 0 && now >= movingSince + MINIMUM_MOVING_MILLISECONDS) return decide('completed', 'the old upstreams run nothing more')
  return decide('moving', 'the old upstreams finish their requests')
}

function decideAtEnd ({ evidence, newUpstreams }: RolloutObservation, decide: (stage: RolloutStage, reason: string) => RolloutDecision): RolloutDecision {
  const { newVersion } = sumRoutes(evidence)
  if (newUpstreams === 0) return decide('rolled-back', 'no upstream of the version serves')
  if (newVersion.answers >= MINIMUM_ANSWERS_AT_END && newVersion.bad === 0) return decide('completed', 'its time is over, and no answer speaks against it')
  return decide('rolled-back', 'its time is over, and it is not known to be good')
}
