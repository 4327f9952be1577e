/**
 * Decides the next stage of a roll-out.
 *
 * @module
 */
import type { Timestamp } from '@plumstage/common'
import { isNoWorse, judgeVersion, sumRoutes } from './rolloutJudge.js'
import type { RouteEvidence, Verdict } from './rolloutJudge.js'
import type { RolloutProgress, RolloutStage } from './rolloutOrder.js'

/** Share of the duration for which a version is observed at least, since some turn bad late. */
const OBSERVATION_SHARE = 0.5
/** Share of the duration that is left when the roll-out ends in any case. */
const END_MARGIN_SHARE = 1 / 7
/** With so many answers, a version that is no worse is completed at the end. */
const MINIMUM_ANSWERS_AT_END = 10
/** The old upstreams are left time to receive and finish what other gateways send until they know of the move. */
const MINIMUM_MOVING_MILLISECONDS = 2500
/** For so long, no gateway may have had an answer of the old version: a gateway that has not heard of the move still sends there. */
const MINIMUM_QUIET_MILLISECONDS = 1000

/** What is known of a roll-out now. */
export interface RolloutObservation {
  evidence: readonly RouteEvidence[]
  /** Upstreams of the new version that may get requests. */
  newUpstreams: number
  /** Requests that the old upstreams run, as far as all gateways know. */
  oldRequests: number
  /** When a gateway last had an answer of the old version, as far as that is known here. */
  oldAnsweredAt: Timestamp
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

function decideMove ({ oldRequests, oldAnsweredAt }: RolloutObservation, movingSince: Timestamp, isEnding: boolean, now: Timestamp, decide: (stage: RolloutStage, reason: string) => RolloutDecision): RolloutDecision {
  if (isEnding) return decide('completed', 'its time is over')
  const isQuiet = oldRequests === 0 && now >= oldAnsweredAt + MINIMUM_QUIET_MILLISECONDS
  if (isQuiet && now >= movingSince + MINIMUM_MOVING_MILLISECONDS) return decide('completed', 'the old upstreams run nothing more')
  return decide('moving', 'the old upstreams finish their requests')
}

function decideAtEnd ({ evidence, newUpstreams }: RolloutObservation, decide: (stage: RolloutStage, reason: string) => RolloutDecision): RolloutDecision {
  const total = sumRoutes(evidence)
  if (newUpstreams === 0) return decide('rolled-back', 'no upstream of the version serves')
  if (total.newVersion.answers >= MINIMUM_ANSWERS_AT_END && isNoWorse(total)) return decide('completed', 'its time is over, and its few answers are as good as those of the old version')
  return decide('rolled-back', 'its time is over, and it is not known to be good')
}
