import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { UpstreamAdapter } from '@plumstage/platform'
import type { LimitStatement } from '@plumstage/serving'

function readLimit (value: string | string[] | undefined): LimitStatement {
  return UpstreamAdapter.create().readHead(200, { 'server-limit': value }).limit
}

describe('upstream adapter', () => {
  it('reads whether an upstream states that it is leaving', () => {
    const readLeaving = (value: string | string[] | undefined): boolean => UpstreamAdapter.create().readHead(200, { 'server-leaving': value }).leaving
    assert.equal(readLeaving('1'), true)
    assert.equal(readLeaving(['0', ' 1 ']), true)
    for (const value of [undefined, '', '0', 'yes', '-1', '11']) assert.equal(readLeaving(value), false)
  })

  it('reads how long an upstream that refuses a request wants no others', () => {
    const readDelay = (status: number, value: string | string[] | undefined): number | undefined => UpstreamAdapter.create().readHead(status, { 'retry-after': value }).retryAfterMilliseconds
    assert.equal(readDelay(503, '1.5'), 1500)
    assert.equal(readDelay(503, ['1', '3, x']), 3000)
    assert.equal(readDelay(503, '999999999'), 60_000)
    for (const value of [undefined, '', '-4', 'soon', 'Infinity']) assert.equal(readDelay(503, value), undefined)
    assert.equal(readDelay(429, '2'), undefined)
  })

  it('reads the request limit of a response', () => {
    assert.deepEqual(readLimit(undefined), { kind: 'none' })
    assert.deepEqual(readLimit('1'), { kind: 'limit', requestsPerSecond: 1 })
    assert.deepEqual(readLimit(' 0.25 '), { kind: 'limit', requestsPerSecond: 0.25 })
    assert.deepEqual(readLimit('0'), { kind: 'limit', requestsPerSecond: 0 })
  })

  it('uses the lowest of several values that can be read', () => {
    assert.deepEqual(readLimit(['5', '2']), { kind: 'limit', requestsPerSecond: 2 })
    assert.deepEqual(readLimit('4, 3, x'), { kind: 'limit', requestsPerSecond: 3 })
  })

  it('does not take a value that can\'t be read for a limit, nor for none', () => {
    for (const value of ['', '-1', 'many', 'NaN', 'Infinity', '1e999', '9'.repeat(400), '0x10']) assert.equal(readLimit(value).kind, 'unreadable', value)
  })
})
