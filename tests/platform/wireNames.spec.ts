import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import path from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const WIRE_NAMES = /Plumstage-[A-Z]|plumstage-(attempt|deadline|server-stamp|not-executed|expect|tenant|duty|fencing|prompt|token-count)|[Ss]erver-[Ll]imit|op\/config|servers\/|\/v1\/(kv-|readyz|report)|route_type|max_attempts|api_keys|expected_rev|warmup_left|leaves_ms|zone_prices|config_apply/

function listSources (folder: string): string[] {
  return readdirSync(path.join(ROOT, folder), { recursive: true, encoding: 'utf8' })
    .filter(file => file.endsWith('.ts') && !/(^|\/)(dist|node_modules|generated)\//.test(file))
    .map(file => path.join(folder, file))
}

describe('names of the users\' platform', () => {
  it('occur only in the platform adapters', () => {
    const matches = [...listSources('packages'), ...listSources('scenarios')].filter(file => WIRE_NAMES.test(readFileSync(path.join(ROOT, file), 'utf8')))
    assert.deepEqual(matches, [])
  })

  it('are detected in the platform adapters', () => {
    assert.ok(listSources('platform').some(file => WIRE_NAMES.test(readFileSync(path.join(ROOT, file), 'utf8'))))
  })
})
