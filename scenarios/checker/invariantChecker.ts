/**
 * Checks the invariants of the gateway against the recorded history of a run.
 *
 * @module
 */
import { renderChat } from '@plumstage/common/promptBlocks'
import { TokenSource } from '@plumstage/standins'
import type { RequestRecord } from '../simulation/requestRecord.js'
import type { RunHistory } from '../simulation/virtualDeployment.js'

/** Names of the invariants. */
export type InvariantName =
  | 'every-call-ends' | 'survives-reclaim' | 'own-whole-answer' | 'not-run-is-true' | 'at-most-once'
  | 'leaving-gets-no-work' | 'planned-stop-cuts-nothing' | 'configuration-never-reverts' | 'configuration-in-force'
  | 'no-task-fails'

export const INVARIANT_NAMES: readonly InvariantName[] = [
  'every-call-ends', 'survives-reclaim', 'own-whole-answer', 'not-run-is-true', 'at-most-once',
  'leaving-gets-no-work', 'planned-stop-cuts-nothing', 'configuration-never-reverts', 'configuration-in-force',
  'no-task-fails'
]

/** A violated invariant, with what was observed. */
export interface Violation {
  invariant: InvariantName
  detail: string
  requestId?: string
}

/** The state of a gateway at the end of a run. */
export interface FinalGatewayState {
  name: string
  /** Whether the gateway is running and not stopping. */
  serving: boolean
  configurationRevision: number
}

/** Documented limit for how long after a reclaim notice the upstream may still receive new requests, in milliseconds. */
const LEAVING_GRACE_MILLISECONDS = 3000

/** Returns all violations in the history of a run in which all activity has ended. */
export function checkInvariants (history: RunHistory, gateways: readonly FinalGatewayState[]): Violation[] {
  return [
    ...checkRequestsEnd(history),
    ...checkReclaimSurvival(history),
    ...checkResponses(history),
    ...checkNotRunOutcomes(history),
    ...checkAtMostOnce(history),
    ...checkLeavingUpstreams(history),
    ...checkPlannedStops(history),
    ...checkConfigurationOrder(history),
    ...checkConfigurationInForce(history, gateways),
    ...checkTasks(history)
  ]
}

function checkRequestsEnd (history: RunHistory): Violation[] {
  return history.requests.filter(request => request.endedAt === undefined)
    .map(request => ({ invariant: 'every-call-ends', requestId: request.requestId, detail: `${request.label} through ${request.gateway} never ended` }))
}

function checkReclaimSurvival (history: RunHistory): Violation[] {
  if (history.unannouncedFailure) return []
  return history.requests.filter(request => request.accepted && request.outcome === 'unknown' && request.errorCode === 'upstream_failed')
    .map(request => ({ invariant: 'survives-reclaim', requestId: request.requestId, detail: `${request.label} ended with ${request.errorCode} although every failure was announced` }))
}

function checkResponses (history: RunHistory): Violation[] {
  return history.requests.flatMap(request => {
    const problem = request.kind === 'stream' ? findStreamedResponseProblem(request) : findBufferedResponseProblem(request)
    return problem === undefined ? [] : [{ invariant: 'own-whole-answer' as const, requestId: request.requestId, detail: `${request.label}: ${problem}` }]
  })
}

/** A stream must be a prefix of the expected response, without gaps or repeated tokens; complete if its outcome is. */
function findStreamedResponseProblem (request: RequestRecord): string | undefined {
  if (request.status !== 200) return undefined
  const positions: number[] = []
  let text = ''
  let done = false
  for (const event of request.text.split('\n\n')) {
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
  const expected = TokenSource.create(renderChat([{ role: 'user', content: request.content }]))
  if (positions.some((position, index) => position !== index + 1)) return `positions ${positions.join(',')} are not consecutive`
  if (text !== expected.textUpTo(Math.min(positions.length, request.tokens))) return 'the text does not belong to this request'
  if (request.outcome !== 'complete') return done ? `the stream ended with [DONE], but its outcome is ${request.outcome}` : undefined
  return done && positions.length === request.tokens + 1 ? undefined : 'the outcome is complete, but the last token is missing'
}

function findBufferedResponseProblem (request: RequestRecord): string | undefined {
  if (request.outcome !== 'complete' || request.status !== 200) return undefined
  const response = JSON.parse(request.text)
  if (request.kind === 'whole') {
    const expected = TokenSource.create(renderChat([{ role: 'user', content: request.content }])).textUpTo(request.tokens)
    return response.choices[0].message.content === expected ? undefined : 'the text does not belong to this request'
  }
  const expected = request.kind === 'write' ? request.content : ''
  return response.content === expected ? undefined : 'the response belongs to another request'
}

function checkNotRunOutcomes (history: RunHistory): Violation[] {
  const executed = new Set(history.executions.map(execution => execution.requestId))
  return history.requests.filter(request => request.outcome === 'not-run' && executed.has(request.requestId))
    .map(request => ({ invariant: 'not-run-is-true', requestId: request.requestId, detail: `${request.label} has the outcome not-run, but was executed` }))
}

function checkAtMostOnce (history: RunHistory): Violation[] {
  const violations: Violation[] = []
  const checked = new Set<string>()
  for (const request of history.requests) {
    if (request.kind !== 'write') continue
    const identity = request.idempotencyKey ?? request.requestId
    if (checked.has(identity)) continue
    checked.add(identity)
    const executions = history.executions.filter(execution => request.idempotencyKey === undefined ? execution.requestId === request.requestId : execution.content === request.content)
    if (executions.length > 1) violations.push({ invariant: 'at-most-once', requestId: request.requestId, detail: `${request.label} (${request.content}) was executed ${executions.length} times` })
  }
  return violations
}

function checkLeavingUpstreams (history: RunHistory): Violation[] {
  return history.reclaims.flatMap(reclaim => history.executions
    .filter(execution => execution.upstream === reclaim.address && execution.startedAt > reclaim.announcedAt + LEAVING_GRACE_MILLISECONDS && execution.startedAt < (reclaim.endedAt ?? Infinity))
    .map(execution => ({ invariant: 'leaving-gets-no-work' as const, requestId: execution.requestId, detail: `${reclaim.address} received a request ${execution.startedAt - reclaim.announcedAt} ms after its reclaim notice` })))
}

function checkPlannedStops (history: RunHistory): Violation[] {
  return history.stops.flatMap(stop => history.requests
    .filter(request => request.gateway === stop.gateway && request.sentAt <= stop.startedAt && (request.endedAt ?? Infinity) > stop.startedAt && request.outcome === undefined)
    .map(request => ({ invariant: 'planned-stop-cuts-nothing' as const, requestId: request.requestId, detail: `${request.label} lost its connection in the planned stop of ${stop.gateway}` })))
}

function checkConfigurationOrder (history: RunHistory): Violation[] {
  const revisions = new Map<string, number>()
  const violations: Violation[] = []
  for (const event of history.events) {
    if (event.kind !== 'configuration-adopted') continue
    const key = `${event.process} ${event.incarnation}`
    const revision = Number(event.attributes?.revision)
    const before = revisions.get(key) ?? 0
    if (revision < before) violations.push({ invariant: 'configuration-never-reverts', detail: `${event.process} went from revision ${before} to ${revision}` })
    revisions.set(key, Math.max(before, revision))
  }
  return violations
}

function checkConfigurationInForce (history: RunHistory, gateways: readonly FinalGatewayState[]): Violation[] {
  const accepted = Math.max(0, ...history.changes.map(change => change.revision))
  return gateways.filter(gateway => gateway.serving && gateway.configurationRevision < accepted)
    .map(gateway => ({ invariant: 'configuration-in-force', detail: `${gateway.name} has revision ${gateway.configurationRevision} in force, but ${accepted} was accepted` }))
}

/** Gateways go on after the error of a task, so that it would not show otherwise. */
function checkTasks (history: RunHistory): Violation[] {
  return history.events.filter(({ kind }) => kind === 'task-failed')
    .map(({ process, attributes }) => ({ invariant: 'no-task-fails', detail: `the task ${attributes?.task} of ${process} failed: ${attributes?.error}` }))
}
