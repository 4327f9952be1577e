/**
 * The steps of an aggregation round as gateways send them to each other, and their encoding.
 *
 * @module
 */
import { gossip } from '@plumstage/protocol'
import { toUint32 } from '../peers/reportNumbers.js'
import { emptyAggregate } from './aggregate.js'
import type { Aggregate } from './aggregate.js'

/** Identity of a round. */
export interface RoundId {
  /** Identity of the gateway at the root, and of the run of its process. */
  root: string
  /** Rises with each round of one root. */
  number: number
}

/** One message of a round. */
export type AggregationStep =
  /** The recipient is asked for the sum over its part of the tree, within the budget. */
  | { kind: 'collect', round: RoundId, budgetMilliseconds: number }
  /** The sender is alive and will answer. */
  | { kind: 'acknowledge', round: RoundId }
  /** The sender answers another gateway in this round. */
  | { kind: 'decline', round: RoundId }
  /** The sum over the sender's part of the tree. */
  | { kind: 'partial', round: RoundId, aggregate: Aggregate }
  /** The sum over all gateways. It includes the partial sum that the recipient sent in the round `includedNumber`, if any. */
  | { kind: 'total', round: RoundId, aggregate: Aggregate, includedNumber?: number }

type EncodedStep = Omit<gossip.AggregationStep, '$typeName' | '$unknown' | 'aggregate'> & { aggregate?: EncodedAggregate }
type EncodedAggregate = Omit<gossip.Aggregate, '$typeName' | '$unknown'>

const KINDS = {
  collect: gossip.AggregationStepKind.COLLECT,
  acknowledge: gossip.AggregationStepKind.ACKNOWLEDGE,
  decline: gossip.AggregationStepKind.DECLINE,
  partial: gossip.AggregationStepKind.PARTIAL,
  total: gossip.AggregationStepKind.TOTAL
}

export function encodeStep (step: AggregationStep): EncodedStep {
  return {
    ...step.round,
    kind: KINDS[step.kind],
    budgetMilliseconds: step.kind === 'collect' ? toUint32(step.budgetMilliseconds) : 0,
    aggregate: step.kind === 'partial' || step.kind === 'total' ? encodeAggregate(step.aggregate) : undefined,
    includedNumber: step.kind === 'total' ? step.includedNumber : undefined
  }
}

/** Returns undefined for a step of a later release that is not known here, and for one that can't be read. */
export function decodeStep (message: gossip.AggregationStep | undefined): AggregationStep | undefined {
  if (!message || message.root === '') return undefined
  const { kind, budgetMilliseconds, includedNumber } = message
  const round = { root: message.root, number: message.number }
  if (kind === gossip.AggregationStepKind.COLLECT) return { kind: 'collect', round, budgetMilliseconds }
  if (kind === gossip.AggregationStepKind.ACKNOWLEDGE) return { kind: 'acknowledge', round }
  if (kind === gossip.AggregationStepKind.DECLINE) return { kind: 'decline', round }
  const aggregate = message.aggregate && decodeAggregate(message.aggregate)
  if (!aggregate) return undefined
  if (kind === gossip.AggregationStepKind.PARTIAL) return { kind: 'partial', round, aggregate }
  return kind === gossip.AggregationStepKind.TOTAL ? { kind: 'total', round, aggregate, includedNumber } : undefined
}

function encodeAggregate ({ gateways, fingerprint, loads, usage, demands, answers }: Aggregate): EncodedAggregate {
  const loadSums = [...loads.values()]
  const usageSums = [...usage.values()]
  const demandSums = [...demands.values()]
  const answerSums = [...answers.values()]
  return {
    gateways: toUint32(gateways),
    fingerprint,
    upstreams: [...loads.keys()],
    requests: loadSums.map(load => toUint32(load.requests)),
    waitingTokens: loadSums.map(load => toUint32(load.waitingTokens)),
    workspaces: [...usage.keys()],
    admittedUnits: usageSums.map(sum => sum.admittedUnits),
    admittedUnitsPerSecond: usageSums.map(sum => toUint32(sum.admittedUnitsPerSecond)),
    offeredUnitsPerSecond: usageSums.map(sum => toUint32(sum.offeredUnitsPerSecond)),
    services: [...demands.keys()],
    promptTokensPerSecond: demandSums.map(sum => toUint32(sum.promptTokensPerSecond)),
    outputTokensPerSecond: demandSums.map(sum => toUint32(sum.outputTokensPerSecond)),
    prefillSamples: demandSums.map(sum => toUint32(sum.prefillSamples)),
    weightedPrefillRates: demandSums.map(sum => sum.weightedPrefillRate),
    answerNames: [...answers.keys()],
    answers: answerSums.map(sum => toUint32(sum.answers)),
    badAnswers: answerSums.map(sum => toUint32(sum.bad))
  }
}

/** Returns undefined when the figures are not one for each name, or not numbers. */
function decodeAggregate (message: gossip.Aggregate): Aggregate | undefined {
  const { upstreams, workspaces, services, answerNames } = message
  const loadColumns = [message.requests, message.waitingTokens]
  const usageColumns = [message.admittedUnits, message.admittedUnitsPerSecond, message.offeredUnitsPerSecond]
  const demandColumns = [message.promptTokensPerSecond, message.outputTokensPerSecond, message.prefillSamples, message.weightedPrefillRates]
  const answerColumns = [message.answers, message.badAnswers]
  if (!isTable(answerNames, answerColumns)) return undefined
  if (!isTable(upstreams, loadColumns) || !isTable(workspaces, usageColumns) || !isTable(services, demandColumns)) return undefined
  const aggregate = { ...emptyAggregate(), gateways: message.gateways, fingerprint: message.fingerprint }
  upstreams.forEach((name, row) => aggregate.loads.set(name, { requests: message.requests[row], waitingTokens: message.waitingTokens[row] }))
  workspaces.forEach((name, row) => aggregate.usage.set(name, { admittedUnits: message.admittedUnits[row], admittedUnitsPerSecond: message.admittedUnitsPerSecond[row], offeredUnitsPerSecond: message.offeredUnitsPerSecond[row] }))
  services.forEach((name, row) => aggregate.demands.set(name, {
    promptTokensPerSecond: message.promptTokensPerSecond[row],
    outputTokensPerSecond: message.outputTokensPerSecond[row],
    prefillSamples: message.prefillSamples[row],
    weightedPrefillRate: message.weightedPrefillRates[row]
  }))
  answerNames.forEach((name, row) => aggregate.answers.set(name, { answers: message.answers[row], bad: message.badAnswers[row] }))
  return aggregate
}

function isTable (names: readonly number[], columns: ReadonlyArray<readonly number[]>): boolean {
  return columns.every(column => column.length === names.length && column.every(value => Number.isFinite(value) && value >= 0))
}
