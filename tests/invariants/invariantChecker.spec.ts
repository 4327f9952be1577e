import assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'
import { INVARIANT_NAMES, checkInvariants } from '../../scenarios/checker/invariantChecker.js'
import type { FinalGatewayState, InvariantName } from '../../scenarios/checker/invariantChecker.js'
import { readScenario } from '../../scenarios/runner/scenarioFiles.js'
import { finalStateOf, runScenario } from '../../scenarios/runner/scenarioRunner.js'
import type { RequestRecord } from '../../scenarios/simulation/requestRecord.js'
import type { RunHistory } from '../../scenarios/simulation/virtualDeployment.js'

type HistoryMutation = (history: RunHistory, gateways: FinalGatewayState[]) => void

function requestOf (history: RunHistory, kind: RequestRecord['kind']): RequestRecord {
  return history.requests.find(request => request.kind === kind)!
}

/** Changes to a valid history that violate one invariant each, as a faulty gateway would. */
const MUTATIONS: ReadonlyArray<[InvariantName, string, HistoryMutation]> = [
  ['every-call-ends', 'a request that never ended', history => { delete requestOf(history, 'stream').endedAt }],
  ['survives-reclaim', 'an accepted request that failed without an unannounced failure', history => Object.assign(requestOf(history, 'read'), { outcome: 'unknown', errorCode: 'upstream_failed' })],
  ['own-whole-answer', 'a stream with a missing token', history => { const request = requestOf(history, 'stream'); request.text = request.text.split('\n\n').filter((_event, index) => index !== 4).join('\n\n') }],
  ['own-whole-answer', 'a stream with a repeated token', history => { const request = requestOf(history, 'stream'); const events = request.text.split('\n\n'); request.text = [...events.slice(0, 5), ...events.slice(4)].join('\n\n') }],
  ['own-whole-answer', 'the response of another request', history => { requestOf(history, 'whole').content = 'something else' }],
  ['own-whole-answer', 'an incomplete stream with the outcome complete', history => { const request = requestOf(history, 'stream'); request.text = request.text.split('\n\n').slice(0, 9).join('\n\n') + '\n\ndata: [DONE]\n\n' }],
  ['own-whole-answer', 'a wrong plain response', history => { requestOf(history, 'write').text = '{"content":"not this one"}' }],
  ['not-run-is-true', 'the outcome not-run of an executed request', history => Object.assign(requestOf(history, 'read'), { outcome: 'not-run', errorCode: 'overloaded' })],
  ['at-most-once', 'a write that was executed twice', history => { const request = requestOf(history, 'write'); history.executions.push({ ...history.executions.find(execution => execution.content === request.content)! }) }],
  ['leaving-gets-no-work', 'a late request to a leaving upstream', history => { const execution = history.executions[0]; history.reclaims.push({ address: execution.upstream, incarnation: 'i', announcedAt: execution.startedAt - 3001, deadline: execution.startedAt + 1000 }) }],
  ['planned-stop-cuts-nothing', 'a request cut off by a planned stop', history => { const request = requestOf(history, 'stream'); history.stops.push({ gateway: request.gateway, startedAt: request.sentAt + 1 }); delete request.outcome }],
  ['configuration-never-reverts', 'an older revision in force', history => { const event = history.events.find(candidate => candidate.kind === 'configuration-adopted')!; history.events.push({ ...event, attributes: { ...event.attributes, revision: 1 } }) }],
  ['no-task-fails', 'a task that failed and went on', history => { history.events.push({ ...history.events[0], kind: 'task-failed', attributes: { task: 'peers', error: 'no' } }) }],
  ['configuration-in-force', 'a gateway with an outdated configuration', (_history, gateways) => { gateways[0].configurationRevision = 0 }]
]

describe('invariant checker', () => {
  let history: RunHistory
  let gateways: FinalGatewayState[]
  before(async () => {
    const { deployment, violations } = await runScenario(readScenario('steadyService'), 1)
    assert.deepEqual(violations, [])
    history = deployment.history
    gateways = deployment.gateways.map(finalStateOf)
  })

  for (const [invariant, fault, mutate] of MUTATIONS) {
    it(`finds ${fault}`, () => {
      const mutated = structuredClone(history)
      const mutatedGateways = structuredClone(gateways)
      mutate(mutated, mutatedGateways)
      const found = checkInvariants(mutated, mutatedGateways).map(violation => violation.invariant)
      assert.ok(found.includes(invariant), `found ${found.join(', ') || 'nothing'}`)
    })
  }

  it('has a violating history for every invariant', () => {
    assert.deepEqual(INVARIANT_NAMES.filter(name => !MUTATIONS.some(([invariant]) => invariant === name)), [])
  })
})
