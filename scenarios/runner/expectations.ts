/**
 * Checks what a single scenario expects.
 *
 * @module
 */
import type { RequestRecord } from '../simulation/requestRecord.js'
import type { VirtualDeployment } from '../simulation/virtualDeployment.js'
import type { Expectation } from './scenarioSchema.js'

/** Returns what is not as expected; undefined when all is. */
export function checkExpectation (expectation: Expectation, world: VirtualDeployment): string | undefined {
  const { history: evidence } = world
  switch (expectation.expect) {
    case 'outcomes': return checkOutcomes(expectation, requestsOf(world, expectation.label))
    case 'code': {
      const calls = requestsOf(world, expectation.label)
      const matching = calls.filter(call => call.errorCode === expectation.is).length
      return matching === (expectation.count ?? calls.length) ? undefined : `${expectation.label}: ${matching} calls have code ${expectation.is}; codes are ${calls.map(call => call.errorCode).join(', ')}`
    }
    case 'runs': {
      const runs = evidence.executions.filter(run => run.content === expectation.content).length
      return runs === expectation.exactly ? undefined : `${expectation.content} ran ${runs} times, not ${expectation.exactly}`
    }
    case 'answered-within': {
      const late = requestsOf(world, expectation.label).filter(call => (call.endedAt ?? Infinity) - call.sentAt > expectation.milliseconds)
      return late.length === 0 ? undefined : `${expectation.label}: ${late.length} calls took longer than ${expectation.milliseconds} ms`
    }
    case 'retry-after': {
      const missing = requestsOf(world, expectation.label).filter(call => call.retryAfterSeconds === undefined)
      return missing.length === 0 ? undefined : `${expectation.label}: ${missing.length} calls were not told when to come back`
    }
    case 'event': {
      const count = evidence.events.filter(event => event.kind === expectation.kind).length
      return count >= expectation.atLeast ? undefined : `${expectation.kind} happened ${count} times, not ${expectation.atLeast}`
    }
    case 'no-event': {
      const found = evidence.events.find(event => event.kind === expectation.kind)
      return found && `${expectation.kind} happened on ${found.process}: ${JSON.stringify(found.attributes)}`
    }
    case 'in-force-within': return checkInForce(world, expectation.milliseconds)
    case 'adapter': {
      const wrong = world.upstreams.filter(upstream => upstream.isAlive && upstream.kind === 'engine' && upstream.lastOrder.adapter !== expectation.is)
      return wrong.length === 0 ? undefined : `${wrong.map(upstream => `${upstream.address} has ${upstream.lastOrder.adapter}`).join(', ')}`
    }
    case 'orders-only-from-holders': return findStaleOrder(world)
    case 'same-answer': {
      const texts = new Set(expectation.labels.flatMap(label => requestsOf(world, label)).map(call => call.text))
      return texts.size === 1 ? undefined : `${expectation.labels.join(', ')}: there are ${texts.size} different answers`
    }
    case 'members': {
      const gateway = world.gateways[expectation.gateway - 1]
      const present = gateway.core.membership.listPresent(world.clock.now()).length
      return present === expectation.present ? undefined : `${gateway.name} knows ${present} present members, not ${expectation.present}`
    }
  }
}

/** An order must not be sent with a lower fencing number than one that was handed out before. */
function findStaleOrder (world: VirtualDeployment): string | undefined {
  let highest = 0
  for (const event of world.history.events) {
    const fencingNumber = Number(event.attributes?.fencingNumber)
    if (event.kind === 'duty-acquired') highest = Math.max(highest, fencingNumber)
    if (event.kind === 'order-sent' && fencingNumber < highest) return `${event.process} sent an order with fencing number ${fencingNumber} after ${highest} was handed out`
  }
  return undefined
}

function requestsOf (world: VirtualDeployment, label: string): RequestRecord[] {
  const calls = world.history.requests.filter(call => call.label === label)
  if (calls.length === 0) throw new Error(`no call has the label ${label}`)
  return calls
}

function checkOutcomes (expectation: Extract<Expectation, { expect: 'outcomes' }>, calls: readonly RequestRecord[]): string | undefined {
  const counts = {
    complete: calls.filter(call => call.outcome === 'complete').length,
    notRun: calls.filter(call => call.outcome === 'not-run').length,
    unknown: calls.filter(call => call.outcome === 'unknown').length,
    lost: calls.filter(call => call.outcome === undefined).length
  }
  for (const name of ['complete', 'notRun', 'unknown', 'lost'] as const) {
    if (expectation[name] !== undefined && counts[name] !== expectation[name]) return `${expectation.label}: outcomes are ${JSON.stringify(counts)}, expected ${name} ${expectation[name]}; codes are ${calls.map(call => call.errorCode ?? '-').join(', ')}`
  }
  return undefined
}

/** Every serving gateway must have adopted every accepted change in time. */
function checkInForce (world: VirtualDeployment, milliseconds: number): string | undefined {
  for (const change of world.history.changes.slice(1)) {
    for (const gateway of world.gateways) {
      if (gateway.process.state !== 'running') continue
      const adopted = world.history.events.find(event => event.process === gateway.name && event.kind === 'configuration-adopted' && Number(event.attributes?.revision) >= change.revision)
      const took = (adopted?.time ?? Infinity) - change.acceptedAt
      if (took > milliseconds) return `revision ${change.revision} was in force on ${gateway.name} after ${took} ms`
    }
  }
  return undefined
}
