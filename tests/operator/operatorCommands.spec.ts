import assert from 'node:assert/strict'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { EXIT_CODES, GatewayClient, RecordStore, apply, diff, drain, exitCodeOf, explain, get, status, validate } from '@plumstage/operator'
import type { CommandServices } from '@plumstage/operator'
import { EtcdKeyValueService } from '@plumstage/coordination'
import { Deployment, OPERATOR_TOKEN } from '../support/deployment.js'

const APPLY = { prune: false, wait: false, waitSeconds: 7 }

function priority (name: string, rank: number, revision?: number): string {
  return `apiVersion: plumstage/v1\nkind: Priority\nmetadata:\n  name: ${name}\n${revision === undefined ? '' : `  revision: ${revision}\n`}spec: { rank: ${rank}, startWithinMilliseconds: 1000 }\n`
}

describe('operator commands', () => {
  let deployment: Deployment
  let folder: string
  let services: CommandServices
  before(async () => {
    deployment = await Deployment.create({ gateways: 2 })
    folder = await mkdtemp(join(tmpdir(), 'plumstage-records-'))
    const keyValueService = EtcdKeyValueService.create([deployment.keyValue.url], deployment.clock)
    services = { clock: deployment.clock, store: RecordStore.create(keyValueService, 'test', deployment.clock), gateway: GatewayClient.create(`http://${deployment.gateways[0].operatorAddress}`, OPERATOR_TOKEN) }
  })
  after(async () => {
    await deployment.stop()
    await rm(folder, { recursive: true })
  })

  async function write (name: string, text: string): Promise<string> {
    const file = join(folder, name)
    await writeFile(file, text)
    return file
  }

  async function storedRank (name: string): Promise<number> {
    const result = (await get(services, `Priority/${name}`))._unsafeUnwrap().json as { records: Array<{ spec: { rank: number } }> }
    return result.records[0].spec.rank
  }

  it('validate reports the file, line and field of an error', async () => {
    const error = (await validate([await write('bad.yaml', 'apiVersion: plumstage/v1\nkind: Priority\nmetadata: { name: p }\nspec: { rank: high, startWithinMilliseconds: 5 }\n')]))._unsafeUnwrapErr()
    assert.equal(exitCodeOf(error), EXIT_CODES.usage)
    assert.match(error.message, /bad\.yaml:4: spec\.rank/)
  })

  it('diff, apply and get agree on the stored records', async () => {
    const file = await write('one.yaml', priority('one', 3))
    assert.match((await diff(services, [file], false))._unsafeUnwrap().text, /\+ Priority\/one \(create\)/)
    const applied = (await apply(services, [file], { ...APPLY, wait: true }))._unsafeUnwrap()
    assert.match(applied.text, /In force on gateway-1, gateway-2 after \d/)
    assert.equal(await storedRank('one'), 3)
    assert.match((await diff(services, [file], false))._unsafeUnwrap().text, /0 records would change/)
    await write('one.yaml', priority('one', 4))
    assert.match((await diff(services, [file], false))._unsafeUnwrap().text, /- {3}rank: 3[\s\S]*\+ {3}rank: 4/)
  })

  it('rejects the second of two writes based on the same revision and keeps the first', async () => {
    const key = services.store.keyOf('Priority', 'race')
    const change = (rank: number) => ({ kind: 'create' as const, key, value: JSON.stringify({ apiVersion: 'plumstage/v1', kind: 'Priority', metadata: { name: 'race' }, spec: { rank, startWithinMilliseconds: 1000 } }), revision: 0 })
    const first = await services.store.write([change(1)])
    const second = await services.store.write([change(2)])
    assert.equal(first.isOk(), true)
    assert.equal(exitCodeOf(second._unsafeUnwrapErr()), EXIT_CODES.conflict)
    assert.equal(await storedRank('race'), 1)
  })

  it('rejects an edit of a revision that is no longer stored', async () => {
    const file = await write('stale.yaml', priority('one', 9, 1))
    const error = (await apply(services, [file], APPLY))._unsafeUnwrapErr()
    assert.equal(exitCodeOf(error), EXIT_CODES.conflict)
    assert.match(error.message, /states revision 1/)
  })

  it('determines the outcome of a write whose response was lost', async () => {
    const file = await write('lost.yaml', priority('lost', 5))
    deployment.keyValue.faults.change({ loseAnswers: 2 })
    const result = await apply(services, [file], APPLY)
    assert.match(result._unsafeUnwrap().text, /Accepted at revision/)
    assert.equal(await storedRank('lost'), 5)
    deployment.keyValue.faults.change({ loseAnswers: 0 })
  })

  it('changes nothing and fails when the key-value service is down', async () => {
    const file = await write('down.yaml', priority('down', 5))
    deployment.keyValue.faults.change({ down: true })
    const error = (await apply(services, [file], APPLY))._unsafeUnwrapErr()
    deployment.keyValue.faults.change({ down: false })
    assert.equal(exitCodeOf(error), EXIT_CODES.failed)
    assert.equal((await get(services, 'Priority/down')).isErr(), true)
  })

  it('apply with prune removes undeclared records on all gateways', async () => {
    const file = await write('all.yaml', deployment.formatRecords())
    const applied = (await apply(services, [file], { ...APPLY, prune: true, wait: true }))._unsafeUnwrap()
    assert.match(applied.text, /prune Priority\/one/)
    assert.equal((await get(services, 'Priority/one')).isErr(), true)
    assert.equal(deployment.gateways[1].status.self.configurationRevision, deployment.gateways[0].status.self.configurationRevision)
  })

  it('drain stops new requests to an upstream, and undo allows them again', async () => {
    const upstream = deployment.engines[0].address
    const before = deployment.engines[0].counts.started
    await drain(services, 'model', upstream, false, { ...APPLY, wait: true })
    for (let request = 0; request < 6; request++) await (await deployment.sendChat({ max_tokens: 1 })).text()
    assert.equal(deployment.engines[0].counts.started, before)
    const explained = (await explain(services, { model: 'model-a', prompt: 'hello' }))._unsafeUnwrap()
    assert.match(explained.text, new RegExp(`${upstream} .*drained`))
    await drain(services, 'model', upstream, true, { ...APPLY, wait: true })
    assert.match((await status(services))._unsafeUnwrap().text, new RegExp(`${upstream} .*live`))
  })

  it('reports the gateways on which a change is not in force', async () => {
    await deployment.gateways[1].destroy()
    const file = await write('lag.yaml', priority('lag', 2))
    const error = (await apply(services, [file], { ...APPLY, wait: true, waitSeconds: 1 }))._unsafeUnwrapErr()
    assert.equal(exitCodeOf(error), EXIT_CODES.notInForce)
    assert.match(error.message, /gateway-2/)
  })
})
