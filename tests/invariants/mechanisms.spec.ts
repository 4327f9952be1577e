/**
 * Shows that the scenarios can fail: with a mechanism switched off, the scenario that proves it must find the fault.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DutyLease } from '@plumstage/coordination'
import { QuarantineTable } from '@plumstage/serving'
import { ConfigurationState, Dispatcher, HandoverTask, EventScanner, FairQueue, GatewayCore, KeyValueClaimRegistry, MembershipTable, RequestLifecycle, UpstreamAttempt, UpstreamTable } from '@plumstage/gateway'
import { readScenario } from '../../scenarios/runner/scenarioFiles.js'
import { runScenario } from '../../scenarios/runner/scenarioRunner.js'

interface Replacement {
  owner: { prototype: object }
  method: string
  replacement: (this: any, ...parameters: any[]) => unknown
}

interface SwitchedOff {
  mechanism: string
  scenario: string
  /** A promise that is broken, or the start of an expectation that is not met. */
  finds: string
  replacements: readonly Replacement[]
}

/** Takes every event as it comes. */
function acceptEvent (this: any, data: Buffer, start: number): string {
  this._position = this._readPosition(data, start) ?? this._position
  this._done ||= data.includes('[DONE]')
  return 'expected'
}

const holdRequest = (HandoverTask.prototype as any)._takeOver

/** Takes a request over as if it were new. */
function holdWithoutHistory (this: any, handed: any): boolean {
  const accept = this._services.accept
  this._services.accept = (call: any, response: any, answer: any) => accept({ ...call, handedOver: undefined }, response, answer)
  try {
    return holdRequest.call(this, handed)
  } finally {
    this._services.accept = accept
  }
}

/** Goes on believing in a lease until the service says otherwise. */
function tickWithoutDeadline (this: any, now: number): object | undefined {
  if (now < this._nextTickAt) return undefined
  this._nextTickAt = now + 2000
  return this._held ? { kind: 'renew', lease: this._held.lease } : { kind: 'acquire' }
}

const SWITCHED_OFF: readonly SwitchedOff[] = [
  { mechanism: 'noticing reclaims', scenario: 'laggingInstanceList', finds: 'leaving-gets-no-work', replacements: [{ owner: UpstreamTable, method: 'applyDeparture', replacement: () => [] }] },
  { mechanism: 'retrying what may be repeated', scenario: 'upstreamDies', finds: 'streams: outcomes', replacements: [{ owner: RequestLifecycle, method: '_mayRetry', replacement: () => false }] },
  { mechanism: 'keeping writes from being repeated', scenario: 'upstreamDies', finds: 'at-most-once', replacements: [{ owner: RequestLifecycle, method: '_mayRetry', replacement: () => true }] },
  { mechanism: 'checking token positions', scenario: 'brokenEngines', finds: 'own-whole-answer', replacements: [{ owner: EventScanner, method: '_classifyEvent', replacement: acceptEvent }] },
  { mechanism: 'owning answers by attempt', scenario: 'lateAnswers', finds: 'own-whole-answer', replacements: [{ owner: UpstreamAttempt, method: 'onResponseData', replacement: function (_controller: any, chunk: Buffer) { this._receiver.receiveBytes(chunk, () => {}) } }, { owner: EventScanner, method: '_classifyEvent', replacement: acceptEvent }] },
  { mechanism: 'claims', scenario: 'racingWrites', finds: 'at-most-once', replacements: [{ owner: KeyValueClaimRegistry, method: 'acquire', replacement: function (request: any) { return Promise.resolve({ kind: 'granted', claim: { key: 'k', record: this._createRecord(request), lease: 0n, modRevision: 0 } }) } }] },
  { mechanism: 'settling claims whose write was not answered', scenario: 'claimAnswerLost', finds: 'again: outcomes', replacements: [{ owner: KeyValueClaimRegistry, method: '_withdraw', replacement: async () => {} }] },
  {
    mechanism: 'deadlines of claims and starts',
    scenario: 'claimHolderPaused',
    finds: 'first: outcomes',
    replacements: [
      { owner: RequestLifecycle, method: '_acceptClaim', replacement: function (_deadline: number, now: number) { return this._enqueue(false, now) } },
      { owner: Dispatcher, method: '_refuseEarly', replacement: () => undefined },
      { owner: FairQueue, method: 'takeExpired', replacement: () => [] }
    ]
  },
  { mechanism: 'refusing an older configuration', scenario: 'storeRestored', finds: 'configuration-', replacements: [{ owner: ConfigurationState, method: '_findReversion', replacement: () => undefined }] },
  { mechanism: 'rejoining after being called dead', scenario: 'pausedMember', finds: 'gateway-1 knows', replacements: [{ owner: MembershipTable, method: '_refuteSelf', replacement: () => [] }] },
  { mechanism: 'telling a peer what may have run', scenario: 'handedOverUnderLoad', finds: 'not-run-is-true', replacements: [{ owner: HandoverTask, method: '_takeOver', replacement: holdWithoutHistory }] },
  { mechanism: 'quarantine', scenario: 'crashingRequest', finds: 'crash everything ran', replacements: [{ owner: QuarantineTable, method: 'stateOf', replacement: () => 'clear' }] },
  { mechanism: 'the deadline of a duty', scenario: 'dutyHolderPaused', finds: 'gateway-', replacements: [{ owner: DutyLease, method: 'getHeldDuty', replacement: function () { return this._held } }, { owner: DutyLease, method: 'tick', replacement: tickWithoutDeadline }, { owner: DutyLease, method: 'recordExpired', replacement: () => {} }] },
  { mechanism: 'finishing requests before a stop', scenario: 'plannedStop', finds: 'planned-stop-cuts-nothing', replacements: [{ owner: GatewayCore, method: 'finishRequests', replacement: async () => {} }] }
]

/** Replaces a method and returns the means to put it back. */
function replaceMethod ({ owner, method, replacement }: Replacement): () => void {
  const prototype = owner.prototype as { [name: string]: unknown }
  const original = prototype[method]
  assert.equal(typeof original, 'function', `${method} exists`)
  prototype[method] = replacement
  return () => { prototype[method] = original }
}

describe('mechanisms switched off', () => {
  for (const { mechanism, scenario, finds, replacements } of SWITCHED_OFF) {
    it(`without ${mechanism} the scenario ${scenario} fails`, async () => {
      const restore = replacements.map(replaceMethod)
      try {
        const { violations, unmetExpectations: unmet } = await runScenario(readScenario(scenario), 1)
        const found = [...violations.map(violation => violation.invariant), ...unmet]
        assert.ok(found.some(problem => problem.startsWith(finds)), `found only: ${found.join('; ')}`)
      } finally {
        for (const putBack of restore) putBack()
      }
    })
  }
})
