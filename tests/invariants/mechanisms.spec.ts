/**
 * Verifies that the scenarios detect faults: with a mechanism of the gateway disabled, the scenario that covers it must
 * fail. Methods are replaced by name, so renaming one requires changing its name here as well.
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

interface DisabledMechanism {
  mechanism: string
  scenario: string
  /** Prefix of a violated invariant's name or of the message of an unmet expectation. */
  finds: string
  replacements: readonly Replacement[]
}

/** Accepts every event without checking its position. */
function acceptEvent (this: any, data: Buffer, start: number): string {
  this._position = this._readPosition(data, start) ?? this._position
  this._done ||= data.includes('[DONE]')
  return 'expected'
}

const takeOver = (HandoverTask.prototype as any)._takeOver

/** Accepts a handed-over request as if it had never been dispatched. */
function takeOverWithoutHistory (this: any, handed: any): boolean {
  const accept = this._services.accept
  this._services.accept = (request: any, response: any, streamedResponse: any) => accept({ ...request, handedOver: undefined }, response, streamedResponse)
  try {
    return takeOver.call(this, handed)
  } finally {
    this._services.accept = accept
  }
}

/** Keeps a lease past its deadline, until the key-value service reports that it has expired. */
function tickWithoutDeadline (this: any, now: number): object | undefined {
  if (now < this._nextTickAt) return undefined
  this._nextTickAt = now + 2000
  return this._held ? { kind: 'renew', lease: this._held.lease } : { kind: 'acquire' }
}

const DISABLED_MECHANISMS: readonly DisabledMechanism[] = [
  { mechanism: 'detecting reclaims', scenario: 'laggingInstanceList', finds: 'leaving-gets-no-work', replacements: [{ owner: UpstreamTable, method: 'applyDeparture', replacement: () => [] }] },
  { mechanism: 'retrying idempotent requests', scenario: 'upstreamDies', finds: 'streams: outcomes', replacements: [{ owner: RequestLifecycle, method: '_mayRetry', replacement: () => false }] },
  { mechanism: 'checking whether a request is safe to retry', scenario: 'upstreamDies', finds: 'at-most-once', replacements: [{ owner: RequestLifecycle, method: '_mayRetry', replacement: () => true }] },
  { mechanism: 'checking token positions', scenario: 'brokenEngines', finds: 'own-whole-answer', replacements: [{ owner: EventScanner, method: '_classifyEvent', replacement: acceptEvent }] },
  { mechanism: 'dropping data of abandoned attempts', scenario: 'lateAnswers', finds: 'own-whole-answer', replacements: [{ owner: UpstreamAttempt, method: 'onResponseData', replacement: function (_controller: any, chunk: Buffer) { this._receiver.receiveBytes(chunk, () => {}) } }, { owner: EventScanner, method: '_classifyEvent', replacement: acceptEvent }] },
  { mechanism: 'claims', scenario: 'racingWrites', finds: 'at-most-once', replacements: [{ owner: KeyValueClaimRegistry, method: 'acquire', replacement: function (request: any) { return Promise.resolve({ kind: 'granted', claim: { key: 'k', record: this._createRecord(request), lease: 0n, modRevision: 0 } }) } }] },
  { mechanism: 'withdrawing claims whose write got no response', scenario: 'claimAnswerLost', finds: 'again: outcomes', replacements: [{ owner: KeyValueClaimRegistry, method: '_withdraw', replacement: async () => {} }] },
  {
    mechanism: 'enforcing claim and start deadlines',
    scenario: 'claimHolderPaused',
    finds: 'first: outcomes',
    replacements: [
      { owner: RequestLifecycle, method: '_acceptClaim', replacement: function (_deadline: number, now: number) { return this._enqueue(false, now) } },
      { owner: Dispatcher, method: '_refuseEarly', replacement: () => undefined },
      { owner: FairQueue, method: 'takeExpired', replacement: () => [] }
    ]
  },
  { mechanism: 'refusing an older configuration', scenario: 'storeRestored', finds: 'configuration-', replacements: [{ owner: ConfigurationState, method: '_findReversion', replacement: () => undefined }] },
  { mechanism: 'rejoining after being declared dead', scenario: 'pausedMember', finds: 'gateway-1 knows', replacements: [{ owner: MembershipTable, method: '_refuteSelf', replacement: () => [] }] },
  { mechanism: 'handing over whether a request may have been executed', scenario: 'handedOverUnderLoad', finds: 'not-run-is-true', replacements: [{ owner: HandoverTask, method: '_takeOver', replacement: takeOverWithoutHistory }] },
  { mechanism: 'quarantine', scenario: 'crashingRequest', finds: 'crash everything ran', replacements: [{ owner: QuarantineTable, method: 'stateOf', replacement: () => 'clear' }] },
  { mechanism: 'the deadline of a duty lease', scenario: 'dutyHolderPaused', finds: 'gateway-', replacements: [{ owner: DutyLease, method: 'getHeldDuty', replacement: function () { return this._held } }, { owner: DutyLease, method: 'tick', replacement: tickWithoutDeadline }, { owner: DutyLease, method: 'recordExpired', replacement: () => {} }] },
  { mechanism: 'finishing requests before a stop', scenario: 'plannedStop', finds: 'planned-stop-cuts-nothing', replacements: [{ owner: GatewayCore, method: 'finishRequests', replacement: async () => {} }] }
]

/** Replaces a method and returns a function that restores it. */
function replaceMethod ({ owner, method, replacement }: Replacement): () => void {
  const prototype = owner.prototype as { [name: string]: unknown }
  const original = prototype[method]
  assert.equal(typeof original, 'function', `${method} exists`)
  prototype[method] = replacement
  return () => { prototype[method] = original }
}

describe('disabled mechanisms', () => {
  for (const { mechanism, scenario, finds, replacements } of DISABLED_MECHANISMS) {
    it(`without ${mechanism} the scenario ${scenario} fails`, async () => {
      const restorers = replacements.map(replaceMethod)
      try {
        const { violations, unmetExpectations } = await runScenario(readScenario(scenario), 1)
        const found = [...violations.map(violation => violation.invariant), ...unmetExpectations]
        assert.ok(found.some(problem => problem.startsWith(finds)), `found only: ${found.join('; ')}`)
      } finally {
        for (const restore of restorers) restore()
      }
    })
  }
})
