/**
 * Checks that the head of a response belongs to the request and comes from the upstream that was meant.
 *
 * @module
 */
import type { AttemptFailure } from './attemptPolicy.js'
import type { ResponseHead } from './upstreamProtocol.js'

const FIRST_REDIRECT_STATUS = 300
/**
 * Statuses that tell a caller that its request was not executed. An upstream that only answers with one of them has not
 * stated that.
 */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 425, 429, 503])

/** Why a response can't be used. */
export interface HeadProblem {
  failure: AttemptFailure
  detail: string
}

/** Whether a response names the request that it belongs to. */
export function matchesRequest (head: ResponseHead, requestId: string): boolean {
  return head.requestId === requestId
}

/** Returns why a response is not of the upstream and the request that were meant; undefined if it is. */
export function findForeignHead (head: ResponseHead, requestId: string): HeadProblem | undefined {
  if (head.requestId !== undefined && !matchesRequest(head, requestId)) return { failure: 'broken', detail: `the response belongs to request ${head.requestId}` }
  if (head.otherInstance) return { failure: 'other-instance', detail: 'the address belongs to another instance' }
  return undefined
}

/** Returns why a response of the right upstream can't be forwarded; undefined if it can. */
export function findUnusableHead (head: ResponseHead, requestId: string, status: number): HeadProblem | undefined {
  if (head.notRun) return { failure: 'not-run', detail: `the upstream refused the request with status ${status}` }
  if (status < FIRST_REDIRECT_STATUS && !matchesRequest(head, requestId)) return { failure: 'broken', detail: 'the response does not name this request' }
  if (!head.signed) return { failure: 'broken', detail: `the response with status ${status} is not signed by the upstream` }
  if (PROMISING_STATUSES.has(status)) return { failure: 'server-error', detail: `the upstream returned status ${status} without stating that it did not execute the request` }
  return undefined
}
