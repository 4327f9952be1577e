import assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'
import { PROMISE_NAMES, checkPromises } from '../../scenarios/checker/promiseChecker.js'
import type { FinalGatewayState, PromiseName } from '../../scenarios/checker/promiseChecker.js'
import { readScenario } from '../../scenarios/runner/scenarioFiles.js'
import { describeGateway, runScenario } from '../../scenarios/runner/scenarioRunner.js'
import type { CallRecord } from '../../scenarios/world/callRecord.js'
import type { Evidence } from '../../scenarios/world/virtualWorld.js'

type Breaker = (evidence: Evidence, gateways: FinalGatewayState[]) => void

function callOf (evidence: Evidence, kind: CallRecord['kind']): CallRecord {
  return evidence.calls.find(call => call.kind === kind)!
}

/** Each breaks one promise, as a faulty gateway would. */
const BREAKERS: ReadonlyArray<[PromiseName, string, Breaker]> = [
  ['every-call-ends', 'a call without an end', evidence => { delete callOf(evidence, 'stream').endedAt }],
  ['survives-reclaim', 'an accepted call that failed', evidence => Object.assign(callOf(evidence, 'read'), { outcome: 'unknown', errorCode: 'upstream_failed' })],
  ['own-whole-answer', 'a stream with a token left out', evidence => { const call = callOf(evidence, 'stream'); call.text = call.text.split('\n\n').filter((_event, index) => index !== 4).join('\n\n') }],
  ['own-whole-answer', 'a stream with a token twice', evidence => { const call = callOf(evidence, 'stream'); const events = call.text.split('\n\n'); call.text = [...events.slice(0, 5), ...events.slice(4)].join('\n\n') }],
  ['own-whole-answer', 'the answer of another call', evidence => { callOf(evidence, 'whole').content = 'something else' }],
  ['own-whole-answer', 'half a stream that is called complete', evidence => { const call = callOf(evidence, 'stream'); call.text = call.text.split('\n\n').slice(0, 9).join('\n\n') + '\n\ndata: [DONE]\n\n' }],
  ['own-whole-answer', 'another plain answer', evidence => { callOf(evidence, 'write').text = '{"content":"not this one"}' }],
  ['not-run-is-true', 'not-run told of a call that ran', evidence => Object.assign(callOf(evidence, 'read'), { outcome: 'not-run', errorCode: 'overloaded' })],
  ['at-most-once', 'a write that ran twice', evidence => { const call = callOf(evidence, 'write'); evidence.runs.push({ ...evidence.runs.find(run => run.content === call.content)! }) }],
  ['leaving-gets-no-work', 'late work on a leaving upstream', evidence => { const run = evidence.runs[0]; evidence.reclaims.push({ address: run.upstream, incarnation: 'i', announcedAt: run.startedAt - 3001, deadline: run.startedAt + 1000 }) }],
  ['planned-stop-cuts-nothing', 'a call cut off by a stop', evidence => { const call = callOf(evidence, 'stream'); evidence.stops.push({ gateway: call.gateway, startedAt: call.sentAt + 1 }); delete call.outcome }],
  ['configuration-never-reverts', 'an older revision in force', evidence => { const event = evidence.events.find(candidate => candidate.kind === 'configuration-adopted')!; evidence.events.push({ ...event, attributes: { ...event.attributes, revision: 1 } }) }],
  ['configuration-in-force', 'a gateway left behind', (_evidence, gateways) => { gateways[0].configurationRevision = 0 }]
]

describe('promise checker', () => {
  let evidence: Evidence
  let gateways: FinalGatewayState[]
  before(async () => {
    const { world, violations } = await runScenario(readScenario('steadyService'), 1)
    assert.deepEqual(violations, [])
    evidence = world.evidence
    gateways = world.gateways.map(describeGateway)
  })

  for (const [promise, fault, breakIt] of BREAKERS) {
    it(`finds ${fault}`, () => {
      const broken = structuredClone(evidence)
      const brokenGateways = structuredClone(gateways)
      breakIt(broken, brokenGateways)
      const found = checkPromises(broken, brokenGateways).map(violation => violation.promise)
      assert.ok(found.includes(promise), `found ${found.join(', ') || 'nothing'}`)
    })
  }

  it('has a broken example of every promise', () => {
    assert.deepEqual(PROMISE_NAMES.filter(name => !BREAKERS.some(([promise]) => promise === name)), [])
  })
})
