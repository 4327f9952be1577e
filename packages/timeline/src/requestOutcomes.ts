/**
 * Groups the requests that ended in a period by route, outcome and time, to show after a bad hour which requests were
 * not served, when and why.
 *
 * @module
 */
import type { ActionEvent } from '@plumstage/common'
import { QuotaReplay } from './quotaReplay.js'

const REQUEST_ENDED = 'request-ended'
const REQUEST_REJECTED = 'request-rejected'
const QUOTA_EXCEEDED = 'quota-exceeded'
const UNKNOWN_ROUTE = '(none)'
const PERCENTILE = 0.99

/** Requests of one route that ended in the same way within one time window. */
export interface OutcomeGroup {
  /** Start of the window, in milliseconds since the epoch. */
  windowStart: number
  route: string
  /** How the requests ended: `complete`, or the reason why they did not. */
  outcome: string
  /** Status that the callers received; 0 when none was sent. */
  status: number
  requests: number
  /** Requests refused by a quota that had enough left for them, over all gateways. */
  refusedWithinQuota: number
  /** Mean number of attempts. */
  attempts: number
  /** Median time from the acceptance of a request to its first event, or to its end when it has no events. */
  medianWaitMilliseconds: number
  /** 99th percentile of the same time. */
  highWaitMilliseconds: number
}

/** One request that ended. */
interface EndedRequest {
  time: number
  route: string
  outcome: string
  status: number
  attempts: number
  waitMilliseconds: number
  refusedWithinQuota: boolean
}

/** Groups the ended requests of a timeline; `windowMilliseconds` is the length of the time windows. */
export function groupOutcomes (events: readonly ActionEvent[], windowMilliseconds: number): OutcomeGroup[] {
  const replay = QuotaReplay.create(events)
  const groups = new Map<string, EndedRequest[]>()
  for (const event of events) {
    const ended = readEndedRequest(event, replay)
    if (!ended) continue
    const key = [windowStartOf(ended.time, windowMilliseconds), ended.route, ended.outcome, ended.status].join(' ')
    const group = groups.get(key) ?? []
    groups.set(key, group)
    group.push(ended)
  }
  return [...groups.values()].map(group => summarize(group, windowMilliseconds)).sort(compareGroups)
}

/** Formats the groups as a table. */
export function formatOutcomeTable (groups: readonly OutcomeGroup[]): string {
  const header = ['from', 'route', 'outcome', 'status', 'requests', 'within quota', 'attempts', 'median ms', 'p99 ms']
  const rows = groups.map(group => [new Date(group.windowStart).toISOString(), group.route, group.outcome, group.status, group.requests, group.refusedWithinQuota, group.attempts, group.medianWaitMilliseconds, group.highWaitMilliseconds].map(String))
  const widths = header.map((name, column) => Math.max(name.length, ...rows.map(row => row[column].length)))
  return [header, ...rows].map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n') + '\n'
}

/** Formats the groups as JSON lines. */
export function formatOutcomeLines (groups: readonly OutcomeGroup[]): string {
  return groups.map(group => JSON.stringify(group) + '\n').join('')
}

function readEndedRequest (event: ActionEvent, replay: QuotaReplay): EndedRequest | undefined {
  const { kind, time, attributes = {} } = event
  if (kind !== REQUEST_ENDED && kind !== REQUEST_REJECTED) return undefined
  const outcome = String(kind === REQUEST_ENDED ? attributes.outcome : attributes.reason)
  return {
    time,
    route: String(attributes.route ?? UNKNOWN_ROUTE),
    outcome,
    status: Number(attributes.status ?? 0),
    attempts: Number(attributes.attempts ?? 0),
    waitMilliseconds: Number(attributes.firstEventMilliseconds ?? attributes.milliseconds ?? 0),
    refusedWithinQuota: outcome === QUOTA_EXCEEDED && replay.wouldHaveAdmitted(event)
  }
}

function summarize (group: readonly EndedRequest[], windowMilliseconds: number): OutcomeGroup {
  const [{ time, route, outcome, status }] = group
  const waits = group.map(request => request.waitMilliseconds).sort((left, right) => left - right)
  const attempts = group.reduce((sum, request) => sum + request.attempts, 0) / group.length
  return {
    windowStart: windowStartOf(time, windowMilliseconds),
    route,
    outcome,
    status,
    requests: group.length,
    refusedWithinQuota: group.filter(request => request.refusedWithinQuota).length,
    attempts: Math.round(attempts * 100) / 100,
    medianWaitMilliseconds: waits[Math.floor(waits.length / 2)],
    highWaitMilliseconds: waits[Math.floor((waits.length - 1) * PERCENTILE)]
  }
}

function windowStartOf (time: number, windowMilliseconds: number): number {
  return Math.floor(time / windowMilliseconds) * windowMilliseconds
}

function compareGroups (left: OutcomeGroup, right: OutcomeGroup): number {
  return left.windowStart - right.windowStart || left.route.localeCompare(right.route) || right.requests - left.requests
}
