import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readGatewaySettings } from '@plumstage/gateway'

const REQUIRED = ['--operator-token', 'operators-token', '--peer-token', 'gateways-token', '--key-value-service', 'http://10.0.0.5:2379']

describe('gateway settings', () => {
  it('prefers flags to environment variables', () => {
    const settings = readGatewaySettings({ arguments: [...REQUIRED, '--name', 'from-flag'], environment: { PLUMSTAGE_NAME: 'from-environment', PLUMSTAGE_FAILURE_DOMAIN: 'zona-4' } })._unsafeUnwrap()
    assert.equal(settings.name, 'from-flag')
    assert.equal(settings.failureDomain, 'zona-4')
  })

  it('reads lists from the environment', () => {
    const settings = readGatewaySettings({ arguments: REQUIRED, environment: { PLUMSTAGE_PEER_SEED: '10.0.0.1:8082,10.0.0.2:8082' } })._unsafeUnwrap()
    assert.deepEqual(settings.peerSeed, ['10.0.0.1:8082', '10.0.0.2:8082'])
  })

  it('lists all invalid settings at once, each with its flag and variable', () => {
    const error = readGatewaySettings({ arguments: ['--listen', 'localhost', '--log-level', 'loud', '--maximum-body-bytes', 'many', '--peer-token', 'short'], environment: {} })._unsafeUnwrapErr()
    for (const flag of ['--listen', '--log-level', '--maximum-body-bytes', '--peer-token', '--operator-token', '--key-value-service']) assert.match(error.message, new RegExp(`${flag}: .*PLUMSTAGE_`), flag)
  })

  it('requires no other setting with --embedded', () => {
    assert.equal(readGatewaySettings({ arguments: ['--embedded'], environment: {} }).isOk(), true)
  })
})
