import assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'
import { INVARIANT_NAMES, checkInvariants } from '../../scenarios/checker/invariantChecker.js'
import type { FinalGatewayState, InvariantName } from '../../scenarios/checker/invariantChecker.js'
import { readScenario } from '../../scenarios/runner/scenarioFiles.js'
import { finalStateOf, runScenario } from '../../scenarios/runner/scenarioRunner.js'
import type { RequestRecord } from '../../scenarios/simulation/requestRecord.js'
import type { RunHistory } from '../../scenarios/simulation/virtualDeployment.js'

type Breaker = (evidence: RunHistory, gateways: FinalGatewayState[]) => void

function callOf (evidence: RunHistory, kind: RequestRecord['kind']): RequestRecord {
  return evidence.requests.find(call => call.kind === kind)!
}

/** Each breaks one promise, as a faulty gateway would. */
const BREAKERS: ReadonlyArray<[InvariantName, string, Breaker]> = [
  ['every-call-ends', 'a call without an end', evidence => { delete callOf(evidence, 'stream').endedAt }],
  ['survives-reclaim', 'an accepted call that failed', evidence => Object.assign(callOf(evidence, 'read'), { outcome: 'unknown', errorCode: 'upstream_failed' })],
  ['own-whole-answer', 'a stream with a token left out', evidence => { const call = callOf(evidence, 'stream'); call.text = call.text.split('\n\n').filter((_event, index) => index !== 4).join('\n\n') }],
  ['own-whole-answer', 'a stream with a token twice', evidence => { const call = callOf(evidence, 'stream'); const events = call.text.split('\n\n'); call.text = [...events.slice(0, 5), ...events.slice(4)].join('\n\n') }],
  ['own-whole-answer', 'the answer of another call', evidence => { callOf(evidence, 'whole').content = 'something else' }],
  ['own-whole-answer', 'half a stream that is called complete', evidence => { const call = callOf(evidence, 'stream'); call.text = call.text.split('\n\n').slice(0, 9).join('\n\n') + '\n\ndata: [DONE]\n\n' }],
  ['own-whole-answer', 'another plain answer', evidence => { callOf(evidence, 'write').text = '{"content":"not this one"}' }],
  ['not-run-is-true', 'not-run told of a call that ran', evidence => Object.assign(callOf(evidence, 'read'), { outcome: 'not-run', errorCode: 'overloaded' })],
  ['at-most-once', 'a write that ran twice', evidence => { const call = callOf(evidence, 'write'); evidence.executions.push({ ...evidence.executions.find(run => run.content === call.content)! }) }],
  ['leaving-gets-no-work', 'late work on a leaving upstream', evidence => { const run = evidence.executions[0]; evidence.reclaims.push({ address: run.upstream, incarnation: 'i', announcedAt: run.startedAt - 3001, deadline: run.startedAt + 1000 }) }],
  ['planned-stop-cuts-nothing', 'a call cut off by a stop', evidence => { const call = callOf(evidence, 'stream'); evidence.stops.push({ gateway: call.gateway, startedAt: call.sentAt + 1 }); delete call.outcome }],
  ['configuration-never-reverts', 'an older revision in force', evidence => { const event = evidence.events.find(candidate => candidate.kind === 'configuration-adopted')!; evidence.events.push({ ...event, attributes: { ...event.attributes, revision: 1 } }) }],
  ['configuration-in-force', 'a gateway left behind', (_evidence, gateways) => { gateways[0].configurationRevision = 0 }]
]

describe('promise checker', () => {
  let evidence: RunHistory
  let gateways: FinalGatewayState[]
  before(async () => {
    const { deployment: world, violations } = await runScenario(readScenario('steadyService'), 1)
    assert.deepEqual(violations, [])
    evidence = world.history
    gateways = world.gateways.map(finalStateOf)
  })

  for (const [promise, fault, breakIt] of BREAKERS) {
    it(`finds ${fault}`, () => {
      const broken = structuredClone(evidence)
      const brokenGateways = structuredClone(gateways)
      breakIt(broken, brokenGateways)
      const found = checkInvariants(broken, brokenGateways).map(violation => violation.invariant)
      assert.ok(found.includes(promise), `found ${found.join(', ') || 'nothing'}`)
    })
  }

  it('has a broken example of every promise', () => {
    assert.deepEqual(INVARIANT_NAMES.filter(name => !BREAKERS.some(([promise]) => promise === name)), [])
  })
})
