import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Configuration, formatProblem, parseRecordFile, validateRecordSet } from '@plumstage/records'

const PRIORITY = `apiVersion: plumstage/v1
kind: Priority
metadata: { name: standard }
spec: { rank: 1, startWithinMilliseconds: 1000 }
`

function listProblems (text: string): string[] {
  const { declarations, problems } = parseRecordFile('records.yaml', text)
  return [...problems, ...validateRecordSet(declarations, [])].map(formatProblem)
}

describe('record files', () => {
  it('converts both schema versions to the same model', () => {
    const current = parseRecordFile('a.yaml', 'apiVersion: plumstage/v1\nkind: Route\nmetadata: { name: r }\nspec: { model: m, service: s, priority: p, idempotency: non-idempotent }')
    const beta = parseRecordFile('b.yaml', 'apiVersion: plumstage/v1beta1\nkind: Route\nmetadata: { name: r }\nspec: { model: m, service: s, priority: p, repeatable: false }')
    assert.deepEqual(beta.declarations[0].record, { ...current.declarations[0].record, pathPrefix: undefined })
  })

  it('reads different schema versions from one file', () => {
    const { declarations, problems } = parseRecordFile('mixed.yaml', `${PRIORITY}---
apiVersion: plumstage/v1beta1
kind: Service
metadata: { name: old }
spec: { addresses: ["10.0.0.1:9000"], failureDomain: zona-4, models: [m] }
`)
    assert.deepEqual(problems, [])
    const configuration = Configuration.create(1, declarations.map(declaration => declaration.record))
    assert.equal(configuration.services.get('old')?.upstreams[0].failureDomain, 'zona-4')
  })

  it('reads the health path of a service in both schema versions', () => {
    const specs = ['v1\nspec: { type: plain, pool: p, healthPath: /health }', 'v1beta1\nspec: { addresses: ["10.0.0.1:9000"], failureDomain: zona-4, healthPath: /health }']
    for (const spec of specs) {
      const { declarations, problems } = parseRecordFile('a.yaml', `kind: Service\nmetadata: { name: s }\napiVersion: plumstage/${spec}\n`)
      assert.deepEqual(problems, [])
      const { record } = declarations[0]
      assert.equal(record.kind === 'Service' && record.healthPath, '/health')
    }
    assert.match(listProblems('apiVersion: plumstage/v1\nkind: Service\nmetadata: { name: s }\nspec: { type: plain, pool: p, healthPath: health }')[0], /spec\.healthPath must be a path that starts with a slash/)
  })

  it('reports the file, line, field and remedy of an error', () => {
    const [problem] = listProblems(`${PRIORITY}---
apiVersion: plumstage/v1
kind: Service
metadata: { name: s }
spec:
  type: plain
  upstreams:
    - { address: "wiki.example:80", failureDomain: zona-4 }
`)
    assert.match(problem, /^records\.yaml:12: spec\.upstreams\.0\.address must be an IP number and a port/)
  })

  it('reports unknown fields, unsupported schema versions and invalid YAML', () => {
    assert.match(listProblems(PRIORITY.replace('rank: 1', 'rank: 1, rnak: 2'))[0], /spec\.rnak is not a known field; correct its name or remove it/)
    assert.match(listProblems(PRIORITY.replace('plumstage/v1', 'plumstage/v7'))[0], /apiVersion must be one of plumstage\/v1, plumstage\/v1beta1/)
    assert.match(listProblems('a: [')[0], /^records\.yaml:1: the record is not valid YAML/)
  })

  it('reports references to missing records and routes that match the same requests', () => {
    const route = 'apiVersion: plumstage/v1\nkind: Route\nmetadata: { name: NAME }\nspec: { pathPrefix: /a, service: s, priority: standard, idempotency: idempotent }\n'
    const problems = listProblems(`${PRIORITY}---\n${route.replace('NAME', 'one')}---\n${route.replace('NAME', 'two')}`)
    assert.ok(problems.some(problem => problem.includes('refers to Service s, which does not exist')))
    assert.ok(problems.some(problem => problem.includes('matches the same requests as Route two')))
  })

  it('prefers the longest path prefix, then a route that lists the method', () => {
    const route = (name: string, prefix: string, methods: string): string => `apiVersion: plumstage/v1\nkind: Route\nmetadata: { name: ${name} }\nspec: { pathPrefix: ${prefix}, methods: [${methods}], service: s, priority: p, idempotency: idempotent }\n`
    const { declarations } = parseRecordFile('r.yaml', [route('all', '/', ''), route('wiki', '/wiki/', ''), route('edits', '/wiki/', 'POST')].join('---\n'))
    const configuration = Configuration.create(1, declarations.map(declaration => declaration.record))
    assert.equal(configuration.findRouteByPath('GET', '/wiki/a')?.name, 'wiki')
    assert.equal(configuration.findRouteByPath('POST', '/wiki/a')?.name, 'edits')
    assert.equal(configuration.findRouteByPath('GET', '/other')?.name, 'all')
  })
})
