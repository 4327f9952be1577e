/**
 * Schema of scenario files.
 *
 * @module
 */
import * as z from 'zod'

const at = z.int().min(0)
const upstreamFaultsSchema = z.strictObject({
  frozen: z.boolean().optional(),
  cutAfter: z.int().min(0).optional(),
  refuseWith: z.int().optional(),
  sendsLate: z.boolean().optional(),
  skipsTokens: z.boolean().optional(),
  foreignId: z.boolean().optional()
})

/** An action and its time since the start of the scenario, in milliseconds. Upstreams and gateways are numbered from 1. */
export const actionSchema = z.discriminatedUnion('do', [
  z.strictObject({
    at,
    do: z.literal('send'),
    label: z.string(),
    kind: z.enum(['stream', 'whole', 'read', 'write']),
    count: z.int().min(1).default(1),
    gateway: z.int().optional(),
    tokens: z.int().min(1).default(50),
    content: z.string().default('item'),
    same: z.boolean().default(false),
    keyed: z.boolean().default(false)
  }),
  z.strictObject({ at, do: z.literal('reclaim'), upstream: z.int().optional(), failureDomain: z.string().optional(), noticeMilliseconds: z.int().default(3000) }),
  z.strictObject({ at, do: z.literal('kill-upstream'), upstream: z.int() }),
  z.strictObject({ at, do: z.literal('add-upstream'), kind: z.enum(['engine', 'plain']) }),
  z.strictObject({ at, do: z.literal('fault-upstream'), upstream: z.int(), faults: upstreamFaultsSchema }),
  z.strictObject({ at, do: z.literal('fencing'), upstream: z.int(), honoured: z.boolean() }),
  z.strictObject({ at, do: z.literal('pause-duty-holder'), milliseconds: z.int() }),
  z.strictObject({ at, do: z.literal('lag-instance-list'), milliseconds: z.int().min(0) }),
  z.strictObject({ at, do: z.literal('stop-gateway'), gateway: z.int() }),
  z.strictObject({ at, do: z.literal('reclaim-gateway'), gateway: z.int(), noticeMilliseconds: z.int().default(3000) }),
  z.strictObject({ at, do: z.literal('kill-gateway'), gateway: z.int() }),
  z.strictObject({ at, do: z.literal('pause-gateway'), gateway: z.int() }),
  z.strictObject({ at, do: z.literal('resume-gateway'), gateway: z.int() }),
  z.strictObject({ at, do: z.literal('add-gateway') }),
  z.strictObject({ at, do: z.literal('cut'), from: z.int(), to: z.int() }),
  z.strictObject({ at, do: z.literal('heal'), from: z.int(), to: z.int() }),
  z.strictObject({ at, do: z.literal('key-value'), down: z.boolean().optional(), delayMilliseconds: z.int().min(0).optional(), loseAnswers: z.int().min(0).optional(), compact: z.boolean().optional(), restoreRevision: z.boolean().optional(), backUp: z.boolean().optional() }),
  z.strictObject({ at, do: z.literal('apply'), records: z.string() })
])

export type ScenarioAction = z.infer<typeof actionSchema>

/** What must hold at the end of the scenario, in addition to the invariants. */
export const expectationSchema = z.discriminatedUnion('expect', [
  z.strictObject({ expect: z.literal('outcomes'), label: z.string(), complete: z.int().optional(), notRun: z.int().optional(), unknown: z.int().optional(), lost: z.int().optional() }),
  z.strictObject({ expect: z.literal('code'), label: z.string(), is: z.string(), count: z.int().optional() }),
  z.strictObject({ expect: z.literal('runs'), content: z.string(), exactly: z.int() }),
  z.strictObject({ expect: z.literal('answered-within'), label: z.string(), milliseconds: z.int() }),
  z.strictObject({ expect: z.literal('retry-after'), label: z.string() }),
  z.strictObject({ expect: z.literal('event'), kind: z.string(), atLeast: z.int().default(1) }),
  z.strictObject({ expect: z.literal('no-event'), kind: z.string() }),
  z.strictObject({ expect: z.literal('in-force-within'), milliseconds: z.int() }),
  z.strictObject({ expect: z.literal('adapter'), is: z.string() }),
  z.strictObject({ expect: z.literal('orders-only-from-holders') }),
  z.strictObject({ expect: z.literal('same-answer'), labels: z.array(z.string()) }),
  z.strictObject({ expect: z.literal('members'), gateway: z.int(), present: z.int() })
])

export type Expectation = z.infer<typeof expectationSchema>

export const scenarioSchema = z.strictObject({
  name: z.string(),
  /** The property of the system that the scenario verifies. */
  proves: z.string(),
  size: z.strictObject({
    gateways: z.int().min(1).default(2),
    engines: z.int().min(0).default(2),
    plainServices: z.int().min(0).default(2),
    concurrencyPerUpstream: z.int().min(1).default(16)
  }).prefault({}),
  /** How long the run continues after the last action, in milliseconds. */
  restMilliseconds: z.int().default(40_000),
  steps: z.array(actionSchema),
  expect: z.array(expectationSchema).default([])
})

export type Scenario = z.infer<typeof scenarioSchema>
