/**
 * Checks what must always hold against everything that happened in a run.
 *
 * @module
 */
import { renderChat } from '@plumstage/common/promptBlocks'
import { TokenSource } from '@plumstage/standins'
import type { RequestRecord } from '../simulation/requestRecord.js'
import type { RunHistory } from '../simulation/virtualDeployment.js'

/** What must always hold. */
export type InvariantName =
  | 'every-call-ends' | 'survives-reclaim' | 'own-whole-answer' | 'not-run-is-true' | 'at-most-once'
  | 'leaving-gets-no-work' | 'planned-stop-cuts-nothing' | 'configuration-never-reverts' | 'configuration-in-force'

export const INVARIANT_NAMES: readonly InvariantName[] = [
  'every-call-ends', 'survives-reclaim', 'own-whole-answer', 'not-run-is-true', 'at-most-once',
  'leaving-gets-no-work', 'planned-stop-cuts-nothing', 'configuration-never-reverts', 'configuration-in-force'
]

/** Something that must not happen did. */
export interface Violation {
  invariant: InvariantName
  detail: string
  requestId?: string
}

/** The state of a gateway at the end of a run. */
export interface FinalGatewayState {
  name: string
  /** Whether it still runs and is not stopping. */
  serving: boolean
  configurationRevision: number
}

/** The stated bound of a leaving upstream's new work, in milliseconds after the notice. */
const LEAVING_GRACE_MILLISECONDS = 3000

/** Returns every violation in the evidence of a run that has come to rest. */
export function checkInvariants (evidence: RunHistory, gateways: readonly FinalGatewayState[]): Violation[] {
  return [
    ...checkRequestsEnd(evidence),
    ...checkReclaimSurvival(evidence),
    ...checkResponses(evidence),
    ...checkNotRunOutcomes(evidence),
    ...checkAtMostOnce(evidence),
    ...checkLeavingUpstreams(evidence),
    ...checkPlannedStops(evidence),
    ...checkConfigurationOrder(evidence),
    ...checkConfigurationInForce(evidence, gateways)
  ]
}

function checkRequestsEnd (evidence: RunHistory): Violation[] {
  return evidence.requests.filter(call => call.endedAt === undefined)
    .map(call => ({ promise: 'every-call-ends', requestId: call.requestId, detail: `${call.label} through ${call.gateway} was never answered` }))
}

function checkReclaimSurvival (evidence: RunHistory): Violation[] {
  if (evidence.unannouncedFailure) return []
  return evidence.requests.filter(call => call.accepted && call.outcome === 'unknown' && call.errorCode === 'upstream_failed')
    .map(call => ({ promise: 'survives-reclaim', requestId: call.requestId, detail: `${call.label} ended with ${call.errorCode} although every failure was announced` }))
}

function checkResponses (evidence: RunHistory): Violation[] {
  return evidence.requests.flatMap(call => {
    const problem = call.kind === 'stream' ? findStreamedResponseProblem(call) : findBufferedResponseProblem(call)
    return problem === undefined ? [] : [{ promise: 'own-whole-answer' as const, requestId: call.requestId, detail: `${call.label}: ${problem}` }]
  })
}

/** A stream must be the start of the call's own answer, without gap or repeat, and all of it when it is complete. */
function findStreamedResponseProblem (call: RequestRecord): string | undefined {
  if (call.status !== 200) return undefined
  const positions: number[] = []
  let text = ''
  let done = false
  for (const event of call.text.split('\n\n')) {
    const data = /^data: (.*)$/m.exec(event)?.[1]
    if (data === undefined) continue
    if (data === '[DONE]') {
      done = true
      continue
    }
    const parsed = JSON.parse(data)
    if (parsed.error) continue
    positions.push(Number(/^id: (\d+)$/m.exec(event)?.[1]))
    text += parsed.choices[0].delta.content ?? ''
  }
  const expected = TokenSource.create(renderChat([{ role: 'user', content: call.content }]))
  if (positions.some((position, index) => position !== index + 1)) return `positions ${positions.join(',')} have a gap or a repeat`
  if (text !== expected.textUpTo(Math.min(positions.length, call.tokens))) return 'the text is not that of its own answer'
  if (call.outcome !== 'complete') return done ? `the stream ended properly, but the caller was told ${call.outcome}` : undefined
  return done && positions.length === call.tokens + 1 ? undefined : 'the caller was told complete before the last token'
}

function findBufferedResponseProblem (call: RequestRecord): string | undefined {
  if (call.outcome !== 'complete' || call.status !== 200) return undefined
  const answer = JSON.parse(call.text)
  if (call.kind === 'whole') {
    const expected = TokenSource.create(renderChat([{ role: 'user', content: call.content }])).textUpTo(call.tokens)
    return answer.choices[0].message.content === expected ? undefined : 'the text is not that of its own answer'
  }
  const expected = call.kind === 'write' ? call.content : ''
  return answer.content === expected ? undefined : 'the answer belongs to another call'
}

function checkNotRunOutcomes (evidence: RunHistory): Violation[] {
  const ran = new Set(evidence.executions.map(run => run.requestId))
  return evidence.requests.filter(call => call.outcome === 'not-run' && ran.has(call.requestId))
    .map(call => ({ promise: 'not-run-is-true', requestId: call.requestId, detail: `${call.label} was told not-run and has run` }))
}

function checkAtMostOnce (evidence: RunHistory): Violation[] {
  const violations: Violation[] = []
  const checked = new Set<string>()
  for (const call of evidence.requests) {
    if (call.kind !== 'write') continue
    const identity = call.idempotencyKey ?? call.requestId
    if (checked.has(identity)) continue
    checked.add(identity)
    const runs = evidence.executions.filter(run => call.idempotencyKey === undefined ? run.requestId === call.requestId : run.content === call.content)
    if (runs.length > 1) violations.push({ invariant: 'at-most-once', requestId: call.requestId, detail: `${call.label} (${call.content}) ran ${runs.length} times` })
  }
  return violations
}

function checkLeavingUpstreams (evidence: RunHistory): Violation[] {
  return evidence.reclaims.flatMap(reclaim => evidence.executions
    .filter(run => run.upstream === reclaim.address && run.startedAt > reclaim.announcedAt + LEAVING_GRACE_MILLISECONDS && run.startedAt < (reclaim.endedAt ?? Infinity))
    .map(run => ({ promise: 'leaving-gets-no-work' as const, requestId: run.requestId, detail: `${reclaim.address} got work ${run.startedAt - reclaim.announcedAt} ms after its notice` })))
}

function checkPlannedStops (evidence: RunHistory): Violation[] {
  return evidence.stops.flatMap(stop => evidence.requests
    .filter(call => call.gateway === stop.gateway && call.sentAt <= stop.startedAt && (call.endedAt ?? Infinity) > stop.startedAt && call.outcome === undefined)
    .map(call => ({ promise: 'planned-stop-cuts-nothing' as const, requestId: call.requestId, detail: `${call.label} was cut off by the stop of ${stop.gateway}` })))
}

function checkConfigurationOrder (evidence: RunHistory): Violation[] {
  const revisions = new Map<string, number>()
  const violations: Violation[] = []
  for (const event of evidence.events) {
    if (event.kind !== 'configuration-adopted') continue
    const key = `${event.process} ${event.incarnation}`
    const revision = Number(event.attributes?.revision)
    const before = revisions.get(key) ?? 0
    if (revision < before) violations.push({ invariant: 'configuration-never-reverts', detail: `${event.process} went from revision ${before} to ${revision}` })
    revisions.set(key, Math.max(before, revision))
  }
  return violations
}

function checkConfigurationInForce (evidence: RunHistory, gateways: readonly FinalGatewayState[]): Violation[] {
  const accepted = Math.max(0, ...evidence.changes.map(change => change.revision))
  return gateways.filter(gateway => gateway.serving && gateway.configurationRevision < accepted)
    .map(gateway => ({ promise: 'configuration-in-force', detail: `${gateway.name} has revision ${gateway.configurationRevision} in force, accepted is ${accepted}` }))
}
