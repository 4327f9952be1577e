/**
 * Checks the expectations of a scenario.
 *
 * @module
 */
import type { RequestRecord } from '../simulation/requestRecord.js'
import type { VirtualDeployment } from '../simulation/virtualDeployment.js'
import type { Expectation } from './scenarioSchema.js'

/** Returns a description of how the expectation was not met; undefined if it was met. */
export function checkExpectation (expectation: Expectation, deployment: VirtualDeployment): string | undefined {
  const { history } = deployment
  switch (expectation.expect) {
    case 'outcomes': return checkOutcomes(expectation, requestsOf(deployment, expectation.label))
    case 'code': {
      const requests = requestsOf(deployment, expectation.label)
      const matching = requests.filter(request => request.errorCode === expectation.is).length
      return matching === (expectation.count ?? requests.length) ? undefined : `${expectation.label}: ${matching} requests have the code ${expectation.is}; codes are ${requests.map(request => request.errorCode).join(', ')}`
    }
    case 'runs': {
      const executions = history.executions.filter(execution => execution.content === expectation.content).length
      return executions === expectation.exactly ? undefined : `${expectation.content} ran ${executions} times, expected ${expectation.exactly}`
    }
    case 'answered-within': {
      const late = requestsOf(deployment, expectation.label).filter(request => (request.endedAt ?? Infinity) - request.sentAt > expectation.milliseconds)
      return late.length === 0 ? undefined : `${expectation.label}: ${late.length} requests took longer than ${expectation.milliseconds} ms`
    }
    case 'retry-after': {
      const missing = requestsOf(deployment, expectation.label).filter(request => request.retryAfterSeconds === undefined)
      return missing.length === 0 ? undefined : `${expectation.label}: ${missing.length} requests got no Retry-After`
    }
    case 'event': {
      const count = history.events.filter(event => event.kind === expectation.kind).length
      return count >= expectation.atLeast ? undefined : `${expectation.kind} was emitted ${count} times, expected at least ${expectation.atLeast}`
    }
    case 'no-event': {
      const found = history.events.find(event => event.kind === expectation.kind)
      return found && `${expectation.kind} was emitted by ${found.process}: ${JSON.stringify(found.attributes)}`
    }
    case 'in-force-within': return checkInForce(deployment, expectation.milliseconds)
    case 'adapter': {
      const wrong = deployment.upstreams.filter(upstream => upstream.isAlive && upstream.kind === 'engine' && upstream.lastOrder.adapter !== expectation.is)
      return wrong.length === 0 ? undefined : `${wrong.map(upstream => `${upstream.address} has the adapter ${upstream.lastOrder.adapter}`).join(', ')}`
    }
    case 'orders-only-from-holders': return findStaleOrder(deployment)
    case 'same-answer': {
      const texts = new Set(expectation.labels.flatMap(label => requestsOf(deployment, label)).map(request => request.text))
      return texts.size === 1 ? undefined : `${expectation.labels.join(', ')}: there are ${texts.size} different responses`
    }
    case 'members': {
      const gateway = deployment.gateways[expectation.gateway - 1]
      const present = gateway.core.membership.listPresent(deployment.clock.now()).length
      return present === expectation.present ? undefined : `${gateway.name} knows ${present} present members, expected ${expectation.present}`
    }
  }
}

/** Finds an order that was sent with a lower fencing number than one granted before. */
function findStaleOrder (deployment: VirtualDeployment): string | undefined {
  let highest = 0
  for (const event of deployment.history.events) {
    const fencingNumber = Number(event.attributes?.fencingNumber)
    if (event.kind === 'duty-acquired') highest = Math.max(highest, fencingNumber)
    if (event.kind === 'order-sent' && fencingNumber < highest) return `${event.process} sent an order with fencing number ${fencingNumber} after ${highest} was granted`
  }
  return undefined
}

function requestsOf (deployment: VirtualDeployment, label: string): RequestRecord[] {
  const requests = deployment.history.requests.filter(request => request.label === label)
  if (requests.length === 0) throw new Error(`no request has the label ${label}`)
  return requests
}

function checkOutcomes (expectation: Extract<Expectation, { expect: 'outcomes' }>, requests: readonly RequestRecord[]): string | undefined {
  const counts = {
    complete: requests.filter(request => request.outcome === 'complete').length,
    notRun: requests.filter(request => request.outcome === 'not-run').length,
    unknown: requests.filter(request => request.outcome === 'unknown').length,
    lost: requests.filter(request => request.outcome === undefined).length
  }
  for (const name of ['complete', 'notRun', 'unknown', 'lost'] as const) {
    if (expectation[name] !== undefined && counts[name] !== expectation[name]) return `${expectation.label}: outcomes are ${JSON.stringify(counts)}, expected ${name} ${expectation[name]}; codes are ${requests.map(request => request.errorCode ?? '-').join(', ')}`
  }
  return undefined
}

/** Checks that every running gateway adopted each change after the initial configuration within `milliseconds`. */
function checkInForce (deployment: VirtualDeployment, milliseconds: number): string | undefined {
  for (const change of deployment.history.changes.slice(1)) {
    for (const gateway of deployment.gateways) {
      if (gateway.process.state !== 'running') continue
      const adopted = deployment.history.events.find(event => event.process === gateway.name && event.kind === 'configuration-adopted' && Number(event.attributes?.revision) >= change.revision)
      const took = (adopted?.time ?? Infinity) - change.acceptedAt
      if (took > milliseconds) return `revision ${change.revision} was in force on ${gateway.name} after ${took} ms`
    }
  }
  return undefined
}
