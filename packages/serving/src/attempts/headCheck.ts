/**
 * Checks that the head of a response belongs to the request and comes from the upstream that was meant. A faulty upstream may
 * write a response once more, so that it arrives where the response to a later request is expected.
 *
 * @module
 */
import type { AttemptFailure } from './attemptPolicy.js'
import type { ResponseHead } from './upstreamProtocol.js'

const FIRST_ERROR_STATUS = 400
/**
 * Statuses that tell a caller that its request was not executed. An upstream that only answers with one of them has not
 * stated that.
 */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 425, 429, 503])

/** The request that a response is expected to belong to. */
export interface ExpectedResponse {
  requestId: string
  /** Id of the upstream that the request was sent to. */
  upstreamId: string
}

/** Why a response can't be used. */
export interface HeadProblem {
  failure: AttemptFailure
  detail: string
}

/** Returns why a response is not of the upstream and the request that were meant; undefined if it is. */
export function findForeignHead (head: ResponseHead, { requestId, upstreamId }: ExpectedResponse): HeadProblem | undefined {
  if (head.otherInstance && (head.requestId === requestId || namesOther(head, upstreamId))) return { failure: 'other-instance', detail: 'the address belongs to another instance' }
  if (head.requestId === undefined) return { failure: 'broken', detail: 'the response names no request' }
  return head.requestId === requestId ? undefined : { failure: 'broken', detail: `the response belongs to request ${head.requestId}` }
}

/** Returns why a response of the right upstream can't be forwarded; undefined if it can. */
export function findUnusableHead (head: ResponseHead, status: number): HeadProblem | undefined {
  if (head.notRun) return status < FIRST_ERROR_STATUS ? { failure: 'broken', detail: `the response with status ${status} states that the request was not executed` } : { failure: 'not-run', detail: `the upstream refused the request with status ${status}` }
  if (!head.signed) return { failure: 'broken', detail: `the response with status ${status} is not signed by the upstream` }
  if (PROMISING_STATUSES.has(status)) return { failure: 'server-error', detail: `the upstream returned status ${status} without stating that it did not execute the request` }
  return undefined
}

/** An instance that has taken over the address of another one may not know the request, but it names itself. */
function namesOther ({ requestId, instanceId }: ResponseHead, upstreamId: string): boolean {
  return requestId === undefined && instanceId !== undefined && instanceId !== upstreamId
}
