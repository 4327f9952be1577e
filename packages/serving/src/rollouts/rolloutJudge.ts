/**
 * Judges a new version of a service by comparing its answers with those of the old one, on the same routes at the same
 * time.
 *
 * @module
 */

/** Answers of one version on one route. */
export interface AnswerCount {
  answers: number
  /** Those that failed or came several times later than usual. */
  bad: number
}

/** Answers of both versions on one route. */
export interface RouteEvidence {
  oldVersion: AnswerCount
  newVersion: AnswerCount
}

/** What the answers say about the new version. */
export type Verdict =
  | 'good'
  | 'bad'
  /** Too few answers. */
  | 'unknown'

/** A version is bad if chance explains its bad answers with less than this probability. */
const MAXIMUM_CHANCE = 0.0001
/** Fewer bad answers decide nothing. */
const MINIMUM_BAD_ANSWERS = 4
/** A few answers of the old version may all be good although some fail now and then. */
const ASSUMED_BAD_SHARE = 0.05
/** Weight of the assumed share, in answers. */
const ASSUMED_ANSWERS = 50
const SUFFICIENT_ANSWERS = 40
/** A good version may have this share of bad answers more than the old one. */
const TOLERATED_EXCESS = 0.1

/** Judges by all routes; one route on which the version is bad is enough. */
export function judgeVersion (routes: readonly RouteEvidence[]): Verdict {
  const total = sumRoutes(routes)
  if ([...routes, total].some(isWorse)) return 'bad'
  if (total.newVersion.answers < SUFFICIENT_ANSWERS) return 'unknown'
  return isNoWorse(total) ? 'good' : 'unknown'
}

/** Whether the new version has hardly more bad answers than the old one, however few there are. */
export function isNoWorse ({ oldVersion, newVersion }: RouteEvidence): boolean {
  return newVersion.answers > 0 && newVersion.bad / newVersion.answers <= usualShareOf(oldVersion) + TOLERATED_EXCESS
}

export function sumRoutes (routes: readonly RouteEvidence[]): RouteEvidence {
  const sum: RouteEvidence = { oldVersion: { answers: 0, bad: 0 }, newVersion: { answers: 0, bad: 0 } }
  for (const { oldVersion, newVersion } of routes) {
    sum.oldVersion.answers += oldVersion.answers
    sum.oldVersion.bad += oldVersion.bad
    sum.newVersion.answers += newVersion.answers
    sum.newVersion.bad += newVersion.bad
  }
  return sum
}

function isWorse ({ oldVersion, newVersion }: RouteEvidence): boolean {
  if (newVersion.bad < MINIMUM_BAD_ANSWERS) return false
  return chanceOfAtLeast(newVersion.bad, newVersion.answers, usualShareOf(oldVersion)) < MAXIMUM_CHANCE
}

function usualShareOf ({ answers, bad }: AnswerCount): number {
  return (bad + ASSUMED_BAD_SHARE * ASSUMED_ANSWERS) / (answers + ASSUMED_ANSWERS)
}

/** Probability that at least `count` of `answers` are bad when each is with probability `share`. */
function chanceOfAtLeast (count: number, answers: number, share: number): number {
  let term = Math.pow(1 - share, answers)
  let below = 0
  for (let bad = 0; bad < count; bad++) {
    below += term
    term *= (answers - bad) / (bad + 1) * share / (1 - share)
  }
  return Math.max(0, 1 - below)
}
